//! How a change of the stored state, or of what controllers agree on, comes in while
//! controllers of several versions serve.
//!
//! Everything that controllers must have in common is a *step* of one ladder: a version of
//! the records, or a feature that needs no new record. Each has one entry in one table
//! ([`TABLE`]). A controller leaves what it can do under a lasting key; the leader switches
//! on, by one guarded write for each step, what all can do. What is on stays on.
//!
//! This package knows no sockets, clocks or keys' places: it is told what was read
//! ([`Ladder::see`], [`Ladder::weigh`]) and says what is to be written. It chooses nothing
//! on the ground of what is *missing*: an absent key, lease or answer only holds back.
//!
//! Times are milliseconds of a steady clock, stamps are the state service's.

mod judge;
mod record;
mod table;

pub use judge::{Due, Held, Ladder, Stands, StillThere, Why};
pub use record::{NodeRecord, StandingRecord};
pub use table::{Comes, Feature, FeatureEntry, Step, Table, UnknownStep, VersionEntry, TABLE};
