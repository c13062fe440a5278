//! Golden tests that pin the bytes a controller exchanges with other processes.
//!
//! These are the key-value store and the records in it, the cloud, the workers, the users, the
//! operators' tools, and controllers of other versions. The tests use none of the project's own
//! types for messages and records: they write and compare raw CBOR (`cbor`), so that they do not
//! change when the code is renamed or restructured. `cluster` simulates everything except the
//! controllers, and `journal` records the controllers' messages and compares them with the files
//! in `expected/`.
//!
//! A file shows the first message of each form; a digest at its end covers all messages. If only a
//! digest differs, `GOLDEN_TRACE=<folder>` writes every message of each test to that folder, so
//! that the traces of two versions can be compared. A refactoring must not change the files;
//! `GOLDEN_UPDATE=1` rewrites them for an intended change of what other processes see.

mod cbor;
mod cluster;
mod jobs;
mod journal;
mod mesh;
mod metrics;
mod old_record_formats;
mod records;
mod store;
mod users;
mod worker;
mod workers;
