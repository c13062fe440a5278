//! The faults of a run, determined by its seed.

use std::fmt;

use rand::rngs::SmallRng;
use rand::Rng;

/// Number of faults drawn per ten seconds of the fault phase, besides the series of leader kills.
const FAULTS_PER_10_S: f64 = 2.2;
/// Range of fault durations.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 1_500..=16_000;
/// Range of the time for which a leader is isolated.
const ISOLATION_DURATION_MS: std::ops::RangeInclusive<u64> = 4_000..=12_000;
/// Time between a burst of submissions and the isolation of the leader, in which the jobs are placed.
const BACKLOG_LEAD_MS: u64 = 2_500;
/// Longest time for which a process is paused.
const MAX_PAUSE_DURATION_MS: u64 = 7_000;
/// Delays after which a killed controller is restarted: almost at once, or after seconds.
const RESTART_DELAYS_MS: [u64; 2] = [200, 3_000];
/// Time between two kills in a series of leader kills.
const LEADER_KILL_INTERVAL_MS: u64 = 2_500;

/// The controller that a fault affects, resolved when the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The controller that is leader at that time.
    Leader,
    /// The controller with this number.
    Node(usize),
}

/// How calls over a cut connection fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutMode {
    /// Calls are refused at once.
    Refuse,
    /// Calls get no answer.
    Hold,
}

/// The kind of a fault, with its parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A controller is killed, and restarted after `back_ms`.
    Kill { target: Target, back_ms: u64 },
    /// All controllers are killed, and restarted after `back_ms`.
    KillAll { back_ms: u64 },
    /// A controller process is stopped, while its clocks keep running.
    Pause { target: Target },
    /// The state service answers one controller with 503, or not at all.
    CutStore { target: Target, mode: CutMode },
    /// The state service answers all controllers with 503.
    StoreOut,
    /// The state service delays every request by `ms`.
    StoreSlow { ms: u64 },
    /// A share of the writing transactions is applied late and gets no answer.
    LateWrites { share: f64 },
    /// A share of the writing transactions is applied at once, but the answers are lost.
    LostAnswers { share: f64 },
    /// A controller is cut off from all other controllers.
    CutMesh { target: Target, mode: CutMode },
    /// No worker's heartbeat reaches the affected controller.
    CutWorkers { target: Target },
    /// Heartbeats of some workers arrive, but answers and orders to these workers are lost.
    DeafWorkers { share: f64 },
    /// Heartbeats of some workers are lost, while orders to these workers arrive.
    MuteWorkers { share: f64 },
    /// Some workers hang, and resume when the fault ends.
    HungWorkers { share: f64 },
    /// Duplicates of a share of the heartbeats arrive late, at random controllers.
    LateHeartbeats { share: f64 },
    /// A share of the orders is carried out late and gets no answer.
    LateOrders { share: f64 },
    /// A share of the orders is delivered a second time, after it was carried out.
    CopiedOrders { share: f64 },
    /// Users cancel several open jobs at once.
    CancelBurst,
    /// Users cancel jobs of which no task has started, one shortly after the other.
    CancelWaiting,
    /// Users submit more jobs at once than the team may run at the same time.
    SubmitBurst,
}

impl FaultKind {
    /// Returns the share of machines or messages that the fault affects; 0 for faults that affect
    /// something else.
    pub fn share(self) -> f64 {
        match self {
            FaultKind::LateWrites { share }
            | FaultKind::LostAnswers { share }
            | FaultKind::DeafWorkers { share }
            | FaultKind::MuteWorkers { share }
            | FaultKind::HungWorkers { share }
            | FaultKind::LateHeartbeats { share }
            | FaultKind::LateOrders { share }
            | FaultKind::CopiedOrders { share } => share,
            _ => 0.0,
        }
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When the fault begins.
    pub start_ms: u64,
    /// How long the fault lasts. Kills ignore this duration: a kill takes effect at once, and its
    /// restart delay sets its end.
    pub duration_ms: u64,
    /// The kind of the fault, with its parameters.
    pub kind: FaultKind,
}

impl Fault {
    /// Returns when the fault is over; for a kill, when the controller is restarted.
    pub fn end_ms(&self) -> u64 {
        match self.kind {
            FaultKind::Kill { back_ms, .. } | FaultKind::KillAll { back_ms } => {
                self.start_ms + back_ms
            }
            _ => self.start_ms + self.duration_ms,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (start_s, end_s) = (self.start_ms as f64 / 1e3, self.end_ms() as f64 / 1e3);
        write!(f, "{start_s:.1} to {end_s:.1} s: {:?}", self.kind)
    }
}

/// Draws the faults of a run, sorted by start time. All faults are over at `until_ms`, except that
/// a killed controller may be restarted later, after its restart delay.
pub fn draw(rng: &mut SmallRng, nodes: usize, from_ms: u64, until_ms: u64) -> Vec<Fault> {
    let span_ms = until_ms - from_ms;
    let count = (span_ms as f64 / 10_000.0 * FAULTS_PER_10_S).ceil() as usize;
    let mut faults: Vec<Fault> =
        (0..count).map(|_| draw_fault(rng, nodes, from_ms, until_ms)).collect();
    faults.extend(draw_leader_kills(rng, from_ms, until_ms));
    faults.push(draw_copied_orders(rng, from_ms, until_ms));
    faults.extend(draw_leader_isolation(rng, from_ms, until_ms));
    faults.sort_by_key(|fault| fault.start_ms);
    faults
}

fn draw_fault(rng: &mut SmallRng, nodes: usize, from_ms: u64, until_ms: u64) -> Fault {
    let kind = draw_kind(rng, nodes);
    let max_duration_ms = match kind {
        FaultKind::Pause { .. } => MAX_PAUSE_DURATION_MS,
        _ => *FAULT_DURATION_MS.end(),
    };
    let duration_ms =
        rng.random_range(*FAULT_DURATION_MS.start()..=max_duration_ms).min(until_ms - from_ms);
    let start_ms = rng.random_range(from_ms..=until_ms - duration_ms);
    Fault { start_ms, duration_ms, kind }
}

fn draw_kind(rng: &mut SmallRng, nodes: usize) -> FaultKind {
    let target = match rng.random_bool(0.5) {
        true => Target::Leader,
        false => Target::Node(rng.random_range(0..nodes)),
    };
    let mode = if rng.random_bool(0.5) { CutMode::Refuse } else { CutMode::Hold };
    let back_ms = RESTART_DELAYS_MS[rng.random_range(0..RESTART_DELAYS_MS.len())];
    let share = rng.random_range(0.05..0.6);
    match rng.random_range(0..18) {
        0 | 1 => FaultKind::Kill { target, back_ms },
        2 => FaultKind::KillAll { back_ms },
        3 => FaultKind::Pause { target },
        4 | 5 => FaultKind::CutStore { target, mode },
        6 => FaultKind::StoreOut,
        7 => FaultKind::StoreSlow { ms: rng.random_range(50..400) },
        8 => FaultKind::LateWrites { share },
        9 => FaultKind::LostAnswers { share },
        10 => FaultKind::CutMesh { target, mode },
        11 => FaultKind::CutWorkers { target },
        12 => FaultKind::DeafWorkers { share },
        13 => FaultKind::MuteWorkers { share },
        14 => FaultKind::HungWorkers { share },
        15 => FaultKind::LateHeartbeats { share },
        16 => FaultKind::LateOrders { share },
        _ => FaultKind::CancelBurst,
    }
}

/// Draws a series of leader kills in one run out of three, if the fault phase is long enough.
fn draw_leader_kills(rng: &mut SmallRng, from_ms: u64, until_ms: u64) -> Vec<Fault> {
    let length = rng.random_range(2..=5u64);
    let needed_ms = length * LEADER_KILL_INTERVAL_MS + RESTART_DELAYS_MS[1];
    if !rng.random_bool(1.0 / 3.0) || until_ms - from_ms <= needed_ms {
        return Vec::new();
    }
    let first_kill_ms = rng.random_range(from_ms..until_ms - needed_ms);
    let back_ms = RESTART_DELAYS_MS[rng.random_range(0..RESTART_DELAYS_MS.len())];
    let kill = |n| Fault {
        start_ms: first_kill_ms + n * LEADER_KILL_INTERVAL_MS,
        duration_ms: 0,
        kind: FaultKind::Kill { target: Target::Leader, back_ms },
    };
    (0..length).map(kill).collect()
}

/// Draws the faults that every run has together: while jobs wait for capacity, the leader loses the
/// state service and the other controllers, and users cancel jobs that wait.
fn draw_leader_isolation(rng: &mut SmallRng, from_ms: u64, until_ms: u64) -> [Fault; 4] {
    let duration_ms = rng.random_range(ISOLATION_DURATION_MS).min(until_ms - from_ms);
    let start_ms = rng.random_range(from_ms..=until_ms - duration_ms);
    let backlog_ms = start_ms.saturating_sub(BACKLOG_LEAD_MS).max(from_ms);
    let target = Target::Leader;
    let fault = |start_ms, duration_ms, kind| Fault { start_ms, duration_ms, kind };
    [
        fault(backlog_ms, 0, FaultKind::SubmitBurst),
        fault(start_ms, duration_ms, FaultKind::CutStore { target, mode: CutMode::Hold }),
        fault(start_ms, duration_ms, FaultKind::CutMesh { target, mode: CutMode::Refuse }),
        fault(start_ms, duration_ms, FaultKind::CancelWaiting),
    ]
}

/// Draws the fault that delivers orders a second time, which every run has.
fn draw_copied_orders(rng: &mut SmallRng, from_ms: u64, until_ms: u64) -> Fault {
    let duration_ms = rng.random_range(FAULT_DURATION_MS).min(until_ms - from_ms);
    let start_ms = rng.random_range(from_ms..=until_ms - duration_ms);
    let kind = FaultKind::CopiedOrders { share: rng.random_range(0.3..0.9) };
    Fault { start_ms, duration_ms, kind }
}

#[cfg(test)]
#[path = "../tests/unit/schedule.rs"]
mod tests;
