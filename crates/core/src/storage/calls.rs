//! Calls of the storage modules to the key-value store, and routing of their outcomes.

use quartzgate_feature_gates::ActivationRecord;

use crate::controller::Controller;
use crate::latency::LatencySpan;
use crate::storage::record_writer::FlushItem;
use crate::Outcome;

/// Purpose of a call. Calls that concern the leader's memory carry its epoch, and their outcomes
/// change that memory only in the same epoch.
#[derive(Debug)]
pub(crate) enum StorageCall {
    /// Transaction of the record writer.
    Flush { items: Vec<FlushItem>, sent_ms: u64, epoch: u64 },
    /// Reread of a record whose revision is uncertain.
    RecordReread { item: FlushItem, epoch: u64 },
    /// Periodic read of a live job's record.
    LiveRecordRead { job: String, epoch: u64 },
    /// Read of the active formats and of the controllers' capabilities.
    FormatKeysRead,
    /// Read of the controllers' membership keys.
    MembersRead,
    /// Write of this controller's capabilities. Its outcome is ignored, because the next read shows
    /// it.
    CapabilitiesWrite,
    /// Write that activates a step of the feature gates.
    StepWrite { record: ActivationRecord, epoch: u64 },
}

impl Controller {
    /// Calls the key-value store. The outcome goes to [`Controller::on_storage_outcome`].
    pub(super) fn call_from_storage(
        &mut self,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        call: StorageCall,
    ) {
        let id = self.context.call_store(method, target, body);
        self.storage_calls.insert(id, call);
    }

    /// Routes the outcome of a call to the module that made the call.
    pub(crate) fn on_storage_outcome(&mut self, call: StorageCall, outcome: Outcome) {
        let current_epoch = self.epoch();
        match call {
            StorageCall::FormatKeysRead => self.on_format_keys_read(outcome),
            StorageCall::MembersRead => self.on_members_read(outcome),
            StorageCall::CapabilitiesWrite => {}
            StorageCall::StepWrite { record, epoch } => {
                self.on_step_written((epoch == current_epoch).then_some(record), outcome)
            }
            StorageCall::Flush { epoch, .. }
            | StorageCall::RecordReread { epoch, .. }
            | StorageCall::LiveRecordRead { epoch, .. }
                if epoch != current_epoch => {}
            StorageCall::Flush { items, sent_ms, .. } => {
                let latency_ms = self.context.now.steady_ms.saturating_sub(sent_ms);
                self.context.latencies.record(LatencySpan::Write, latency_ms);
                self.on_flush(items, outcome)
            }
            StorageCall::RecordReread { item, .. } => self.on_record_reread(item, outcome),
            StorageCall::LiveRecordRead { job, .. } => self.on_live_record_read(job, outcome),
        }
    }
}
