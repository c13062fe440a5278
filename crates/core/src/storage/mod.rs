//! Records in the key-value store: their formats, and how they are written and read.
//!
//! `records` defines the formats of records, and `record_writer` writes them. `placement_records`
//! and `job_batches` compose the two kinds of records that depend on the store's limits.
//! `live_record_reads` detects changes that other controllers have recorded. `feature_state` tracks
//! which formats and features are active. `job_removal` removes jobs from memory. `calls` routes
//! the outcomes of calls to the store, and `rate_limiter` and `read_budget` keep the calls within
//! the store's rate limits.

pub(crate) mod calls;
pub(crate) mod feature_state;
pub(crate) mod job_batches;
mod job_removal;
mod live_record_reads;
pub(crate) mod placement_records;
pub(crate) mod rate_limiter;
pub(crate) mod read_budget;
pub(crate) mod record_writer;
pub mod records;
