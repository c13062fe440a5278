//! What is put on the scheduling core in a simulation.

/// The load on the core. Rates are for each thousand machines.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadOptions {
    /// Machines of 16 CPUs, all up at the start.
    #[arg(long, default_value_t = 1000)]
    pub machines: u32,
    /// Seconds of simulated time.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Jobs a second for each thousand machines.
    #[arg(long, default_value_t = 1.2)]
    pub jobs: f64,
    /// Tasks of a job: the median; the longest tail is five times that.
    #[arg(long, default_value_t = 30)]
    pub tasks: u32,
    /// Run time of a task in seconds: the median.
    #[arg(long, default_value_t = 15.0)]
    pub run_s: f64,
    /// Services of five tasks for each thousand machines, submitted at the start.
    #[arg(long, default_value_t = 200)]
    pub services: u32,
    /// Time between a worker's heartbeats, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub heartbeat_s: f64,
    /// Changes a second that the state service takes.
    #[arg(long, default_value_t = 40.0)]
    pub writes: f64,
    /// Seed of the load and of the core's random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Second at which the leader crashes and another takes over from the records.
    #[arg(long)]
    pub failover_at: Option<u64>,
    /// Jobs that ended long before the failover and are kept on record.
    #[arg(long, default_value_t = 0)]
    pub terminal_jobs: u64,
}

impl LoadOptions {
    /// Time between a worker's heartbeats, in milliseconds.
    pub fn heartbeat_ms(&self) -> f64 {
        self.heartbeat_s * 1000.0
    }

    /// Services that are submitted at the start.
    pub fn total_services(&self) -> u32 {
        self.services * self.machines / 1000
    }

    /// Jobs a second of the whole fleet.
    pub fn arrival_rate(&self) -> f64 {
        self.jobs * f64::from(self.machines) / 1000.0
    }
}
