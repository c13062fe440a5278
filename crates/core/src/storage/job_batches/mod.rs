//! Job batches: jobs that are accepted together and share one record.
//!
//! While writes to the key-value store are scarce, the leader records submissions that arrive at
//! about the same time, with their placements, in one value: a batch record.
//!
//! - Only the leader writes a batch record, guarded by the revision of its epoch record. The record
//!   holds live jobs only. **A job's own record takes precedence over its batch record**: a job
//!   leaves its batch by getting a record of its own (when it ends, is aborted by any controller,
//!   or outgrows the batch), after which its entry in the batch record is void, except for the
//!   placement of an aborted job whose own record has none. A write of one job therefore never
//!   blocks writes of other jobs of the batch, and a follower can abort a job without writing its
//!   batch record.
//! - Batches are numbered consecutively without gaps, no job is added to a batch later, and the
//!   newest batch record is never deleted. A submission that is recorded without the leader is
//!   guarded by the absence of a batch after the newest one that was checked, so that no job is
//!   accepted twice.
//! - The leader has all batches in memory. One transaction that only compares verifies that it
//!   still leads and that a job has no record of its own. Any other controller, and a leader whose
//!   memory may lack jobs of a batch record (because the record is read-only or its creation is
//!   indeterminate), searches all batch records ([`index`]) if it finds no own record of a job,
//!   and then verifies that the job still has no record of its own. Lookups that arrive during a
//!   scan of the batch records share the next scan.
//!
//! [`intake`] gathers submissions and opens batches, [`batch_writer`] writes and deletes the
//! leader's batch records, and [`batch_lookup`] finds a job's record under its own key or in a
//! batch.

mod batch_lookup;
mod batch_writer;
mod index;
mod intake;

use std::collections::{BTreeMap, BTreeSet};

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::{Outcome, RequestId};

pub(crate) use batch_lookup::BatchLookup;
use batch_lookup::BatchLookups;
use intake::BatchIntake;

/// Purpose of a call to the store about batch records.
#[derive(Debug)]
pub(crate) enum BatchCall {
    /// Write of a batch record by the leader of an epoch.
    Write { number: u64, epoch: u64 },
    /// Read of a batch record by the leader of an epoch, after a write with an indeterminate
    /// outcome.
    Read { number: u64, epoch: u64 },
    /// Read of a job's own record, before any batch record is searched.
    ReadJob(BatchLookup),
    /// Verification that jobs found in batch records have no records of their own.
    VerifyOwnKeysAbsent { lookups: Vec<BatchLookup> },
    /// Second read of a job's own record, after the batch records were searched.
    RereadJob(BatchLookup),
    /// Verification by the leader of an epoch that it still leads and that a job has no record of
    /// its own.
    VerifyAbsence { lookup: BatchLookup, epoch: u64 },
    /// Listing of one page of the batch records.
    List,
    /// Read of the changes of the batch records.
    Changes,
}

/// What the leader knows about the stored record of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchState {
    /// The record is stored at the revision in memory.
    Recorded,
    /// A write is in flight. For a new batch, this write creates the record.
    Writing,
    /// The outcome of a write is indeterminate. The record is being read, or the read is to be
    /// retried.
    Reading,
}

/// A submission of a job that belongs to a batch or waits for one.
#[derive(Clone, Copy, Debug)]
struct BatchSubmission {
    request: RequestId,
    job: JobIndex,
}

/// A batch in the leader's memory.
#[derive(Debug)]
struct JobBatch {
    state: BatchState,
    /// Revision of the record; 0 until the record is known to be stored.
    revision: u64,
    /// Jobs that still need the record: jobs without a record of their own, and aborted jobs, whose
    /// own records may lack the placement.
    members: BTreeSet<JobIndex>,
    /// Submissions to be answered when the batch is recorded.
    submissions: Vec<BatchSubmission>,
    /// A write that creates the record had an indeterminate outcome and may still be applied.
    write_indeterminate: bool,
    /// Part of the record can't be decoded, so that the record is neither overwritten nor deleted.
    read_only: bool,
}

impl JobBatch {
    fn new(state: BatchState, revision: u64) -> JobBatch {
        JobBatch {
            state,
            revision,
            members: BTreeSet::new(),
            submissions: Vec::new(),
            write_indeterminate: false,
            read_only: false,
        }
    }

    /// Returns whether the record is not known to be stored yet.
    fn is_new(&self) -> bool {
        self.revision == 0
    }

    /// Returns whether the record may be deleted: no job needs it any more, no call about it is in
    /// flight, and all of it can be decoded.
    fn is_disposable(&self) -> bool {
        self.members.is_empty() && self.state == BatchState::Recorded && !self.read_only
    }
}

/// The leader's batches, the submissions for its next batch, and the lookups of any controller.
#[derive(Default)]
pub(crate) struct JobBatches {
    batches: BTreeMap<u64, JobBatch>,
    /// Number of the newest batch; 0 if there has been none.
    last_number: u64,
    /// Jobs whose entries in batch records can't be decoded.
    unreadable_jobs: BTreeSet<String>,
    /// Batches whose records are to be read because an earlier read failed, or because a write was
    /// refused while an earlier write is still indeterminate.
    reads_to_retry: Vec<u64>,
    intake: BatchIntake,
    lookups: BatchLookups,
}

impl JobBatches {
    /// Returns the number of batches in memory.
    pub fn count(&self) -> usize {
        self.batches.len()
    }

    /// Returns the number of jobs that still need the record of their batch.
    pub fn member_count(&self) -> usize {
        self.batches.values().map(|batch| batch.members.len()).sum()
    }

    /// Adds a batch that a new leader found in the store.
    pub fn restore(&mut self, number: u64, revision: u64) {
        self.batches.insert(number, JobBatch::new(BatchState::Recorded, revision));
        self.last_number = self.last_number.max(number);
    }

    /// Adds a job to a batch that a new leader found in the store.
    pub fn add_member(&mut self, number: u64, job: JobIndex) {
        if let Some(batch) = self.batches.get_mut(&number) {
            batch.members.insert(job);
        }
    }

    /// Marks a batch as read-only, because one job's entry in its record, or all of the record,
    /// can't be decoded.
    pub fn mark_read_only(&mut self, number: u64, job_id: Option<String>) {
        if let Some(batch) = self.batches.get_mut(&number) {
            batch.read_only = true;
        }
        self.unreadable_jobs.extend(job_id);
    }

    /// Returns whether a batch record holds an entry of the job that can't be decoded.
    pub fn is_unreadable(&self, job_id: &str) -> bool {
        self.unreadable_jobs.contains(job_id)
    }

    /// Returns the number of the newest batch that the most recently answered lookup covered. The
    /// number is set just before the outcome of a lookup is passed to its caller, and is valid for
    /// that caller only.
    pub fn last_batch_checked(&self) -> u64 {
        self.lookups.last_batch_checked()
    }

    /// Returns whether a batch record holds the job, according to this controller's index, which
    /// may be out of date.
    pub fn index_holds(&self, job_id: &str) -> bool {
        self.lookups.index_holds(job_id)
    }

    /// Returns whether the record of the newest batch is not known to be stored yet.
    fn is_creating_batch(&self) -> bool {
        self.batches.get(&self.last_number).is_some_and(JobBatch::is_new)
    }

    /// Returns whether memory contains every job that any stored batch record may hold.
    fn is_complete(&self) -> bool {
        let may_differ =
            |batch: &JobBatch| batch.read_only || batch.is_new() && batch.write_indeterminate;
        self.unreadable_jobs.is_empty() && !self.batches.values().any(may_differ)
    }

    /// Returns whether a batch can't be written now, because a call about it is in flight or the
    /// batch is gone.
    fn is_busy(&self, number: u64) -> bool {
        self.batches.get(&number).is_none_or(|batch| batch.state != BatchState::Recorded)
    }

    fn is_read_only(&self, number: u64) -> bool {
        self.batches.get(&number).is_some_and(|batch| batch.read_only)
    }

    /// Returns the jobs of a batch that still need its record; none if there is no such batch.
    fn members_of(&self, number: u64) -> BTreeSet<JobIndex> {
        self.batches.get(&number).map(|batch| batch.members.clone()).unwrap_or_default()
    }

    /// Removes and returns the submissions that wait for a batch to be recorded.
    fn take_submissions(&mut self, number: u64) -> Vec<BatchSubmission> {
        let batch = self.batches.get_mut(&number);
        batch.map(|batch| std::mem::take(&mut batch.submissions)).unwrap_or_default()
    }

    /// Sets the state of a batch. No other function does.
    fn set_batch_state(&mut self, number: u64, state: BatchState) {
        if let Some(batch) = self.batches.get_mut(&number) {
            batch.state = state;
        }
    }

    /// Removes the newest batch, which is certainly not stored, so that its number can be used
    /// again.
    fn remove_newest(&mut self, number: u64) -> Option<JobBatch> {
        let batch = self.batches.remove(&number)?;
        self.last_number = number - 1;
        Some(batch)
    }
}

impl Controller {
    /// Routes the outcome of a call about batch records. An outcome for the leader of an earlier
    /// epoch is dropped, because the memory that it concerns is gone.
    pub(crate) fn on_batch_call(&mut self, call: BatchCall, outcome: Outcome) {
        match call {
            BatchCall::Write { epoch, .. } | BatchCall::Read { epoch, .. }
                if epoch != self.epoch() => {}
            BatchCall::Write { number, .. } => self.on_batch_written(number, outcome),
            BatchCall::Read { number, .. } => self.on_batch_read(number, outcome),
            BatchCall::ReadJob(lookup) => self.on_job_read(lookup, outcome),
            BatchCall::VerifyOwnKeysAbsent { lookups } => {
                self.on_own_keys_verified(lookups, outcome)
            }
            BatchCall::RereadJob(lookup) => self.on_lookup_job_reread(lookup, outcome),
            BatchCall::VerifyAbsence { lookup, epoch } => {
                self.on_absence_verified(lookup, epoch, outcome)
            }
            BatchCall::List => self.on_batches_listed(outcome),
            BatchCall::Changes => self.on_batch_changes(outcome),
        }
    }

    /// Drops the leader's batches and the submissions for its next batch. Lookups do not depend on
    /// which controller leads, and continue.
    pub(crate) fn drop_batches(&mut self) {
        let dropped = std::mem::take(&mut self.job_batches);
        let batched = dropped.batches.into_values().flat_map(|batch| batch.submissions);
        let waiting = dropped.intake.into_submissions();
        for submission in batched.chain(waiting) {
            self.answer_unavailable(submission.request, RefusalReason::EpochChanged);
        }
        self.job_batches.lookups = dropped.lookups;
    }
}
