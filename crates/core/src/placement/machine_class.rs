//! Machine classes: machines that no job can tell apart by its constraints.

use quartzgate_wire::msg::JobSpec;

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};

/// Machines of one type and zone that are all spot or all on-demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineClass {
    /// Position of the machine type in the list that the cloud has published.
    machine_type: usize,
    /// Index of the zone in the platform's settings; `None` if the zone is unknown.
    pub zone: Option<u16>,
    /// Whether the machines are spot instances.
    spot: bool,
}

impl Controller {
    /// Returns the class of a machine, or `None` if its type is unknown.
    pub(super) fn machine_class(&self, machine: &Machine) -> Option<MachineClass> {
        let types = &self.machine_types;
        let machine_type = types.iter().position(|published| published.name == machine.kind)?;
        Some(MachineClass { machine_type, zone: machine.zone, spot: machine.spot })
    }

    /// Returns the resources of an empty machine of the class.
    pub(super) fn class_capacity(&self, class: MachineClass) -> Resources {
        let machine_type = &self.machine_types[class.machine_type];
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Returns whether a job may run on machines of the class, and one of its tasks fits an empty
    /// one.
    pub(super) fn class_suits(&self, class: MachineClass, spec: &JobSpec) -> bool {
        let need = Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb };
        let kind = &self.machine_types[class.machine_type].name;
        self.class_capacity(class).can_fit(&need) && self.allows(spec, kind, class.zone, class.spot)
    }
}
