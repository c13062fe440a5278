//! Records in the key-value store: their keys, formats and encoding.
//!
//! | key | value |
//! | --- | --- |
//! | `members/<node>` | a controller that is alive, on its lease |
//! | `view` | the current epoch and its members |
//! | `view/leader` | the leader, on its lease |
//! | `view/keeper/<node>` | a lease proxy's claim, on that controller's lease |
//! | `view/post/<to>/<from>` | a mailbox from one controller to another that it can't reach, on the sender's lease |
//! | `jobs/<id>` | the job's description, its placement if it fits, then its terminal state |
//! | `pages/<number>` | a batch of live jobs that were accepted together; a job's own record takes precedence |
//! | `shares/<id>/<partition>/<chunk>` | the placement of a chunk of tasks: probed machines, completed tasks |
//! | `inbox/<id>` | the handoff queue: a job or abort recorded without the leader, for the leader to read |
//! | `format` | the format that all controllers write from now on, and the active features; absent before format 2 |
//! | `format/node/<node>` | the newest format that a controller can read and write, and the features that it supports |
//!
//! Format 1 is the format of the first version. Format 2 adds a job's dependencies, packs
//! placements more compactly, and splits a placement that is too large for one value over several
//! keys: `<chunk>`, `<chunk>.1` and so on. Format 3 stores the placement of a job of one chunk in
//! the job's own record if it fits there. Format 4 adds batches of jobs.
//!
//! Invariant: the bytes of every record, including its field names, are the contract with earlier
//! and later versions of the controller. Golden tests verify them.

mod batch;
mod encoding;
mod epoch;
mod job;
mod keys;
mod placement;
mod placement_packing;

pub use batch::BatchRecord;
pub use encoding::{checked_size, decode, encode, json_size, ranges};
pub use epoch::{EpochRecord, LeaderRecord};
pub use job::{JobRecord, RecordedStatus};
pub use keys::{
    batch_key, batch_number, handoff_key, job_key, mailbox_key, member_key, parse_placement_key,
    piece_key, piece_keys, placement_key, BATCH_PREFIX, EPOCH_KEY, FORMAT_KEY, FORMAT_NODE_PREFIX,
    HANDOFF_PREFIX, JOB_PREFIX, LEADER_KEY, LEASE_PROXY_PREFIX, MAILBOX_PREFIX, MEMBER_PREFIX,
    PLACEMENT_PREFIX, SOLE_PARTITION,
};
pub use placement::{PlacementPiece, PlacementRecord, ProbeSet, ZoneRange, TASKS_PER_CHUNK};
pub use placement_packing::{
    decode_inline, inline_piece, pack_placement, read_placement, AssembledPlacement,
};
