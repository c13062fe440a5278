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
mod tests {
    use super::expected_wait;

    /// Guards the formula itself, against numbers worked by hand.
    #[test]
    fn agrees_with_hand_worked_numbers() {
        // Equal times of 10 s at half load: 1 · 100 / 20 = 5 s.
        assert!((expected_wait(0.5, [10.0, 10.0]) - 5.0).abs() < 1e-9);
        // Times 10 and 30 at load 0.75: 3 · 500 / 40 = 37.5 s.
        assert!((expected_wait(0.75, [10.0, 30.0]) - 37.5).abs() < 1e-9);
        // The same mean with more variance waits longer.
        assert!(expected_wait(0.5, [1.0, 19.0]) > expected_wait(0.5, [10.0, 10.0]));
        // No work, no wait; a full machine's estimate is large but finite.
        assert_eq!(expected_wait(0.9, []), 0.0);
        assert!(expected_wait(1.0, [10.0]).is_finite());
    }
}
