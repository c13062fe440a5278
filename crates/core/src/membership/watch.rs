//! Types shared by the watches of the control keys and of the handoff queue.

/// Progress of a watch on keys in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WatchState {
    /// The keys must be read before they can be watched.
    #[default]
    Unread,
    Reading,
    /// The keys have been read up to a revision; no watch is in flight.
    Idle,
    Watching,
}

/// A record together with the store revision of its key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Revisioned<Record> {
    pub record: Record,
    pub revision: u64,
}
