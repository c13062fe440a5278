//! The wait estimate of a machine's queue (Phoenix, equation 1).

/// Load is kept below this, so that the estimate stays finite.
const MAX_LOAD: f64 = 0.98;

/// E\[W\] = ρ/(1−ρ) · E\[S²\]/(2·E\[S\]) after Pollaczek and Khinchine, in seconds.
/// `load` is the constrained resource's load, `times` are the running tasks' times
/// and the queued tasks' estimates.
pub fn expected_wait(load: f64, times: impl IntoIterator<Item = f64>) -> f64 {
    let (mut n, mut sum, mut squares) = (0.0, 0.0, 0.0);
    for t in times {
        n += 1.0;
        sum += t;
        squares += t * t;
    }
    if n == 0.0 || sum <= 0.0 {
        return 0.0;
    }
    let load = load.clamp(0.0, MAX_LOAD);
    load / (1.0 - load) * (squares / n) / (2.0 * sum / n)
}

#[cfg(test)]
#[path = "../../tests/unit/wait.rs"]
mod tests;
