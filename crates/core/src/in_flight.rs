//! Calls in flight made by the modules that have no call table of their own, and the purpose of
//! each.
//!
//! Calls that concern the leader's in-memory state carry the epoch in which they were made, because
//! that state no longer exists once the epoch has changed.

use quartzgate_wire::msg::JobSpec;

use crate::api::status_queries::ValidatedRead;
use crate::api::status_reads::LiveComparison;
use crate::api::{Rejection, UserRequest};
use crate::ids::JobIndex;
use crate::storage::job_batches::BatchCall;
use crate::storage::placement_records::RecordLocation;
use crate::RequestId;

/// Purpose of a call made by a module that has no [`crate::context::CallTable`] of its own.
#[derive(Debug)]
pub(crate) enum InFlight {
    /// A lease proxy's read of a job whose task a worker runs.
    ProxiedJobRead { job: String, sent_ms: u64 },
    /// A read of a job that was recorded without the leader, or whose accepting write is
    /// indeterminate.
    RecordedJobRead { job: String, epoch: u64 },
    /// The write that accepts a job.
    AcceptWrite { request: RequestId, job: JobIndex, location: RecordLocation, epoch: u64 },
    /// The write that accepts a job in the store without the leader.
    AcceptWithoutLeader { request: RequestId, id: String, dependency_aborted: bool },
    /// The write that aborts a job.
    AbortWrite { request: Option<RequestId>, job: JobIndex, location: RecordLocation, epoch: u64 },
    /// A read of a job that is to be aborted in the store without the leader.
    AbortRead { request: RequestId, id: String },
    /// The write that aborts a job in the store without the leader.
    AbortWithoutLeader { request: RequestId, id: String },
    /// A read of a submitted job, to answer a repeated submission or to reject it.
    SubmittedJobRead { request: RequestId, job: String, rejection: Option<Rejection> },
    /// A read of a job that other jobs depend on and that is not in memory.
    DependencyRead { job: String, epoch: u64 },
    /// A read of a job in a walk along the dependency graph, on behalf of one request.
    DependencyWalkRead { request: RequestId, job: String },
    /// A read for status queries of one job.
    StatusRead { requests: Vec<RequestId>, id: String },
    /// A comparison that answers status queries of live jobs.
    LiveJobComparison(LiveComparison),
    /// A read of a job that is to be accepted in the store without the leader.
    LookupBeforeSubmission { request: RequestId, spec: Box<JobSpec>, dependency_aborted: bool },
    /// Reads and writes of job batches.
    Batch(BatchCall),
    /// A read that validates status answers given from memory.
    ValidatedRead { read: ValidatedRead, epoch: u64 },
    /// A user's request that was forwarded to another controller.
    Forward { request: RequestId, sibling: usize, user_request: Box<UserRequest> },
    /// A notice to another controller that a job is aborted.
    AbortNotice { job: String },
    /// A read of the machine types that the cloud offers.
    MachineTypesRead,
}
