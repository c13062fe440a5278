//! Generates the jobs that simulated users submit.

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};
use rand::rngs::SmallRng;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::options::LoadOptions;

/// Sigma of the log-normal distributions of the number of tasks and of run times.
const LOG_SIGMA: f64 = 0.7;
/// Largest number of tasks of a job, as a multiple of the median.
const MAX_TASKS_FACTOR: u32 = 5;
/// Fraction of batch jobs with high priority; these have no deadline and save no checkpoints.
const HIGH_PRIORITY_FRACTION: f64 = 0.4;
/// Number of images from which each job draws one at random.
const IMAGES: u32 = 12;
/// Number of tasks of a service.
const SERVICE_TASKS: u32 = 5;
/// Seconds between a task's checkpoints, and seconds that saving one takes.
const CHECKPOINT_INTERVAL_S: f64 = 15.0;
const CHECKPOINT_SAVE_S: f64 = 2.0;
/// Lowest rate of arrivals, which keeps the time between two arrivals finite.
const MIN_ARRIVAL_RATE: f64 = 1e-3;

/// Generates random jobs and numbers them.
pub struct JobSource {
    next_number: u64,
}

impl JobSource {
    /// Creates a source whose first job has the number 1.
    pub fn new() -> Self {
        JobSource { next_number: 1 }
    }

    /// Generates a service: production priority, spread over zones, not on spot machines, without
    /// an end.
    pub fn service(&mut self, options: &LoadOptions, rng: &mut SmallRng) -> JobSpec {
        JobSpec {
            class: "web".into(),
            team: "web".into(),
            kind: JobKind::Service,
            priority: Priority::Production,
            tasks: SERVICE_TASKS,
            spread: true,
            spot: false,
            estimate_s: 0.0,
            deadline_s: None,
            ..self.batch_job(options, rng)
        }
    }

    /// Generates a job array with a random number of tasks and a random run time.
    pub fn batch_job(&mut self, options: &LoadOptions, rng: &mut SmallRng) -> JobSpec {
        let tasks = log_normal(f64::from(options.tasks)).sample(rng) as u32;
        let run_s = log_normal(options.run_s).sample(rng);
        let high_priority = rng.random_bool(HIGH_PRIORITY_FRACTION);
        let image = rng.random_range(0..IMAGES);
        let id = format!("wk-{:08}", self.next_number);
        self.next_number += 1;
        JobSpec {
            id,
            class: "batch".into(),
            team: "night".into(),
            kind: JobKind::Array,
            priority: if high_priority { Priority::High } else { Priority::Normal },
            tasks: tasks.clamp(1, options.tasks * MAX_TASKS_FACTOR),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 13.0,
            image: format!("img-{image}"),
            image_gb: 1.0,
            types: None,
            zone: None,
            together: false,
            spread: false,
            spot: true,
            estimate_s: run_s,
            checkpoint_interval_s: if high_priority { 0.0 } else { CHECKPOINT_INTERVAL_S },
            checkpoint_cost_s: if high_priority { 0.0 } else { CHECKPOINT_SAVE_S },
            deadline_s: (!high_priority).then_some(2.0 * run_s + 20.0),
            dependencies: Vec::new(),
        }
    }

    /// Draws the time until the next job arrives, from a Poisson process; at least 1 ms.
    pub fn next_arrival_ms(&self, options: &LoadOptions, rng: &mut SmallRng) -> u64 {
        let rate = options.arrival_rate().max(MIN_ARRIVAL_RATE);
        let interval_s = Exp::new(rate).expect("the rate is positive").sample(rng);
        ((interval_s * 1000.0) as u64).max(1)
    }
}

fn log_normal(median: f64) -> LogNormal<f64> {
    LogNormal::new(median.ln(), LOG_SIGMA).expect("a positive median has a finite logarithm")
}
