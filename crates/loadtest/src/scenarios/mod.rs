//! Generates scenarios for a site from its own teams, job classes and zones: controller crashes,
//! cut connections, combinations of faults, floods of jobs and best-effort submitters.
//!
//! The bench reads the names and keys of the scenarios, so they must not change.

mod controller_faults;
mod fault_pairs;
mod job_floods;
mod profile;
mod scenario;
mod submitters;

use toml_edit::{ArrayOfTables, DocumentMut};

use crate::site::SiteError;
use profile::SiteProfile;
use scenario::Scenario;

/// Generates the scenarios for a site, as the list of tables that a site file contains.
pub fn generate(document: &DocumentMut) -> Result<ArrayOfTables, SiteError> {
    let site = SiteProfile::read(document)?;
    let groups = [
        controller_faults::crashes(&site),
        controller_faults::cut_connections(&site),
        job_floods::floods(&site),
        fault_pairs::faults_during_cancellations(&site),
        fault_pairs::faults_under_disturbances(&site),
        submitters::submitters(&site),
    ];
    let scenarios = groups.into_iter().flatten();
    Ok(scenarios.map(Scenario::into_table).collect())
}
