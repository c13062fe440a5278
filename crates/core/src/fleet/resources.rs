//! Amounts of CPU, GPU and memory, and their comparison.

/// Tolerance for rounding errors of floating-point addition and subtraction of amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Number of tasks that fit by a resource of which a task needs nothing; stands for "unlimited".
const UNLIMITED_TASKS: f64 = 1e6;

/// A vector of resources: a machine's capacity, its free part, or the need of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of CPU cores.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Adds `other` multiplied by `times`; a negative factor subtracts.
    pub fn add(&mut self, other: &Resources, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    /// Returns `self` minus `other`; components may become negative.
    pub fn minus(&self, other: &Resources) -> Resources {
        let mut difference = *self;
        difference.add(other, -1.0);
        difference
    }

    /// Returns whether `need` fits into `self`, within the rounding tolerance.
    pub fn can_fit(&self, need: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= need.cpus
            && self.gpus + ROUNDING_TOLERANCE >= need.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= need.memory_gb
    }

    /// Returns how many tasks fit into `self` if each needs `need`.
    pub fn max_tasks(&self, need: &Resources) -> u32 {
        let fitting = |free: f64, needed: f64| match needed > 0.0 {
            true => (free + ROUNDING_TOLERANCE) / needed,
            false => UNLIMITED_TASKS,
        };
        let scarcest = fitting(self.cpus, need.cpus)
            .min(fitting(self.gpus, need.gpus))
            .min(fitting(self.memory_gb, need.memory_gb));
        scarcest.max(0.0) as u32
    }
}
