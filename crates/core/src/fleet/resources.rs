//! Amounts of CPU, GPU and memory, and whether one fits into another.

/// What binary fractions may lose when amounts are added and subtracted.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Stands for "any number" where a task needs nothing of a resource.
const UNLIMITED_TASKS: f64 = 1e6;

/// A vector of resources: what a machine has, what is free of it, or what a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Adds `times` times `other`; a negative factor subtracts.
    pub fn add(&mut self, other: &Resources, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    /// What is left of `self` without `other`; components may become negative.
    pub fn minus(&self, other: &Resources) -> Resources {
        let mut difference = *self;
        difference.add(other, -1.0);
        difference
    }

    /// Whether `need` fits in, but for rounding errors.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= need.cpus
            && self.gpus + ROUNDING_TOLERANCE >= need.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= need.memory_gb
    }

    /// How many tasks that need `need` each fit in.
    pub fn holds(&self, need: &Resources) -> u32 {
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
