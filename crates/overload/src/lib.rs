//! Overload control of a controller: in which order requests are served when not all can
//! be, how long one may wait, when work is refused unseen, and when to come back.
//!
//! There is no input, output or clock here; the daemon says what time it is.

mod intake;
mod load;
mod turned;
mod turns;

pub use intake::{Class, Intake, Next};
pub use load::{Load, LoadState};
pub use turned::Turned;
pub use turns::{Ahead, Turns};
