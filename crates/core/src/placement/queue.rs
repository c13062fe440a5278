//! The order of a machine's queue: which of its probes binds next.
//!
//! Invariant: in every queue order, a task is passed over by other tasks of the same priority and
//! quota guarantee at most as many times as the slack cap allows, as long as capacity is held for
//! tasks that don't fit ([`SlackCap::holds_capacity`]).

use std::cmp::Ordering;

use quartzgate_wire::msg::Priority;

/// The order of probes with the same priority and quota guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// The probe whose job has the least remaining work binds first.
    ShortestFirst,
    /// The probe whose task has the scarcest constraint binds first.
    ScarcityFirst,
}

impl QueueOrder {
    /// Chooses the order: by scarcity only if the highest ratio of demand to supply and the
    /// expected wait of the machine both exceed their limits (Phoenix, algorithm 1).
    pub fn choose(max_ratio: f64, ratio_limit: f64, wait_s: f64, wait_limit_s: f64) -> Self {
        if max_ratio > ratio_limit && wait_s > wait_limit_s {
            QueueOrder::ScarcityFirst
        } else {
            QueueOrder::ShortestFirst
        }
    }
}

/// The values that decide the position of a probe in a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedProbe {
    /// Effective priority of the job.
    pub priority: Priority,
    /// Whether the task is within its team's guaranteed quota.
    pub guaranteed: bool,
    /// Number of objectives that the job can no longer meet.
    pub missed_objectives: u8,
    /// Estimated remaining work of the job in seconds of machine time; increased for a task that
    /// has failed, and infinite if the job fails everywhere.
    pub remaining_s: f64,
    /// Highest ratio of demand to supply among the task's constraints.
    pub ratio: f64,
    /// How many times the task was passed over.
    pub times_passed_over: u32,
    /// Sequence number of the task's arrival, over all jobs.
    pub arrived: u64,
}

impl QueuedProbe {
    fn class(&self) -> (Priority, bool) {
        (self.priority, self.guaranteed)
    }

    /// Compares two probes; the one that binds first is less.
    fn compare(&self, other: &QueuedProbe, order: QueueOrder, slack_cap: u32) -> Ordering {
        let is_capped = |probe: &QueuedProbe| probe.times_passed_over >= slack_cap;
        let by_class = other.class().cmp(&self.class());
        by_class.then_with(|| match (is_capped(self), is_capped(other)) {
            (true, true) => self.arrived.cmp(&other.arrived),
            (true, false) => Ordering::Less,
            (false, true) => Ordering::Greater,
            (false, false) => self.compare_uncapped(other, order),
        })
    }

    fn compare_uncapped(&self, other: &QueuedProbe, order: QueueOrder) -> Ordering {
        let shortest = self.remaining_s.total_cmp(&other.remaining_s);
        let scarcest = other.ratio.total_cmp(&self.ratio);
        let by_order = match order {
            QueueOrder::ShortestFirst => shortest,
            QueueOrder::ScarcityFirst => scarcest.then(shortest),
        };
        // Jobs that can still meet their objectives go before those that will miss them anyway.
        self.missed_objectives
            .cmp(&other.missed_objectives)
            .then(by_order)
            .then(self.arrived.cmp(&other.arrived))
    }
}

/// The probe that binds, and the earlier probes that are passed over, by position in the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Pick {
    /// Position of the probe that binds.
    pub chosen: usize,
    /// Positions of the probes of the same priority and quota guarantee that arrived earlier.
    pub passed: Vec<usize>,
}

/// The slack cap.
#[derive(Clone, Copy, Debug)]
pub struct SlackCap {
    /// How many times a probe may be passed over.
    pub times: u32,
    /// Whether the machine's capacity is held for a probe that was passed over that many times and
    /// does not fit; otherwise others get it.
    pub holds_capacity: bool,
}

/// Picks the probe that binds next. `fits` returns whether the machine has resources for a probe
/// now. While capacity is held, no probe of the same class (priority and quota guarantee) or of a
/// lower one may pass a probe that was passed over as often as the cap allows: if that probe does
/// not fit, they wait.
pub fn pick(
    queue: &[QueuedProbe],
    order: QueueOrder,
    cap: SlackCap,
    mut fits: impl FnMut(usize) -> bool,
) -> Option<Pick> {
    let mut positions: Vec<usize> = (0..queue.len()).collect();
    positions.sort_by(|a, b| queue[*a].compare(&queue[*b], order, cap.times));
    for &position in &positions {
        if fits(position) {
            let passed = passed_by(queue, &positions, position);
            return Some(Pick { chosen: position, passed });
        }
        if cap.holds_capacity && queue[position].times_passed_over >= cap.times {
            return None;
        }
    }
    None
}

/// Returns the positions of the probes of the same class that arrived before the chosen one, in the
/// order of `positions`.
fn passed_by(queue: &[QueuedProbe], positions: &[usize], chosen: usize) -> Vec<usize> {
    let chosen_probe = &queue[chosen];
    let is_passed = |position: &usize| {
        *position != chosen
            && queue[*position].class() == chosen_probe.class()
            && queue[*position].arrived < chosen_probe.arrived
    };
    positions.iter().copied().filter(is_passed).collect()
}

#[cfg(test)]
#[path = "../../tests/unit/queue.rs"]
mod tests;
