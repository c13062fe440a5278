//! The order of a machine's queue: which of its probes binds next.

use std::cmp::Ordering;

use quartzgate_wire::msg::Rank;

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
    pub rank: Rank,
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
    fn class(&self) -> (Rank, bool) {
        (self.rank, self.guaranteed)
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
mod tests {
    use super::*;

    fn probe(remaining_s: f64, ratio: f64, slack: u32, arrived: u64) -> Standing {
        let (rank, guaranteed, lost) = (Rank::Normal, false, 0);
        Standing { rank, guaranteed, lost, remaining_s, ratio, slack, arrived }
    }

    /// Guards the switch to scarcity past both thresholds, and the way back.
    #[test]
    fn order_changes_past_both_thresholds_and_changes_back() {
        let queue = [probe(5.0, 0.5, 0, 1), probe(50.0, 3.0, 0, 2)];
        let first = |ratio, wait| {
            let order = QueueOrder::choose(ratio, 1.0, wait, 30.0);
            pick(&queue, order, 5, |_| true).unwrap().chosen
        };
        assert_eq!(first(0.9, 60.0), 0, "ratio below its threshold: shortest first");
        assert_eq!(first(3.0, 20.0), 0, "wait below its threshold: shortest first");
        assert_eq!(first(3.0, 60.0), 1, "past both: scarcest first");
        assert_eq!(first(0.9, 20.0), 0, "and back");
    }

    /// Guards the slack cap: a task is passed at most five times whatever the order.
    #[test]
    fn slack_cap_holds_in_every_order() {
        for order in [QueueOrder::ShortestFirst, QueueOrder::ScarcityFirst] {
            let mut long = probe(500.0, 0.1, 0, 0);
            let mut passed = 0;
            loop {
                let queue = [long, probe(1.0, 9.0, 0, 10 + passed)];
                let got = pick(&queue, order, 5, |_| true).unwrap();
                if got.chosen == 0 {
                    break;
                }
                assert_eq!(got.passed, vec![0]);
                long.slack += 1;
                passed += 1;
                assert!(passed <= 5, "passed again at the cap in {order:?}");
            }
            assert_eq!(passed, 5);
            // At the cap and without room, nobody of its standing slips past.
            let queue = [long, probe(1.0, 9.0, 0, 99)];
            assert_eq!(pick(&queue, order, 5, |p| p != 0), None);
        }
    }

    /// Guards the deadlines that can still be met against work that is late already,
    /// and the late work against being passed for ever.
    #[test]
    fn what_can_be_in_time_goes_ahead_of_what_is_late() {
        let mut late = probe(1.0, 0.0, 0, 0);
        late.lost = 1;
        let queue = [late, probe(90.0, 0.0, 0, 1)];
        for order in [QueueOrder::ShortestFirst, QueueOrder::ScarcityFirst] {
            assert_eq!(pick(&queue, order, 5, |_| true).unwrap().chosen, 1);
            let mut capped = queue;
            capped[0].slack = 5;
            assert_eq!(pick(&capped, order, 5, |_| true).unwrap().chosen, 0);
        }
    }

    /// Guards priority and guarantee, which stand above length and scarcity.
    #[test]
    fn priority_then_guarantee_come_first() {
        let mut high = probe(500.0, 0.0, 0, 2);
        high.rank = Rank::High;
        let mut owed = probe(400.0, 0.0, 0, 3);
        owed.guaranteed = true;
        let queue = [probe(1.0, 9.0, 5, 0), owed, high];
        let order = QueueOrder::ShortestFirst;
        assert_eq!(pick(&queue, order, 5, |_| true).unwrap().chosen, 2);
        assert_eq!(pick(&queue, order, 5, |p| p != 2).unwrap().chosen, 1);
    }
}
