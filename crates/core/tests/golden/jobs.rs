//! Submissions, as users write them.

use crate::cbor::{raw, set_field, Value};

/// A job of so many tasks, with every field that must be there.
pub fn job(id: &str, shape: &str, tasks: u32) -> Value {
    let rank = if shape == "service" { "production" } else { "normal" };
    raw!({
        "ref" => id, "job_class" => "train", "owner" => "research", "shape" => shape,
        "rank" => rank, "pieces" => tasks, "vcpus" => 2.0, "gpus" => 0.0, "ram_gb" => 1.5,
        "bundle" => "img-07", "image_gb" => 6.2, "together" => false, "spread" => false,
        "loaners" => true, "expected_s" => 4.0, "snapshot_every_s" => 0.0,
        "snapshot_cost_s" => 0.0
    })
}

/// The same job with some fields set.
pub fn with(mut job: Value, fields: &[(&str, Value)]) -> Value {
    fields.iter().for_each(|(name, value)| set_field(&mut job, name, value.clone()));
    job
}

pub fn needing(job: Value, others: &[&str]) -> Value {
    let others = others.iter().map(|o| Value::from(*o)).collect();
    with(job, &[("prereqs", Value::Array(others))])
}
