//! Message bodies, a module for each peer and one struct a message.
//!
//! Fields have the terms of the field; the names that the protocols use on the wire stand in
//! the serde attributes here, and nowhere else.

mod cloud;
mod decode;
mod jobs;
mod mesh;
mod store;
mod workers;

pub use cloud::*;
pub use jobs::*;
pub use mesh::*;
pub use store::*;
pub use workers::*;
