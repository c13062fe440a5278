//! The leader's watch of the handoff queue, in which followers record submissions and aborts while
//! they cannot reach the leader.
//!
//! Together with the watch of the control keys, this watch proves up to which time the leader knows
//! the records: other controllers change records only through the queue or after a later epoch has
//! begun.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{ChangeLog, KeyValueList};

use super::calls::MembershipCall;
use super::watch::WatchState;
use super::Membership;
use crate::context::Context;
use crate::controller::Controller;
use crate::storage::records::HANDOFF_PREFIX;
use crate::Outcome;

/// Maximum number of entries per page when the queue is listed because the changes since the last
/// watch are no longer available.
const LIST_PAGE_ENTRIES: usize = 1000;

/// Progress of the watch of the handoff queue.
#[derive(Debug, Default)]
pub(super) struct HandoffWatch {
    state: WatchState,
    /// Earliest time at which the next watch may start.
    due_ms: u64,
    /// Store revision up to which the queue has been applied.
    revision: u64,
    /// Latest time up to which the queue is proven to be known.
    known_until_ms: u64,
}

impl HandoffWatch {
    /// Returns the latest time, in steady milliseconds, up to which the queue is proven to be
    /// known.
    pub fn known_until_ms(&self) -> u64 {
        self.known_until_ms
    }

    /// Returns the store revision up to which the queue has been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Marks the queue as unread; a recovery has to read it again.
    pub fn invalidate(&mut self) {
        self.state = WatchState::Unread;
    }

    fn is_due(&self, now_ms: u64) -> bool {
        self.state == WatchState::Idle && now_ms >= self.due_ms
    }

    /// Records that the queue has been applied up to `revision`, from which a watch may continue.
    fn resume_from(&mut self, revision: u64) {
        self.revision = revision;
        self.state = WatchState::Idle;
    }
}

impl Membership {
    /// Starts the watch if it is due: after a failure, or after the queue has been listed.
    pub(super) fn tick_handoff_watch(&mut self, context: &mut Context) {
        if self.is_leader() && self.handoff_watch.is_due(context.now.steady_ms) {
            self.watch_handoff_queue(context);
        }
    }

    /// Records that the queue has been read up to `revision`. The next watch starts from there and
    /// may start at once.
    pub fn watch_handoff_from(&mut self, revision: u64) {
        self.handoff_watch.resume_from(revision);
        self.handoff_watch.due_ms = 0;
    }

    /// Requests the entries that followers add from now on.
    pub(super) fn watch_handoff_queue(&mut self, context: &mut Context) {
        self.handoff_watch.state = WatchState::Watching;
        let epoch = self.election.epoch();
        let call = MembershipCall::WatchHandoffQueue { sent_ms: context.now.steady_ms, epoch };
        self.watch_store(context, HANDOFF_PREFIX, self.handoff_watch.revision, call);
    }

    /// Requests one page of the queue, starting after the given key.
    fn list_handoff_queue(
        &mut self,
        context: &mut Context,
        after_key: Option<String>,
        list_revision: Option<u64>,
    ) {
        self.handoff_watch.state = WatchState::Reading;
        let since = after_key.map_or(String::new(), |key| format!("&since={key}"));
        let target = format!("/keys?starts={HANDOFF_PREFIX}&most={LIST_PAGE_ENTRIES}{since}");
        let epoch = self.election.epoch();
        let call = MembershipCall::ListHandoffQueue { list_revision, epoch };
        self.call_store(context, "GET", target, Vec::new(), call);
    }

    /// Handles the outcome of a watch and returns the changes that it delivered.
    fn observe_handoff_changes(
        &mut self,
        context: &mut Context,
        sent_ms: u64,
        outcome: Outcome,
    ) -> Option<ChangeLog> {
        let now = context.now.steady_ms;
        self.handoff_watch.state = WatchState::Idle;
        self.handoff_watch.due_ms = now + context.config.lease_renewal_ms() / 2;
        let Outcome::Answer(response) = outcome else { return None };
        match response.status {
            200 => {}
            // The store no longer has the changes since that revision.
            410 => {
                self.note_store_answer(now);
                self.list_handoff_queue(context, None, None);
                return None;
            }
            _ => return None,
        }
        let changes = from_cbor::<ChangeLog>(&response.body).ok()?;
        self.note_store_answer(now);
        self.handoff_watch.revision = changes.store_revision;
        self.handoff_watch.known_until_ms = self.handoff_watch.known_until_ms.max(sent_ms);
        self.advance_proven_contact();
        self.prove_aborts_known(context, sent_ms);
        Some(changes)
    }
}

impl Controller {
    /// Watches the handoff queue from the revision up to which it has been applied.
    pub(crate) fn watch_handoff_queue(&mut self) {
        self.membership.watch_handoff_queue(&mut self.context);
    }

    /// Records that the handoff queue has been read up to `revision`.
    pub(crate) fn watch_handoff_from(&mut self, revision: u64) {
        self.membership.watch_handoff_from(revision);
    }

    /// Applies the entries that followers have added, and continues the watch.
    pub(super) fn on_handoff_queue_changed(&mut self, sent_ms: u64, outcome: Outcome) {
        let changes = self.membership.observe_handoff_changes(&mut self.context, sent_ms, outcome);
        let Some(changes) = changes else { return };
        self.apply_handoff_changes(changes);
        self.watch_handoff_queue();
    }

    /// Applies the entries that followers have added to the queue.
    pub(super) fn apply_handoff_changes(&mut self, changes: ChangeLog) {
        for change in changes.log {
            if let (Some(key), Some(value)) = (change.set, change.value) {
                self.on_handoff_entry(&key, &value, change.revision);
            }
        }
    }

    /// Applies one page of the queue. The watch continues from the revision of the first page,
    /// because an entry that is added while the pages are listed may sort before the page that is
    /// read next, and is then in none of them.
    pub(super) fn on_handoff_queue_listed(&mut self, list_revision: Option<u64>, outcome: Outcome) {
        let list = match outcome {
            Outcome::Answer(response) if response.status == 200 => {
                from_cbor::<KeyValueList>(&response.body).ok()
            }
            _ => None,
        };
        let Some(list) = list else {
            // The next watch is answered with 410 again, which restarts the list.
            self.membership.handoff_watch.state = WatchState::Idle;
            return;
        };
        self.note_store_answer();
        let list_revision = list_revision.unwrap_or(list.store_revision);
        let last_key = list.pairs.last().map(|pair| pair.key.clone()).filter(|_| list.more);
        for pair in list.pairs {
            self.on_handoff_entry(&pair.key, &pair.value, pair.revision);
        }
        if last_key.is_some() {
            let context = &mut self.context;
            return self.membership.list_handoff_queue(context, last_key, Some(list_revision));
        }
        self.membership.handoff_watch.resume_from(list_revision);
    }
}
