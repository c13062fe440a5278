//! What the watches of the control keys and of the handoff queue have in common.

/// Progress of a watch of keys in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WatchState {
    /// The keys have to be read before they can be watched.
    #[default]
    Unread,
    Reading,
    /// Read up to a revision; no watch is in flight.
    Idle,
    Watching,
}

/// A record together with the store's revision of its key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Revisioned<Record> {
    pub record: Record,
    pub revision: u64,
}
