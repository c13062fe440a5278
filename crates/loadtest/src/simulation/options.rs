//! Options that define the load on the scheduling core in a simulation.

/// The load on the core. Rates are per thousand machines.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadOptions {
    /// Number of machines with 16 CPUs each, all up at the start.
    #[arg(long, default_value_t = 1000)]
    pub machines: u32,
    /// Length of the run in seconds of simulated time.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Jobs submitted per second and thousand machines.
    #[arg(long, default_value_t = 1.2)]
    pub jobs: f64,
    /// Median number of tasks of a job; the largest jobs have five times as many.
    #[arg(long, default_value_t = 30)]
    pub tasks: u32,
    /// Median run time of a task in seconds.
    #[arg(long, default_value_t = 15.0)]
    pub run_s: f64,
    /// Services of five tasks per thousand machines, submitted at the start.
    #[arg(long, default_value_t = 200)]
    pub services: u32,
    /// Time between a worker's heartbeats, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub heartbeat_s: f64,
    /// Writes per second that the state service accepts.
    #[arg(long, default_value_t = 40.0)]
    pub writes: f64,
    /// Seed of the load and of the core's random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Second at which the leader crashes and another controller takes over from the stored
    /// records; no failover if omitted.
    #[arg(long)]
    pub failover_at: Option<u64>,
    /// Number of jobs that ended long before the failover and whose records are still stored.
    #[arg(long, default_value_t = 0)]
    pub terminal_jobs: u64,
}

impl LoadOptions {
    /// Returns the time between a worker's heartbeats, in milliseconds.
    pub fn heartbeat_ms(&self) -> f64 {
        self.heartbeat_s * 1000.0
    }

    /// Returns the number of services that are submitted at the start for the whole fleet.
    pub fn total_services(&self) -> u32 {
        self.services * self.machines / 1000
    }

    /// Returns the number of jobs that the whole fleet receives per second.
    pub fn arrival_rate(&self) -> f64 {
        self.jobs * f64::from(self.machines) / 1000.0
    }
}
