//! Golden tests: the bytes that others see of a controller, pinned.
//!
//! Others are the key-value store and what is kept in it, the cloud, the workers, the users, the
//! operators' tools, and controllers of other versions. These tests know none of the project's own
//! names for messages and records: they write and compare raw CBOR (`cbor`), so that they stay as
//! they are however the code is renamed or taken apart. `cluster` plays all parts but the
//! controllers', and `journal` keeps what the controllers say and compares it with the files in
//! `expected/`.
//!
//! Of each form of a message the first is shown in a file; a digest at its end covers all of them.
//! If only a digest differs, `GOLDEN_TRACE=<folder>` writes every message of each test there, so
//! that the traces of two versions can be compared. A refactoring leaves the files as they are;
//! `GOLDEN_UPDATE=1` writes them anew for a change that is meant to be seen by others.

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
