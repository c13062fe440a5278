//! Keys of the records in the key-value store. The strings must not change, because other versions
//! of the controller read and write the same keys.

/// Key of the [`EpochRecord`](super::EpochRecord).
pub const EPOCH_KEY: &str = "view";
/// Key of the [`LeaderRecord`](super::LeaderRecord), under [`EPOCH_KEY`].
pub const LEADER_KEY: &str = "view/leader";
/// Prefix of the claims of lease proxies, which renew workers' leases for the leader. It is under
/// the prefix of the epoch record, so that a watch of the epoch includes the claims.
pub const LEASE_PROXY_PREFIX: &str = "view/keeper/";
/// Prefix of the mailboxes between the leader and the lease proxies that it can't reach; see
/// `lease_proxy/mailbox/`.
pub const MAILBOX_PREFIX: &str = "view/post/";
/// Prefix of the jobs' own records.
pub const JOB_PREFIX: &str = "jobs/";
/// Prefix of placement records.
pub const PLACEMENT_PREFIX: &str = "shares/";
/// Prefix of the handoff queue, which lists jobs and aborts that were recorded without the leader.
pub const HANDOFF_PREFIX: &str = "inbox/";
/// Prefix of batch records, each of which several jobs share; see `job_batches/`.
pub const BATCH_PREFIX: &str = "pages/";
/// Prefix of the controllers' membership keys.
pub const MEMBER_PREFIX: &str = "members/";
/// Key of the active format and features; see `feature_state.rs`. Also a prefix of
/// [`FORMAT_NODE_PREFIX`].
pub const FORMAT_KEY: &str = "format";
/// Prefix of the controllers' capability records.
pub const FORMAT_NODE_PREFIX: &str = "format/node/";
/// The only partition, because a single leader places all tasks.
pub const SOLE_PARTITION: &str = "0";

/// Returns the key of a job's own record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's entry in the handoff queue.
pub fn handoff_key(id: &str) -> String {
    format!("{HANDOFF_PREFIX}{id}")
}

/// Returns the key of the mailbox from one controller to another.
pub fn mailbox_key(to: &str, from: &str) -> String {
    format!("{MAILBOX_PREFIX}{to}/{from}")
}

/// Returns the key of a controller's membership.
pub fn member_key(node: &str) -> String {
    format!("{MEMBER_PREFIX}{node}")
}

/// Returns the key of a batch record. The keys sort in the order of the batch numbers.
pub fn batch_key(number: u64) -> String {
    format!("{BATCH_PREFIX}{number:012}")
}

/// Returns the number of the batch record with this key; `None` if the key is not one of a batch
/// record.
pub fn batch_number(key: &str) -> Option<u64> {
    key.strip_prefix(BATCH_PREFIX)?.parse().ok()
}

/// Returns the key of a chunk's placement record, which is the key of its first piece.
pub fn placement_key(id: &str, chunk: u32) -> String {
    piece_key(id, chunk, 0)
}

/// Returns the key of one piece of a placement record.
pub fn piece_key(id: &str, chunk: u32, piece: u32) -> String {
    match piece {
        0 => format!("{PLACEMENT_PREFIX}{id}/{SOLE_PARTITION}/{chunk}"),
        piece => format!("{PLACEMENT_PREFIX}{id}/{SOLE_PARTITION}/{chunk}.{piece}"),
    }
}

/// Returns the keys of all pieces of a placement record.
pub fn piece_keys(id: &str, chunk: u32, pieces: u32) -> impl Iterator<Item = String> + '_ {
    (0..pieces).map(move |piece| piece_key(id, chunk, piece))
}

/// Returns the job identifier and the chunk number of a key of a placement record, for any of its
/// pieces; `None` if the key is malformed.
pub fn parse_placement_key(key: &str) -> Option<(&str, u32)> {
    let mut segments = key.strip_prefix(PLACEMENT_PREFIX)?.split('/');
    let (id, _partition, chunk) = (segments.next()?, segments.next()?, segments.next()?);
    let chunk = chunk.split('.').next()?;
    Some((id, chunk.parse().ok()?))
}
