//! Composes flushes: decides when to write, how many changes, and in which order.

use quartzgate_wire::msg::{Change, Guard, Transaction};
use quartzgate_wire::to_cbor;

use super::placements::BEST_EFFORT_RESERVE;
use super::{FlushItem, WritePurpose};
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::storage::calls::StorageCall;
use crate::storage::records::EPOCH_KEY;

/// Fraction of one second's writes that flushes leave to acceptances and aborts, which take
/// precedence.
const FLUSH_RESERVE: f64 = 0.4;
/// Fraction of one second's writes that deletions of unused keys leave to all other writes.
pub(super) const CLEANUP_RESERVE: f64 = 0.6;
/// Number of times per write batch delay that the writer checks whether a flush is due.
const CHECKS_PER_BATCH: u64 = 10;
/// Estimated size in bytes above which a transaction takes no more placement records.
pub(super) const MAX_TRANSACTION_BYTES: usize = 60 * 1024;

/// A transaction that is being composed, and the records that it covers.
pub(super) struct Draft {
    pub(super) transaction: Transaction,
    pub(super) items: Vec<FlushItem>,
    /// Estimated size of the records in bytes.
    pub(super) bytes: usize,
}

impl Draft {
    /// Creates an empty transaction that takes effect only while the epoch record has this
    /// revision.
    fn new(epoch_revision: u64) -> Self {
        let epoch_guard = Guard { key: EPOCH_KEY.into(), revision: epoch_revision };
        let transaction = Transaction { guards: vec![epoch_guard], ..Transaction::default() };
        Draft { transaction, items: Vec::new(), bytes: 0 }
    }

    /// Returns the number of changes in the transaction so far.
    pub(super) fn changes(&self) -> usize {
        self.transaction.apply.len()
    }
}

/// Limits on the changes of one transaction.
#[derive(Clone, Copy)]
pub(super) struct ChangeLimits {
    /// Changes that both the rate limit and the store allow now.
    pub(super) available: usize,
    /// Changes that the store allows in one transaction.
    pub(super) max_per_transaction: usize,
}

impl ChangeLimits {
    /// Returns whether the transaction is bounded by the rate limit. If it is bounded by the
    /// store's limit on transactions instead, another one can follow at once.
    pub(super) fn is_rate_limited(&self) -> bool {
        self.available < self.max_per_transaction
    }
}

impl Controller {
    /// Writes dirty records, as far as the limits allow.
    pub(crate) fn flush(&mut self) {
        if !self.is_flush_due() {
            return;
        }
        let now = self.context.now.steady_ms;
        let max_per_transaction = self.store_limits().txn_ops;
        let available = self.record_writer.write_limiter.available(now, FLUSH_RESERVE) as usize;
        let limits =
            ChangeLimits { available: available.min(max_per_transaction), max_per_transaction };
        if limits.available == 0 {
            let writes_left = self.record_writer.terminal_states_left || self.any_placement_waits();
            return self.update_write_capacity(writes_left);
        }
        let mut draft = Draft::new(self.membership.epoch_revision());
        self.gather_records(limits, &mut draft);
        self.gather_best_effort_terminal_states(limits, &mut draft);
        self.gather_deletions(limits, &mut draft);
        self.send_flush(draft);
    }

    /// Returns whether to compose a transaction now. Changes are first gathered for a while, unless
    /// tasks could start once a placement is recorded, or other jobs wait for a terminal state.
    fn is_flush_due(&mut self) -> bool {
        let now = self.context.now.steady_ms;
        let batch_ms = self.context.config.write_batch_ms();
        let writer = &mut self.record_writer;
        if writer.flush_in_flight
            || !writer.has_unwritten()
            || now < writer.last_check_ms + batch_ms / CHECKS_PER_BATCH
        {
            return false;
        }
        writer.last_check_ms = now;
        let batch_complete = writer.batch_started_ms.is_none_or(|since| now >= since + batch_ms);
        let expedited = std::mem::take(&mut writer.expedited);
        batch_complete
            || expedited
            || self.record_writer.dirty_chunks.iter().any(|key| self.blocks_starts(*key))
    }

    /// Returns whether placements that block task starts wait to be recorded, other than those of
    /// best-effort jobs.
    fn any_placement_waits(&self) -> bool {
        self.record_writer.dirty_chunks.iter().any(|key| self.blocks_non_best_effort_starts(*key))
    }

    /// Adds terminal states and placements to the transaction. While both wait, each gets half of
    /// the available changes; changes that placements do not use go to terminal states.
    fn gather_records(&mut self, limits: ChangeLimits, draft: &mut Draft) {
        let for_completions = match self.any_placement_waits() {
            true => self.record_writer.half_for_terminal_states(limits.available),
            false => limits.available,
        };
        let mut terminal_states_left = self.gather_terminal_states(false, for_completions, draft);
        let placements_left = self.gather_placements(limits, draft);
        if for_completions < limits.available {
            terminal_states_left = self.gather_terminal_states(false, limits.available, draft);
        }
        let terminal_states_left = terminal_states_left && limits.is_rate_limited();
        self.record_writer.terminal_states_left = terminal_states_left;
        self.update_write_capacity(placements_left || terminal_states_left);
    }

    /// Adds terminal states of best-effort jobs, which use only spare changes, as their placements
    /// do.
    fn gather_best_effort_terminal_states(&mut self, limits: ChangeLimits, draft: &mut Draft) {
        let now = self.context.now.steady_ms;
        let spare = self.record_writer.write_limiter.available(now, BEST_EFFORT_RESERVE) as usize;
        self.gather_terminal_states(true, limits.available.min(spare), draft);
    }

    /// Adds deletions of unused keys, which use only changes that no other write needs.
    fn gather_deletions(&mut self, limits: ChangeLimits, draft: &mut Draft) {
        let now = self.context.now.steady_ms;
        let deletions: Vec<(String, u64)> =
            self.record_writer.deletions.iter().map(|(p, r)| (p.clone(), *r)).collect();
        for (key, revision) in deletions {
            let spare = self.record_writer.write_limiter.available(now, CLEANUP_RESERVE) as usize;
            if self.record_writer.must_send_alone(draft)
                || draft.changes() >= limits.available.min(spare)
            {
                break;
            }
            if revision > 0 {
                draft.transaction.guards.push(Guard { key: key.clone(), revision });
            }
            draft.transaction.apply.push(Change::Delete { delete: key.clone() });
            self.record_writer.count_changes(WritePurpose::Cleanup, 1);
            self.record_writer.deletions.remove(&key);
            draft.items.push(FlushItem::Deletion { key, revision });
        }
    }

    /// Sends the transaction, unless it is empty.
    fn send_flush(&mut self, draft: Draft) {
        let now = self.context.now.steady_ms;
        let writer = &mut self.record_writer;
        if draft.items.is_empty() {
            // The remaining records are not urgent, or wait for a call that is in flight.
            writer.batch_started_ms = (!writer.dirty_chunks.is_empty()).then_some(now);
            return;
        }
        let dirty = !writer.dirty_chunks.is_empty() || !writer.dirty_jobs.is_empty();
        writer.batch_started_ms = dirty.then_some(now);
        writer.write_limiter.charge(now, draft.changes() as f64);
        writer.flush_in_flight = true;
        writer.single_record_flushes_left = writer.single_record_flushes_left.saturating_sub(1);
        let body = to_cbor(&draft.transaction);
        let call = StorageCall::Flush { items: draft.items, sent_ms: now, epoch: self.epoch() };
        self.call_from_storage("POST", "/multi".into(), body, call);
    }

    /// Defers the write of a record that can't be written now for the duration of a lease, so that
    /// the record does not hold up others. The state in memory keeps changing, and the record may
    /// be smaller by then.
    pub(super) fn defer_write(&mut self, job_index: JobIndex, chunk: Option<u32>) {
        let until = self.context.now.steady_ms + self.context.config.lease_ms();
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        match chunk.and_then(|number| job.chunks.get_mut(&number)) {
            Some(c) => c.deferred_until_ms = until,
            None => job.deferred_until_ms = until,
        }
    }
}
