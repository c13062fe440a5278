//! Batch records, each of which holds several live jobs that were accepted together.
//!
//! The description of the first job is stored in full as a template. Each job's entry has only the
//! fields in which its description differs from the template.

use std::collections::BTreeMap;

use ciborium::value::Value;
use quartzgate_wire::msg::JobSpec;
use serde::{Deserialize, Serialize};

use super::encoding::{checked_size, decode, encode};
use super::job::{JobRecord, RecordedStatus};
use super::placement::PlacementPiece;

/// Name and value of one field of a job's description, stored as an array of two elements.
type SpecField = (String, Value);

/// Live jobs that share a record. Fields that their descriptions have in common are stored once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Fields of the first job's description.
    #[serde(rename = "like")]
    template: Vec<SpecField>,
    /// Encoded [`BatchEntry`] of each job, by job identifier. An entry that can't be decoded
    /// affects only its own job.
    jobs: BTreeMap<String, Value>,
}

/// Entry of one job in a batch record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct BatchEntry {
    at_ms: u64,
    /// Fields that differ from the template, and null for template fields that the job lacks.
    spec: Vec<SpecField>,
    #[serde(rename = "share", default, skip_serializing_if = "Option::is_none")]
    placement: Option<PlacementPiece>,
}

fn spec_fields(spec: &JobSpec) -> Vec<SpecField> {
    let map = encode(spec).into_map().unwrap_or_default();
    map.into_iter().filter_map(|(key, value)| Some((key.into_text().ok()?, value))).collect()
}

/// Returns the fields in which a description differs from the template, with null for template
/// fields that the description lacks.
fn difference(template: &[SpecField], fields: Vec<SpecField>) -> Vec<SpecField> {
    let lacks = |name: &String| !fields.iter().any(|(field, _)| field == name);
    let missing = template.iter().filter(|(name, _)| lacks(name));
    let missing: Vec<_> = missing.map(|(name, _)| (name.clone(), Value::Null)).collect();
    fields.into_iter().filter(|field| !template.contains(field)).chain(missing).collect()
}

impl BatchRecord {
    /// Returns the size in bytes that the description `spec` takes in a batch whose template is the
    /// description `template`.
    pub fn difference_size(template: &JobSpec, spec: &JobSpec) -> usize {
        checked_size(&difference(&spec_fields(template), spec_fields(spec)))
    }

    /// Adds a job to the batch. The description of the first job becomes the template.
    pub fn add(&mut self, spec: &JobSpec, at_ms: u64, placement: Option<PlacementPiece>) {
        let fields = spec_fields(spec);
        if self.template.is_empty() {
            self.template = fields.clone();
        }
        let entry = BatchEntry { at_ms, spec: difference(&self.template, fields), placement };
        self.jobs.insert(spec.id.clone(), encode(&entry));
    }

    /// Returns a job of the batch in the form of its own record, or `None` if the batch does not
    /// contain the job or its entry can't be decoded.
    pub fn get(&self, id: &str) -> Option<JobRecord> {
        let entry: BatchEntry = decode(self.jobs.get(id)?)?;
        let mut fields: BTreeMap<String, Value> = self.template.iter().cloned().collect();
        for (name, value) in entry.spec {
            match value {
                Value::Null => drop(fields.remove(&name)),
                value => drop(fields.insert(name, value)),
            }
        }
        let spec: JobSpec = decode(&encode(&fields))?;
        if spec.id != id {
            return None;
        }
        Some(JobRecord {
            status: RecordedStatus::Live,
            spec: Some(spec),
            at_ms: entry.at_ms,
            done_chunks: Vec::new(),
            service: false,
            placement: entry.placement,
        })
    }

    /// Returns whether the batch contains the job, even if its entry can't be decoded.
    pub fn holds(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns the identifiers of all jobs of the batch, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.jobs.keys()
    }
}
