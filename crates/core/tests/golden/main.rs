//! Golden tests: the bytes that others see of a controller, pinned.
//!
//! Others are the key-value store and what is kept in it, the cloud, the workers, the users, the
//! operators' tools, and controllers of other versions. These tests know none of the project's own
//! names for messages and records: they write and compare raw CBOR (`cbor`), so that they stay as
//! they are however the code is renamed or taken apart. `cluster` plays all parts but the
//! controllers', and `journal` keeps what the controllers say and compares it with the files in
//! `expected/`.

mod cbor;
mod cluster;
mod jobs;
mod journal;
mod mesh;
mod metrics;
mod old_forms;
mod records;
mod store;
mod users;
mod worker;
mod workers;
