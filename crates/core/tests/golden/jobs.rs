//! Job submissions as raw CBOR values.

use crate::cbor::{raw, set_field, Value};

/// Returns a submission of a job with this many tasks and all mandatory fields.
pub fn job(id: &str, kind: &str, tasks: u32) -> Value {
    let rank = if kind == "service" { "production" } else { "normal" };
    raw!({
        "ref" => id, "job_class" => "train", "owner" => "research", "shape" => kind,
        "rank" => rank, "pieces" => tasks, "vcpus" => 2.0, "gpus" => 0.0, "ram_gb" => 1.5,
        "bundle" => "img-07", "image_gb" => 6.2, "together" => false, "spread" => false,
        "loaners" => true, "expected_s" => 4.0, "snapshot_every_s" => 0.0,
        "snapshot_cost_s" => 0.0
    })
}

/// Returns the map with some fields set or replaced.
pub fn with_fields(mut map: Value, fields: &[(&str, Value)]) -> Value {
    fields.iter().for_each(|(name, value)| set_field(&mut map, name, value.clone()));
    map
}

/// Returns the submission with the given dependencies.
pub fn depending_on(job: Value, dependencies: &[&str]) -> Value {
    let dependencies = dependencies.iter().map(|id| Value::from(*id)).collect();
    with_fields(job, &[("prereqs", Value::Array(dependencies))])
}
