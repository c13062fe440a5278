//! Imports submissions and aborts that other controllers have recorded without the leader.

use ciborium::value::Value;
use quartzgate_wire::msg::valid_job_id;

use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::storage::records::{decode, job_key, HANDOFF_PREFIX};

impl Controller {
    /// Handles an entry of the handoff queue, which names a job that was submitted or aborted
    /// without the leader. The entry is scheduled for deletion, because the job's record contains
    /// the same information.
    pub(crate) fn on_handoff_entry(&mut self, key: &str, value: &Value, revision: u64) {
        let job = key.strip_prefix(HANDOFF_PREFIX).filter(|job| valid_job_id(job));
        let Some(job) = job else { return };
        let is_aborted = decode::<bool>(value).unwrap_or(false);
        self.record_writer.schedule_deletion_at(key.to_string(), revision);
        if is_aborted {
            // The abort was recorded in the transaction that wrote this entry.
            self.on_abort_recorded(job);
        } else if self.jobs.find(job).is_none() {
            let call = InFlight::RecordedJobRead { job: job.to_string(), epoch: self.epoch() };
            self.call_store("GET", format!("/keys/{}", job_key(job)), Vec::new(), call);
        }
    }
}
