//! The order of a machine's queue: which of its probes binds next.

use std::cmp::Ordering;

use quartzgate_wire::msg::Priority;

/// How probes of equal standing are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    ShortestFirst,
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

/// A probe as the order sees it.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    pub priority: Priority,
    /// The task falls within its team's guarantee.
    pub guaranteed: bool,
    /// Deadlines of its job that can't be met any more.
    pub lost: u8,
    /// Work that its job still needs.
    pub remaining_s: f64,
    /// Highest demand/supply ratio among the task's constraints.
    pub ratio: f64,
    /// Times that the task has been passed.
    pub slack: u32,
    /// Grows with every arrival.
    pub arrived: u64,
}

impl Standing {
    fn class(&self) -> (Priority, bool) {
        (self.priority, self.guaranteed)
    }

    fn before(&self, other: &Standing, order: QueueOrder, cap: u32) -> Ordering {
        let capped = |s: &Standing| s.slack >= cap;
        other.class().cmp(&self.class()).then_with(|| match (capped(self), capped(other)) {
            (true, true) => self.arrived.cmp(&other.arrived),
            (true, false) => Ordering::Less,
            (false, true) => Ordering::Greater,
            (false, false) => {
                let shortest = self.remaining_s.total_cmp(&other.remaining_s);
                let scarcest = other.ratio.total_cmp(&self.ratio);
                let by = match order {
                    QueueOrder::ShortestFirst => shortest,
                    QueueOrder::ScarcityFirst => scarcest.then(shortest),
                };
                // What can still be in time goes ahead of what is late whatever is done.
                self.lost.cmp(&other.lost).then(by).then(self.arrived.cmp(&other.arrived))
            }
        })
    }
}

/// What a pick came to: the place of the probe that binds, and those it passed.
#[derive(Debug, PartialEq, Eq)]
pub struct Pick {
    pub chosen: usize,
    pub passed: Vec<usize>,
}

/// Picks the probe that binds next among those that may. `fits` says whether the
/// machine has room for a probe now. A probe that has been passed `cap` times is
/// passed by nobody of its own standing or below: if it does not fit, they wait.
pub fn pick(
    queue: &[Standing],
    order: QueueOrder,
    cap: u32,
    mut fits: impl FnMut(usize) -> bool,
) -> Option<Pick> {
    let mut places: Vec<usize> = (0..queue.len()).collect();
    places.sort_by(|a, b| queue[*a].before(&queue[*b], order, cap));
    for &place in &places {
        if fits(place) {
            let chosen = &queue[place];
            let passed = places
                .iter()
                .copied()
                .filter(|&p| p != place)
                .filter(|&p| queue[p].class() == chosen.class())
                .filter(|&p| queue[p].arrived < chosen.arrived)
                .collect();
            return Some(Pick { chosen: place, passed });
        }
        if queue[place].slack >= cap {
            return None;
        }
    }
    None
}

#[cfg(test)]
#[path = "../../tests/unit/queue.rs"]
mod tests;
