//! When to come back: those who are turned away, and how fast they could be served.

use rand::Rng;

/// Counts those turned away over the last moments.
#[derive(Clone, Debug, Default)]
pub struct Turned {
    per_s: f64,
    at_ms: u64,
    all: u64,
}

/// The time over which they are counted, in milliseconds.
const OVER_MS: f64 = 2_000.0;
/// Nobody is sent away for longer: users give up after a minute (PROTOCOL).
const AWAY_MOST_S: f64 = 10.0;

impl Turned {
    /// One more is turned away, where so many a second could be served. Gives the whole
    /// seconds after which it may be taken: those turned away are spread over about the
    /// time that serving them all would take, and never sent back before a second.
    pub fn turn<R: Rng>(&mut self, now_ms: u64, served_per_s: f64, rng: &mut R) -> u32 {
        let passed = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s = self.per_s * (-passed / OVER_MS).exp() + 1_000.0 / OVER_MS;
        (self.at_ms, self.all) = (now_ms, self.all + 1);
        let wait_s = self.per_s / served_per_s.max(0.1);
        let later = rng.random_range(0.0..=1.0) * 2.0 * wait_s;
        1 + later.min(AWAY_MOST_S - 1.0) as u32
    }

    /// All that were turned away.
    pub fn all(&self) -> u64 {
        self.all
    }
}
