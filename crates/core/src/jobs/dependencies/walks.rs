//! Walks: reads of job records along the dependency graph on behalf of one request.
//!
//! The answer to a status query depends on whether the job is aborted through a dependency, and the
//! answer to a submission on whether all of the job's dependencies were accepted. Any controller
//! can answer both from the records. The number of walks and the memory for their job identifiers
//! are bounded.

use std::collections::HashSet;

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus};
use quartzgate_wire::to_cbor;

use super::DependencyGraph;
use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{decode, JobRecord, RecordedStatus};
use crate::{Outcome, RequestId};

/// Maximum number of reads of one walk in flight.
const MAX_WALK_READS: usize = 6;
/// Approximate memory that one job identifier takes in a walk.
const BYTES_PER_WALK_ID: usize = 64;

/// The purpose of a walk.
#[derive(Debug)]
enum WalkPurpose {
    /// Answers a status query for a job that is live according to its record.
    Status(JobAnswer),
    /// Verifies that all dependencies of a submission were accepted.
    Admission(Box<JobSpec>),
}

/// State of a walk: the job records that are read for one request.
#[derive(Debug)]
pub(super) struct DependencyWalk {
    purpose: WalkPurpose,
    /// Jobs whose records have not been requested yet.
    unread: Vec<String>,
    /// All jobs that have been in `unread`.
    seen: HashSet<String>,
    reads_in_flight: usize,
    /// Whether some record that was read says that its job has not ended.
    found_live: bool,
    /// Whether some job of the walk is known to be aborted.
    found_aborted: bool,
    /// Monotonic time at which the request is refused because its answer can't be decided in time.
    expires_ms: u64,
}

impl DependencyWalk {
    /// Returns whether the walk is for a submission that names this job as a direct dependency.
    fn admits_dependent_of(&self, id: &String) -> bool {
        matches!(&self.purpose, WalkPurpose::Admission(spec) if spec.dependencies.contains(id))
    }
}

impl DependencyGraph {
    fn expired_walks(&self, now_ms: u64) -> Vec<RequestId> {
        let expired = self.walks.iter().filter(|(_, walk)| now_ms >= walk.expires_ms);
        expired.map(|(request, _)| *request).collect()
    }
}

impl Controller {
    /// Refuses the requests whose walks took too long, because they can't be decided now.
    pub(super) fn expire_walks(&mut self) {
        for request in self.dependency_graph.expired_walks(self.context.now.steady_ms) {
            self.dependency_graph.walks.remove(&request);
            self.answer_unavailable(request, RefusalReason::DependenciesUnknown);
        }
    }

    /// Answers a status query for a job that is live according to its record, after reading the
    /// records of its dependencies, `named`: the job is aborted if one of them is aborted, and
    /// queued while one of them has not ended.
    pub(crate) fn answer_after_dependency_walk(
        &mut self,
        request: RequestId,
        answer: JobAnswer,
        named: Vec<String>,
    ) {
        self.begin_walk(request, WalkPurpose::Status(answer), named)
    }

    /// Submits a job once all of its dependencies are known to have been accepted and not to be
    /// services.
    pub(crate) fn submit_after_dependency_check(&mut self, request: RequestId, spec: JobSpec) {
        let unread =
            spec.dependencies.iter().filter(|id| !self.is_valid_dependency(id)).cloned().collect();
        self.begin_walk(request, WalkPurpose::Admission(Box::new(spec)), unread)
    }

    /// Returns whether memory shows that a job was accepted and is not a service.
    fn is_valid_dependency(&self, id: &str) -> bool {
        match self.terminal_jobs.get(id) {
            // A service never ends as done.
            Some(RecordedStatus::Done) => true,
            Some(_) => false,
            None => {
                let job = self.jobs.find(id).and_then(|index| self.jobs.get(index));
                job.is_some_and(|job| job.revision > 0 && job.spec.kind != JobKind::Service)
            }
        }
    }

    fn begin_walk(&mut self, request: RequestId, purpose: WalkPurpose, unread: Vec<String>) {
        let walks = &self.dependency_graph.walks;
        let ids = walks.values().map(|walk| walk.seen.len()).sum::<usize>() + unread.len();
        let too_many = walks.len() >= self.context.config.max_dependency_walks();
        let too_large = ids * BYTES_PER_WALK_ID > self.context.config.max_held_bytes();
        if too_many || too_large && !walks.is_empty() {
            return self.answer_unavailable(request, RefusalReason::TooManyWaiting);
        }
        let walk = DependencyWalk {
            purpose,
            seen: unread.iter().cloned().collect(),
            unread,
            reads_in_flight: 0,
            found_live: false,
            found_aborted: false,
            expires_ms: self.context.now.steady_ms + 3 * self.context.config.store_timeout_ms(),
        };
        self.dependency_graph.walks.insert(request, walk);
        self.continue_walk(request);
    }

    /// Requests the next records, and answers the request once all records have been read.
    fn continue_walk(&mut self, request: RequestId) {
        loop {
            let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
            if walk.reads_in_flight >= MAX_WALK_READS {
                return;
            }
            let Some(id) = walk.unread.pop() else { break };
            match self.terminal_jobs.get(&id) {
                Some(RecordedStatus::Done) => continue,
                // An abort does not show whether a direct dependency was a service, so the record
                // of that dependency is read.
                Some(_) if !walk.admits_dependent_of(&id) => {
                    walk.found_aborted = true;
                    if let WalkPurpose::Status(_) = walk.purpose {
                        return self.end_walk_as_aborted(request);
                    }
                    continue;
                }
                _ => {}
            }
            walk.reads_in_flight += 1;
            if !self.may_read(ReadPurpose::Request) {
                return self.refuse_undecided(request);
            }
            let pending = InFlight::DependencyWalkRead { request, job: id.clone() };
            self.look_up(&id, pending);
        }
        self.end_walk_if_complete(request);
    }

    fn end_walk_if_complete(&mut self, request: RequestId) {
        let walk = self.dependency_graph.walks.get(&request);
        if walk.is_none_or(|walk| walk.reads_in_flight > 0) {
            return;
        }
        let Some(walk) = self.dependency_graph.walks.remove(&request) else { return };
        match walk.purpose {
            WalkPurpose::Status(mut answer) => {
                if walk.found_live {
                    answer.status = JobStatus::Queued;
                }
                self.answer(request, Response::new(200, to_cbor(&answer)))
            }
            WalkPurpose::Admission(spec) => {
                self.submit_admitted(request, *spec, walk.found_aborted)
            }
        }
    }

    /// Answers a status query for a job that has an aborted dependency, and applies the abort to
    /// the job if this controller is the leader.
    fn end_walk_as_aborted(&mut self, request: RequestId) {
        let Some(walk) = self.dependency_graph.walks.remove(&request) else { return };
        let WalkPurpose::Status(answer) = walk.purpose else { return };
        // No leader has ever started a task of this job, since its dependency was never done.
        self.learn_confirmed_abort(&answer.id);
        if let Some(index) = self.jobs.find(&answer.id).filter(|_| self.leads()) {
            self.abort_through_dependency(index);
        }
        self.answer_terminal(request, &answer.id, RecordedStatus::Aborted);
    }

    /// Ends a walk and refuses its request, because the answer can't be decided now.
    fn refuse_undecided(&mut self, request: RequestId) {
        self.dependency_graph.walks.remove(&request);
        self.answer_unavailable(request, RefusalReason::DependenciesUnknown);
    }

    /// Handles the outcome of reading a record for a walk.
    pub(crate) fn on_walk_read(&mut self, request: RequestId, id: String, outcome: Outcome) {
        let read = self.read_outcome(outcome);
        let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
        walk.reads_in_flight -= 1;
        let admits_dependent = walk.admits_dependent_of(&id);
        let Ok(found) = read else { return self.refuse_undecided(request) };
        let Some(pair) = found else { return self.on_walk_record_missing(request, &id) };
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            tracing::error!(job = %id, "the job's record can't be decoded; it is left unchanged");
            return self.refuse_undecided(request);
        };
        if admits_dependent && record.is_service() {
            return self.refuse_admission(request, "a job in prereqs is a service");
        }
        match record.status {
            RecordedStatus::Live => self.on_walk_found_live(request, &id, record, pair.revision),
            RecordedStatus::Done => self.learn_terminal_state(&id, RecordedStatus::Done),
            RecordedStatus::Aborted => {
                self.learn_terminal_state(&id, RecordedStatus::Aborted);
                if self.leads() {
                    self.apply_recorded_abort(&id, pair.revision);
                }
                if let Some(walk) = self.dependency_graph.walks.get_mut(&request) {
                    walk.found_aborted = true;
                    if let WalkPurpose::Status(_) = walk.purpose {
                        return self.end_walk_as_aborted(request);
                    }
                }
            }
        }
        self.continue_walk(request);
    }

    fn on_walk_record_missing(&mut self, request: RequestId, id: &String) {
        let walk = self.dependency_graph.walks.get(&request);
        if walk.is_some_and(|walk| walk.admits_dependent_of(id)) {
            return self.refuse_admission(request, "a job in prereqs was never accepted");
        }
        tracing::error!(job = %id, "a dependency's record is missing; the request is refused");
        self.refuse_undecided(request);
    }

    /// Ends a walk for a submission that names an invalid dependency, and refuses the submission.
    fn refuse_admission(&mut self, request: RequestId, reason: &str) {
        let walk = self.dependency_graph.walks.remove(&request);
        if let Some(WalkPurpose::Admission(spec)) = walk.map(|walk| walk.purpose) {
            self.reject_unless_known(request, spec.id, 422, reason);
        }
    }

    /// Extends a walk by the dependencies of a job that has not ended.
    fn on_walk_found_live(
        &mut self,
        request: RequestId,
        id: &String,
        record: JobRecord,
        revision: u64,
    ) {
        let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
        walk.found_live = true;
        let dependencies = record.spec.as_ref().map(|spec| spec.dependencies.clone());
        for dependency in dependencies.unwrap_or_default() {
            if walk.seen.insert(dependency.clone()) {
                walk.unread.push(dependency);
            }
        }
        if walk.admits_dependent_of(id) && self.leads() {
            self.add_recorded_job(id, record, revision);
        }
    }
}
