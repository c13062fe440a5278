//! The order of a machine's queue: which of its probes binds next.
//!
//! Invariant: among tasks of one priority and guarantee, a task is passed over at most as often as
//! the slack cap says, whatever the order is.

use std::cmp::Ordering;

use quartzgate_wire::msg::Priority;

/// How probes of equal priority and guarantee are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// The job with the least work left first.
    ShortestFirst,
    /// The task with the scarcest constraint first.
    ScarcityFirst,
}

impl QueueOrder {
    /// Scarcity goes first only past both thresholds (Phoenix, algorithm 1).
    pub fn choose(max_ratio: f64, ratio_limit: f64, wait_s: f64, wait_limit_s: f64) -> Self {
        if max_ratio > ratio_limit && wait_s > wait_limit_s {
            QueueOrder::ScarcityFirst
        } else {
            QueueOrder::ShortestFirst
        }
    }
}

/// What decides the position of a probe in a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedProbe {
    /// Effective priority of the job.
    pub priority: Priority,
    /// The task is within its team's guaranteed quota.
    pub guaranteed: bool,
    /// Objectives that the job can't meet any more.
    pub missed_objectives: u8,
    /// Work that the job has left, in seconds.
    pub remaining_s: f64,
    /// Highest ratio of demand to supply among the task's constraints.
    pub ratio: f64,
    /// How often the task was passed over.
    pub slack: u32,
    /// Sequence number of its arrival.
    pub arrived: u64,
}

impl QueuedProbe {
    fn class(&self) -> (Priority, bool) {
        (self.priority, self.guaranteed)
    }

    /// Order of two probes, the one that binds first being less.
    fn compare(&self, other: &QueuedProbe, order: QueueOrder, slack_cap: u32) -> Ordering {
        let is_capped = |probe: &QueuedProbe| probe.slack >= slack_cap;
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
        // Jobs that can still meet their objectives go before those that miss them anyway.
        self.missed_objectives
            .cmp(&other.missed_objectives)
            .then(by_order)
            .then(self.arrived.cmp(&other.arrived))
    }
}

/// The probe that binds, and those that arrived before it and are passed over, by position.
#[derive(Debug, PartialEq, Eq)]
pub struct Pick {
    /// Position of the probe that binds.
    pub chosen: usize,
    /// Positions of probes of the same class that arrived earlier.
    pub passed: Vec<usize>,
}

/// Picks the probe that binds next; `fits` says whether the machine has resources for a probe now.
/// A probe that was passed over `cap` times is not passed by any of its class or a lower one: if it
/// does not fit, they wait.
pub fn pick(
    queue: &[QueuedProbe],
    order: QueueOrder,
    cap: u32,
    mut fits: impl FnMut(usize) -> bool,
) -> Option<Pick> {
    let mut positions: Vec<usize> = (0..queue.len()).collect();
    positions.sort_by(|a, b| queue[*a].compare(&queue[*b], order, cap));
    for &position in &positions {
        if fits(position) {
            let passed = passed_by(queue, &positions, position);
            return Some(Pick { chosen: position, passed });
        }
        if queue[position].slack >= cap {
            return None;
        }
    }
    None
}

/// Positions of the probes of the same class that arrived before the chosen one, in queue order.
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
