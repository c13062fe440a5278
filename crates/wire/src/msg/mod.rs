//! Message bodies: one module for each kind of peer, and one struct for each message.
//!
//! Fields are named with the usual terms of distributed systems. The names that the protocols use
//! on the wire appear only in the serde attributes of these modules.

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
