//! Recovery: how a new leader rebuilds its in-memory state.
//!
//! The leader first loads the records phase by phase (this file and `placements.rs`), then
//! reconciles them with the machines' heartbeats: a task is unproven until every machine named in
//! its placement has reported (`reconciliation.rs`). Jobs recorded by other controllers are added
//! later (`recorded_jobs.rs`).
//!
//! Invariants: no task is started before the role changes to leader; a record that cannot be
//! decoded stops only the jobs that it contains and is never overwritten; a task may be on any of
//! the machines that its placement names, unless this leader wrote the placement itself.

mod calls;
mod placements;
mod reconciliation;
mod recorded_jobs;

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_feature_gates::Feature;
use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{KeyValue, KeyValueList};

use crate::controller::Controller;
use crate::fleet::fault_attribution::JobHealth;
use crate::fleet::machines::MachineState;
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::membership::Role;
use crate::storage::records::{
    batch_number, decode, parse_placement_key, placement_key, read_placement, BatchRecord,
    JobRecord, PlacementPiece, RecordedStatus, BATCH_PREFIX, FORMAT_KEY, HANDOFF_PREFIX,
    JOB_PREFIX, PLACEMENT_PREFIX,
};
use crate::{Outcome, Peer};

pub(crate) use calls::RecoveryCall;
use placements::PartialPlacements;
pub(crate) use recorded_jobs::RecordedJobReads;

/// Maximum number of keys requested per list.
const LIST_LIMIT: u32 = 500;
/// Timeout of a list request, as a multiple of the timeout of an ordinary store call.
const LIST_TIMEOUT_FACTOR: u64 = 3;

/// Recovery phases, one for each kind of record, in the order in which they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Format,
    /// Batch records are read before the jobs' own records, which take precedence.
    JobBatches,
    Jobs,
    Placements,
    HandoffQueue,
}

impl Phase {
    fn prefix(self) -> &'static str {
        match self {
            Phase::Format => FORMAT_KEY,
            Phase::JobBatches => BATCH_PREFIX,
            Phase::Jobs => JOB_PREFIX,
            Phase::Placements => PLACEMENT_PREFIX,
            Phase::HandoffQueue => HANDOFF_PREFIX,
        }
    }
}

/// A job's own record together with its store revision.
struct RecordedJob {
    record: JobRecord,
    revision: u64,
}

/// A job that was read from a batch record.
struct BatchedJob {
    batch: u64,
    record: JobRecord,
}

/// A placement stored inside its job's own record or inside a batch record.
struct InlinePlacement {
    job: String,
    piece: PlacementPiece,
    /// Revision of the job's own record; 0 if the job has no record of its own.
    revision: u64,
    /// Number of the batch record that contains the placement; `None` if the job's own record does.
    batch: Option<u64>,
}

/// Progress of a recovery, and the records read so far that are not in memory yet.
#[derive(Default)]
pub(crate) struct Recovery {
    phase: Phase,
    /// Last key read in the present phase; the next list continues after it.
    last_key: Option<String>,
    /// Store revision when recovery began. The watch reports later entries of the handoff queue.
    start_revision: Option<u64>,
    retry_ms: Option<u64>,
    /// Aborted jobs. Such a job is added to memory if a placement shows that a task of it may be on
    /// a machine.
    aborted: BTreeMap<String, RecordedJob>,
    /// Identifiers of jobs whose own records cannot be decoded.
    unreadable: BTreeSet<String>,
    /// Placements to load once all jobs have been read.
    inline_placements: Vec<InlinePlacement>,
    /// Jobs from batch records for which no record of their own has been read.
    batched_jobs: BTreeMap<String, BatchedJob>,
    /// Placements with pieces that have not been read yet.
    partial_placements: BTreeMap<JobIndex, PartialPlacements>,
}

impl Controller {
    /// Starts reading all records and the list of machines.
    pub(crate) fn start_recovery(&mut self) {
        self.recovery = Recovery::default();
        self.request_recovery_list();
        self.list_machines(None);
    }

    fn request_recovery_list(&mut self) {
        let prefix = self.recovery.phase.prefix();
        let mut target = format!("/keys?starts={prefix}&most={LIST_LIMIT}");
        if let Some(last_key) = &self.recovery.last_key {
            target.push_str(&format!("&since={last_key}"));
        }
        let call = RecoveryCall::RecordList { epoch: self.epoch() };
        let timeout_ms = LIST_TIMEOUT_FACTOR * self.context.config.store_timeout_ms();
        self.get_for_recovery(Peer::State, target, timeout_ms, call);
    }

    /// Retries a failed list of records if the retry is due.
    pub(crate) fn tick_recovery(&mut self) {
        let now = self.context.now.steady_ms;
        let retry_due = self.recovery.retry_ms.is_some_and(|retry_ms| now >= retry_ms);
        if self.membership.role() == Role::Recovering && retry_due {
            self.recovery.retry_ms = None;
            self.request_recovery_list();
        }
    }

    /// Loads a list of records and requests the next list.
    fn on_recovery_list(&mut self, outcome: Outcome) {
        if self.membership.role() != Role::Recovering {
            return;
        }
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<KeyValueList>(&r.body).ok(),
            _ => None,
        };
        let Some(list) = list else {
            let delay_ms = self.context.config.lease_renewal_ms() / 2;
            self.recovery.retry_ms = Some(self.context.now.steady_ms + delay_ms);
            return;
        };
        self.note_store_answer();
        // No other controller can change the formats in this leader's epoch.
        if self.recovery.phase == Phase::Format {
            self.update_activation_status(&list.pairs);
            if self.has_unsupported_format() {
                return self.set_role(Role::Follower);
            }
        }
        self.recovery.start_revision.get_or_insert(list.store_revision);
        let last_key = list.pairs.last().map(|pair| pair.key.clone());
        self.load_records(list.pairs);
        if list.more && last_key.is_some() {
            self.recovery.last_key = last_key;
            return self.request_recovery_list();
        }
        self.recovery.last_key = None;
        let Some(next) = self.complete_recovery_phase() else { return self.finish_recovery() };
        self.recovery.phase = next;
        if !self.leadership_unverified() {
            self.retry_held_heartbeats();
        }
        self.request_recovery_list();
    }

    /// Loads records according to the present phase.
    fn load_records(&mut self, pairs: Vec<KeyValue>) {
        match self.recovery.phase {
            Phase::Format => {}
            Phase::JobBatches => pairs.iter().for_each(|pair| self.load_batch(pair)),
            Phase::Jobs => pairs.iter().for_each(|pair| self.load_job(pair)),
            Phase::Placements => self.load_placements(pairs),
            Phase::HandoffQueue => {
                pairs.into_iter().for_each(|pair| self.discard_covered_handoff(pair))
            }
        }
    }

    /// Completes the present phase after all its records have been read. Returns the next phase, if
    /// any.
    fn complete_recovery_phase(&mut self) -> Option<Phase> {
        match self.recovery.phase {
            Phase::Format if self.is_active(Feature::BatchRecords) => Some(Phase::JobBatches),
            Phase::Format | Phase::JobBatches => Some(Phase::Jobs),
            Phase::Jobs => {
                self.complete_jobs();
                Some(Phase::Placements)
            }
            Phase::Placements => {
                self.complete_placements();
                Some(Phase::HandoffQueue)
            }
            Phase::HandoffQueue => None,
        }
    }

    fn load_batch(&mut self, pair: &KeyValue) {
        let Some(number) = batch_number(&pair.key) else { return };
        self.job_batches.restore(number, pair.revision);
        let Some(batch) = decode::<BatchRecord>(&pair.value) else {
            tracing::error!(number, "a batch record can't be decoded; its jobs are not run");
            return self.job_batches.mark_read_only(number, None);
        };
        for id in batch.ids() {
            match batch.get(id) {
                Some(record) => {
                    let job = BatchedJob { batch: number, record };
                    self.recovery.batched_jobs.insert(id.clone(), job);
                }
                None => {
                    tracing::error!(job = %id, number, "a job can't be decoded from its batch record; it is not run");
                    self.job_batches.mark_read_only(number, Some(id.clone()));
                }
            }
        }
    }

    fn load_job(&mut self, pair: &KeyValue) {
        let id = pair.key.trim_start_matches(JOB_PREFIX).to_string();
        let Some(mut record) = decode::<JobRecord>(&pair.value) else {
            tracing::error!(job = %id, "the job's record can't be decoded; it is not run");
            self.recovery.unreadable.insert(id);
            return;
        };
        let batched = self.recovery.batched_jobs.remove(&id);
        let revision = pair.revision;
        let own_placement = record.placement.take().map(|piece| (piece, None));
        // An aborted job's own record may lack its placement, which the batch record still
        // contains.
        let batch_placement =
            match record.status == RecordedStatus::Aborted && record.spec.is_some() {
                true => batched.and_then(|job| Some((job.record.placement?, Some(job.batch)))),
                false => None,
            };
        let placement = batch_placement.or(own_placement).map(|(piece, batch)| InlinePlacement {
            job: id.clone(),
            piece,
            revision,
            batch,
        });
        self.recovery.inline_placements.extend(placement);
        self.restore_job(id, record, revision);
    }

    fn restore_job(&mut self, id: String, record: JobRecord, revision: u64) {
        match record.status {
            RecordedStatus::Live => {
                if let Some(ix) = self.insert_recorded(record, revision) {
                    self.record_writer.mark_job_dirty(ix);
                }
            }
            status => {
                self.learn_terminal_state(&id, status);
                if status == RecordedStatus::Aborted && record.spec.is_some() {
                    self.recovery.aborted.insert(id, RecordedJob { record, revision });
                }
            }
        }
    }

    /// Completes the jobs phase: adds the jobs of the batch records, adds all jobs to the
    /// dependency graph, now that all terminal states are known, and loads the inline placements.
    fn complete_jobs(&mut self) {
        self.restore_batched_jobs();
        for ix in self.jobs.indexes() {
            self.add_to_dependency_graph(ix);
        }
        for placement in std::mem::take(&mut self.recovery.inline_placements) {
            let Some(ix) = self.job_of_placement(&placement.job) else { continue };
            if let (Some(batch), Some(job)) = (placement.batch, self.jobs.get_mut(ix)) {
                job.batch_number = Some(batch);
                self.job_batches.add_member(batch, ix);
            }
            self.load_inline(ix, &placement.piece, placement.revision);
        }
        self.delete_empty_batches();
    }

    /// Adds the jobs that have no record of their own.
    fn restore_batched_jobs(&mut self) {
        for (id, job) in std::mem::take(&mut self.recovery.batched_jobs) {
            let BatchedJob { batch, mut record } = job;
            let placement = record.placement.take();
            let Some(ix) = self.insert_recorded(record, 0) else {
                self.job_batches.mark_read_only(batch, Some(id));
                continue;
            };
            self.job_batches.add_member(batch, ix);
            if let Some(job) = self.jobs.get_mut(ix) {
                job.batch_number = Some(batch);
            }
            self.record_writer.mark_job_dirty(ix);
            let placement = placement.map(|piece| InlinePlacement {
                job: id,
                piece,
                revision: 0,
                batch: Some(batch),
            });
            self.recovery.inline_placements.extend(placement);
        }
    }

    fn load_placements(&mut self, pairs: Vec<KeyValue>) {
        let mut placements = std::mem::take(&mut self.recovery.partial_placements);
        for pair in pairs {
            let Some((id, chunk)) = parse_placement_key(&pair.key) else { continue };
            if self.recovery.unreadable.contains(id) {
                continue;
            }
            let Some(ix) = self.job_of_placement(id) else {
                // The job has ended, or its record could not be added to memory because, for
                // example, its team is no longer in the settings.
                self.record_writer.schedule_deletion(pair.key);
                continue;
            };
            let piece = read_placement(&pair.key, &pair.value, pair.revision);
            let job_placements = placements.entry(ix);
            if !piece.is_some_and(|piece| job_placements.or_default().add(chunk, piece)) {
                self.on_unreadable_placement(ix, &pair.key);
            }
        }
        for (ix, job_placements) in placements {
            let (complete, partial) = job_placements.split_complete();
            self.load_chunks(ix, complete);
            if !partial.is_empty() {
                self.recovery.partial_placements.insert(ix, partial);
            }
        }
    }

    /// Completes the placements phase: pieces that are still missing do not exist, so the jobs of
    /// these placements are stopped.
    fn complete_placements(&mut self) {
        for (ix, placements) in std::mem::take(&mut self.recovery.partial_placements) {
            for chunk in placements.into_chunks() {
                let key = self.jobs.get(ix).map(|job| placement_key(&job.id, chunk));
                self.on_unreadable_placement(ix, &key.unwrap_or_default());
            }
        }
    }

    /// Schedules the deletion of a handoff entry that already existed when recovery began, because
    /// the jobs' records cover it. The watch reports later entries.
    fn discard_covered_handoff(&mut self, pair: KeyValue) {
        if self.recovery.start_revision.is_some_and(|revision| pair.revision <= revision) {
            self.record_writer.schedule_deletion_at(pair.key, pair.revision);
        }
    }

    /// Returns the in-memory job that a placement belongs to. Adds an aborted job to memory,
    /// because its placement shows that a task of it may be on a machine.
    fn job_of_placement(&mut self, id: &str) -> Option<JobIndex> {
        if let Some(ix) = self.jobs.find(id) {
            return Some(ix);
        }
        let RecordedJob { record, revision } = self.recovery.aborted.remove(id)?;
        let ix = self.insert_recorded(record, revision)?;
        if let Some(job) = self.jobs.get_mut(ix) {
            job.state = JobState::Aborted;
        }
        self.record_writer.mark_job_dirty(ix);
        Some(ix)
    }

    /// Adds a recorded job to memory in the live state; callers change the state of other jobs.
    /// Returns `None` if its record has no spec or if its team is no longer in the settings.
    fn insert_recorded(&mut self, record: JobRecord, revision: u64) -> Option<JobIndex> {
        let spec = record.spec?;
        let Some(team) = self.context.config.team(&spec.team) else {
            tracing::error!(job = %spec.id, team = %spec.team, "its team is no longer in the settings; it waits");
            return None;
        };
        let mut job = self.new_job(spec, team, JobState::Live, revision, record.at_ms);
        let done_chunks = record.done_chunks.iter().flat_map(|(first, last)| *first..=*last);
        job.done = done_chunks.map(|chunk| job.chunk_len(chunk)).sum();
        job.done_chunks = record.done_chunks;
        let proven = job.done > 0;
        let ix = self.jobs.insert(job);
        if proven {
            self.set_job_health(ix, JobHealth::RunsWell);
        }
        Some(ix)
    }

    /// Completes the recovery: this controller leads from now on and reconciles its in-memory state
    /// with the machines.
    fn finish_recovery(&mut self) {
        self.watch_handoff_from(self.recovery.start_revision.unwrap_or(0));
        self.set_role(Role::Leader);
        // Includes jobs that have no placement yet and completions that were not recorded.
        for ix in self.jobs.indexes() {
            self.record_writer.mark_job_dirty(ix);
            self.apply_known_terminal_state(ix);
        }
        for ix in self.machines.indexes() {
            self.reconcile_machine(ix);
            let Some(machine) = self.machines.get(ix) else { continue };
            if machine.state == MachineState::Provisioning && machine.addr.is_some() {
                self.query_worker_status(ix);
            }
        }
        self.placement_due = true;
        self.watch_handoff_queue();
    }

    /// Applies a terminal state that became known after the job's record was read.
    fn apply_known_terminal_state(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix).filter(|job| job.state.is_accepted()) else { return };
        let id = job.id.clone();
        match self.terminal_jobs.get(&id) {
            Some(RecordedStatus::Aborted) => self.on_abort_recorded(&id),
            Some(_) => self.reread_job(ix),
            None => {}
        }
    }
}
