//! The expected wait in a machine's queue (Phoenix, equation 1).

/// Upper limit on the load in the formula, so that the estimate stays finite.
const MAX_LOAD: f64 = 0.98;

/// Returns the expected wait in seconds, E\[W\] = ρ/(1−ρ) · E\[S²\]/(2·E\[S\])
/// (Pollaczek–Khinchine). `load` (ρ) is the load of the most used resource. `times_s` (samples of
/// S) are the remaining times of running tasks and the estimated times of queued tasks.
pub fn expected_wait(load: f64, times_s: impl IntoIterator<Item = f64>) -> f64 {
    let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
    for time_s in times_s {
        count += 1.0;
        sum += time_s;
        squares += time_s * time_s;
    }
    if count == 0.0 || sum <= 0.0 {
        return 0.0;
    }
    let load = load.clamp(0.0, MAX_LOAD);
    load / (1.0 - load) * (squares / count) / (2.0 * sum / count)
}

#[cfg(test)]
#[path = "../../tests/unit/wait.rs"]
mod tests;
