//! Finds the record of a job under its own key or in the batch records.
//!
//! A lookup first reads the job's own key. If there is no such record, the job may be in a batch:
//!
//! - The leader normally has every batch in memory. It then only verifies that it still leads and
//!   that the job has no record of its own.
//! - Any other controller, and a leader whose memory may lack jobs of a batch record, updates its
//!   [`BatchIndex`] and searches it. Then it verifies that the job has not got a record of its own
//!   in the meantime. One transaction that only compares does this for many jobs at once.
//!
//! At most one scan of the batch records is in progress. It serves all lookups that arrived before
//! it began; later lookups share the next scan. The data behind an answer is therefore never older
//! than its lookup.

use quartzgate_feature_gates::Feature;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{ChangeLog, Guard, KeyValue, KeyValueList, Transaction};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::config::Config;
use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::jobs::JobState;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::record_writer::write_outcome;
use crate::storage::records::{encode, job_key, JobRecord, BATCH_PREFIX, EPOCH_KEY};
use crate::{Outcome, Peer};

use super::index::{BatchIndex, IndexedJob};
use super::BatchCall;

/// Maximum number of batch records in one page of a listing.
const BATCHES_PER_LIST: u32 = 60;
/// Timeout of a scan, as a multiple of the timeout of ordinary calls: a scan reads many records or
/// waits for a busy store.
const SCAN_TIMEOUT_FACTOR: u64 = 3;
/// Number of updates of a recent index that may be made in the time in which all records may be
/// listed once.
const UPDATES_PER_LISTING: u64 = 10;

/// A lookup of one job's record.
#[derive(Debug)]
pub(crate) struct BatchLookup {
    job_id: String,
    /// The job's record as stored in a batch record, once a scan has found it there.
    batched_record: Option<Box<JobRecord>>,
    /// Number of the newest batch that the lookup has covered.
    last_batch: u64,
    /// The job's own key is not read, because the caller guards its write by the absence of that
    /// key.
    own_key_guarded: bool,
    /// The call whose outcome the lookup reports, as if the job's own key had been read.
    report_as: Box<InFlight>,
}

impl BatchLookup {
    fn new(job_id: &str, own_key_guarded: bool, report_as: InFlight) -> Self {
        BatchLookup {
            job_id: job_id.to_string(),
            batched_record: None,
            last_batch: 0,
            own_key_guarded,
            report_as: Box::new(report_as),
        }
    }
}

/// A scan of the batch records that is in progress.
struct BatchScan {
    lookups: Vec<BatchLookup>,
    /// The index that a listing builds; `None` while the existing index is updated.
    new_index: Option<BatchIndex>,
    /// Last key listed so far.
    listed_to: Option<String>,
}

/// How a scan reads the batch records.
enum ScanMode {
    /// Lists all batch records.
    List,
    /// Reads the changes after this revision of the store.
    Update { since: u64 },
}

/// Lookups of one controller, and its index of the batch records. Neither depends on which
/// controller leads.
#[derive(Default)]
pub(super) struct BatchLookups {
    scan: Option<BatchScan>,
    /// Lookups that arrived after the scan in progress had begun.
    waiting: Vec<BatchLookup>,
    index: BatchIndex,
    /// Steady time at which the latest scan began; 0 before the first scan.
    last_scan_ms: u64,
    last_batch_checked: u64,
}

impl BatchLookups {
    /// Returns the number of the newest batch that the most recently answered lookup covered.
    pub fn last_batch_checked(&self) -> u64 {
        self.last_batch_checked
    }

    /// Returns whether a batch record holds the job, according to the index, which may be out of
    /// date.
    pub fn index_holds(&self, job_id: &str) -> bool {
        self.index.holds(job_id)
    }

    /// Begins a scan for all waiting lookups, unless another scan is in progress or the previous
    /// one began too recently.
    fn begin_scan(&mut self, config: &Config, now_ms: u64) -> Option<ScanMode> {
        if self.scan.is_some() {
            return None;
        }
        if self.index.older_than(now_ms, config.lease_ms()) {
            self.index = BatchIndex::default();
        }
        let mode = self.scan_mode(config, now_ms);
        let min_interval_ms = match mode {
            ScanMode::Update { .. } => config.write_batch_ms() / UPDATES_PER_LISTING,
            ScanMode::List => config.write_batch_ms(),
        };
        let is_too_soon = self.last_scan_ms > 0 && now_ms < self.last_scan_ms + min_interval_ms;
        if is_too_soon || self.waiting.is_empty() {
            return None;
        }
        self.last_scan_ms = now_ms;
        self.scan = Some(BatchScan {
            lookups: std::mem::take(&mut self.waiting),
            new_index: matches!(mode, ScanMode::List).then(BatchIndex::default),
            listed_to: None,
        });
        Some(mode)
    }

    fn scan_mode(&self, config: &Config, now_ms: u64) -> ScanMode {
        match self.index.revision_to_update_from(now_ms, config.max_index_update_age_ms()) {
            Some(since) => ScanMode::Update { since },
            None => ScanMode::List,
        }
    }
}

impl Controller {
    /// Reads a job's record: its own record, or else its entry in a batch record. The result is
    /// reported as the outcome of `then`, as if the job's own key had been read; a record from a
    /// batch has revision 0.
    pub(crate) fn look_up(&mut self, job: &str, then: InFlight) {
        if !self.is_active(Feature::BatchRecords) {
            return self.read_own_record(job, then);
        }
        let lookup = BatchLookup::new(job, false, then);
        self.read_own_record(job, InFlight::Batch(BatchCall::ReadJob(lookup)));
    }

    /// Searches only the batch records, for a submission that is to be recorded without the leader.
    /// The write of that submission is guarded by the absence of the job's own record.
    pub(crate) fn look_up_in_batches(&mut self, job: &str, then: InFlight) {
        self.queue_lookup(BatchLookup::new(job, true, then));
    }

    /// Looks up jobs that the index recently held, with one scan for all of them.
    pub(crate) fn look_up_gathered(&mut self, jobs: Vec<(String, InFlight)>) {
        for (job, then) in jobs {
            self.add_lookup(BatchLookup::new(&job, false, then));
        }
        self.scan_batches();
    }

    fn read_own_record(&mut self, job_id: &str, call: InFlight) {
        self.call_store("GET", format!("/keys/{}", job_key(job_id)), Vec::new(), call);
    }

    /// Adds a lookup to the next scan, and begins the scan if it is due.
    fn queue_lookup(&mut self, lookup: BatchLookup) {
        self.add_lookup(lookup);
        self.scan_batches();
    }

    /// Adds a lookup to the next scan. A lookup beyond the maximum fails at once.
    fn add_lookup(&mut self, lookup: BatchLookup) {
        let max_waiting = self.context.config.max_batch_lookups();
        if self.job_batches.lookups.waiting.len() >= max_waiting {
            return self.fail_lookup(lookup);
        }
        self.job_batches.lookups.waiting.push(lookup);
    }

    /// Handles the outcome of the first read of a job's own record.
    pub(super) fn on_job_read(&mut self, lookup: BatchLookup, outcome: Outcome) {
        if !is_not_found(&outcome) {
            return self.on_outcome(*lookup.report_as, outcome);
        }
        if let Some(record) = self.batched_record_in_memory(&lookup.job_id) {
            return self.report_batched_record(&lookup.job_id, &record, *lookup.report_as);
        }
        if self.leads() && self.job_batches.is_complete() {
            return self.verify_absence(lookup);
        }
        self.queue_lookup(lookup);
    }

    /// Returns the record of a job that is known in memory to be accepted in a batch. Such a job is
    /// live as long as it has no record of its own.
    fn batched_record_in_memory(&self, job_id: &str) -> Option<JobRecord> {
        let job = self.jobs.find(job_id).and_then(|job| self.jobs.get(job))?;
        if job.batch_number.is_none() || job.state == JobState::Recording {
            return None;
        }
        Some(JobRecord { at_ms: job.submitted_ms, ..self.job_record(job.spec.clone()) })
    }

    /// Verifies that a job is recorded nowhere. The leader has all batches in memory, and none of
    /// them holds the job. This knowledge is valid as long as the controller leads. The transaction
    /// verifies that it still leads, and that the job has no record of its own.
    fn verify_absence(&mut self, mut lookup: BatchLookup) {
        lookup.last_batch = self.job_batches.last_number;
        let guards = vec![
            Guard { key: EPOCH_KEY.into(), revision: self.membership.epoch_revision() },
            Guard { key: job_key(&lookup.job_id), revision: 0 },
        ];
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        self.charge_read(ReadPurpose::AbsenceCheck);
        let call = BatchCall::VerifyAbsence { lookup, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, InFlight::Batch(call));
    }

    /// Handles the outcome of the leader's verification, sent in the given epoch, for a job that no
    /// batch holds.
    pub(super) fn on_absence_verified(
        &mut self,
        lookup: BatchLookup,
        epoch: u64,
        outcome: Outcome,
    ) {
        let (status, answer) = write_outcome(&outcome);
        // The job may have been submitted in the meantime.
        let is_outdated = epoch != self.epoch() || self.jobs.find(&lookup.job_id).is_some();
        match (status, answer) {
            (200, Some(_)) if !is_outdated => self.report_absence(lookup),
            (409, Some(answer)) if answer.failed.iter().any(|key| key == EPOCH_KEY) => {
                if epoch == self.epoch() {
                    self.step_down();
                }
                self.fail_lookup(lookup);
            }
            // The job has got a record of its own in the meantime.
            (409, Some(_)) => self.reread_own_record(lookup),
            (429 | 503, _) => {
                self.on_store_throttled(status);
                self.fail_lookup(lookup);
            }
            _ => self.fail_lookup(lookup),
        }
    }

    /// Begins a scan of the batch records if lookups wait for one and it is due.
    pub(crate) fn scan_batches(&mut self) {
        let now_ms = self.context.now.steady_ms;
        match self.job_batches.lookups.begin_scan(&self.context.config, now_ms) {
            Some(ScanMode::Update { since }) => {
                let target = format!("/changes?starts={BATCH_PREFIX}&since={since}&block_ms=0");
                self.call_for_scan(target, BatchCall::Changes);
            }
            Some(ScanMode::List) => self.list_next_batches(),
            None => {}
        }
    }

    fn call_for_scan(&mut self, target: String, call: BatchCall) {
        self.charge_read(ReadPurpose::BatchScan);
        let timeout_ms = SCAN_TIMEOUT_FACTOR * self.context.config.store_timeout_ms();
        let call = InFlight::Batch(call);
        self.call(Peer::State, "GET", target, Vec::new(), timeout_ms, call);
    }

    /// Lists the next page of batch records, after those that the scan has listed.
    fn list_next_batches(&mut self) {
        let Some(scan) = &self.job_batches.lookups.scan else { return };
        let mut target = format!("/keys?starts={BATCH_PREFIX}&most={BATCHES_PER_LIST}");
        if let Some(listed_to) = &scan.listed_to {
            target.push_str(&format!("&since={listed_to}"));
        }
        self.call_for_scan(target, BatchCall::List);
    }

    /// Handles one page of a listing of the batch records.
    pub(super) fn on_batches_listed(&mut self, outcome: Outcome) {
        let Some(mut scan) = self.job_batches.lookups.scan.take() else { return };
        let list = match outcome {
            Outcome::Answer(answer) if answer.status == 200 => {
                from_cbor::<KeyValueList>(&answer.body).ok()
            }
            _ => None,
        };
        let (Some(list), Some(mut index)) = (list, scan.new_index.take()) else {
            return self.fail_scan(scan);
        };
        index.add_listed(&list);
        let last_key = list.pairs.last().map(|pair| pair.key.clone());
        if list.more && last_key.is_some() {
            scan.listed_to = last_key;
            scan.new_index = Some(index);
            self.job_batches.lookups.scan = Some(scan);
            return self.list_next_batches();
        }
        self.job_batches.lookups.index = index;
        self.finish_scan(scan.lookups);
    }

    /// Handles the changes of the batch records since the index's revision.
    pub(super) fn on_batch_changes(&mut self, outcome: Outcome) {
        let Some(scan) = self.job_batches.lookups.scan.take() else { return };
        match outcome {
            Outcome::Answer(answer) if answer.status == 200 => {
                match from_cbor::<ChangeLog>(&answer.body) {
                    Ok(changes) => {
                        self.job_batches.lookups.index.apply_changes(&changes);
                        self.finish_scan(scan.lookups);
                    }
                    Err(_) => self.fail_scan(scan),
                }
            }
            // The store's change log does not go back far enough, so that all records are listed.
            Outcome::Answer(answer) if answer.status == 410 => {
                let new_index = Some(BatchIndex::default());
                self.job_batches.lookups.scan = Some(BatchScan { new_index, ..scan });
                self.list_next_batches();
            }
            _ => self.fail_scan(scan),
        }
    }

    fn fail_scan(&mut self, scan: BatchScan) {
        for lookup in scan.lookups {
            self.fail_lookup(lookup);
        }
        self.scan_batches();
    }

    /// Completes a scan. The index now describes the store at a time after all these lookups
    /// arrived.
    fn finish_scan(&mut self, lookups: Vec<BatchLookup>) {
        self.note_store_answer();
        let scan_began_ms = self.job_batches.lookups.last_scan_ms;
        self.job_batches.lookups.index.set_verified_at(scan_began_ms);
        let mut found: Vec<BatchLookup> = Vec::new();
        for lookup in lookups {
            found.extend(self.look_up_in_index(lookup));
        }
        let max_guards = self.max_guards();
        while !found.is_empty() {
            let rest = found.split_off(found.len().min(max_guards));
            self.verify_own_keys_absent(std::mem::replace(&mut found, rest));
        }
        self.scan_batches();
    }

    /// Searches the up-to-date index for a job. Returns the lookup if the job is found. Otherwise
    /// reports that the job is absent or can't be looked up, or rereads the job's own record.
    fn look_up_in_index(&mut self, mut lookup: BatchLookup) -> Option<BatchLookup> {
        let index = &self.job_batches.lookups.index;
        lookup.last_batch = index.last_number();
        match index.find_job(&lookup.job_id) {
            IndexedJob::Unreadable => self.fail_lookup(lookup),
            IndexedJob::Absent if lookup.own_key_guarded => self.report_absence(lookup),
            // The job may have got a record of its own during the scan.
            IndexedJob::Absent => self.reread_own_record(lookup),
            IndexedJob::Found(record) => {
                lookup.batched_record = Some(record);
                return Some(lookup);
            }
        }
        None
    }

    /// Verifies with one transaction that jobs found in batch records have not got records of their
    /// own in the meantime.
    fn verify_own_keys_absent(&mut self, lookups: Vec<BatchLookup>) {
        let guard = |lookup: &BatchLookup| Guard { key: job_key(&lookup.job_id), revision: 0 };
        let guards = lookups.iter().map(guard).collect();
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        self.charge_read(ReadPurpose::AbsenceCheck);
        let call = InFlight::Batch(BatchCall::VerifyOwnKeysAbsent { lookups });
        self.call_store("POST", "/multi".into(), body, call);
    }

    /// Handles the outcome of the verification. For a job without a record of its own, the batch
    /// record is valid; for any other job, its own record is read.
    pub(super) fn on_own_keys_verified(&mut self, lookups: Vec<BatchLookup>, outcome: Outcome) {
        let (status, answer) = write_outcome(&outcome);
        let with_own_record = match (status, answer) {
            (200, Some(_)) => Vec::new(),
            (409, Some(answer)) => answer.failed,
            (status, _) => {
                if status != 0 {
                    self.on_store_throttled(status);
                }
                return lookups.into_iter().for_each(|lookup| self.fail_lookup(lookup));
            }
        };
        self.note_store_answer();
        for lookup in lookups {
            let has_own_record = with_own_record.contains(&job_key(&lookup.job_id));
            match lookup.batched_record {
                Some(record) if !has_own_record => {
                    self.job_batches.lookups.last_batch_checked = lookup.last_batch;
                    self.report_batched_record(&lookup.job_id, &record, *lookup.report_as);
                }
                batched_record => self.reread_own_record(BatchLookup { batched_record, ..lookup }),
            }
        }
    }

    fn reread_own_record(&mut self, lookup: BatchLookup) {
        let job_id = lookup.job_id.clone();
        self.charge_read(ReadPurpose::Reread);
        self.read_own_record(&job_id, InFlight::Batch(BatchCall::RereadJob(lookup)));
    }

    /// Handles the second read of a job's own record, which takes precedence over a batch record.
    pub(super) fn on_lookup_job_reread(&mut self, lookup: BatchLookup, outcome: Outcome) {
        self.job_batches.lookups.last_batch_checked = lookup.last_batch;
        match lookup.batched_record {
            Some(record) if is_not_found(&outcome) => {
                self.report_batched_record(&lookup.job_id, &record, *lookup.report_as)
            }
            _ => self.on_outcome(*lookup.report_as, outcome),
        }
    }

    /// Reports a job in a batch like a record at revision 0. A caller that then writes the job's
    /// own record guards the write by the absence of that record.
    fn report_batched_record(&mut self, job_id: &str, record: &JobRecord, report_as: InFlight) {
        let pair =
            KeyValue { key: job_key(job_id), value: encode(record), revision: 0, lease_id: None };
        self.on_outcome(report_as, Outcome::Answer(Response::new(200, to_cbor(&pair))));
    }

    fn report_absence(&mut self, lookup: BatchLookup) {
        self.job_batches.lookups.last_batch_checked = lookup.last_batch;
        let not_found = Outcome::Answer(Response::new(404, Vec::new()));
        self.on_outcome(*lookup.report_as, not_found);
    }

    fn fail_lookup(&mut self, lookup: BatchLookup) {
        self.on_outcome(*lookup.report_as, Outcome::NotSent);
    }
}

fn is_not_found(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(response) if response.status == 404)
}
