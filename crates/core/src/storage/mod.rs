//! What stands in the key-value store, and how it is written.

pub(crate) mod feature_state;
pub(crate) mod job_batches;
pub(crate) mod placement_records;
pub(crate) mod rate_limiter;
pub(crate) mod record_writer;
pub mod records;
