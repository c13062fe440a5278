//! Tests of what `queue.rs` keeps to itself.

use super::*;

fn probe(remaining_s: f64, ratio: f64, times_passed_over: u32, arrived: u64) -> QueuedProbe {
    let (priority, guaranteed, missed_objectives) = (Priority::Normal, false, 0);
    QueuedProbe {
        priority,
        guaranteed,
        missed_objectives,
        remaining_s,
        ratio,
        times_passed_over,
        arrived,
    }
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
            long.times_passed_over += 1;
            passed += 1;
            assert!(passed <= 5, "passed again at the cap in {order:?}");
        }
        assert_eq!(passed, 5);
        // At the cap and without resources, no probe of its class goes before it.
        let queue = [long, probe(1.0, 9.0, 0, 99)];
        assert_eq!(pick(&queue, order, 5, |p| p != 0), None);
    }
}

/// Guards the deadlines that can still be met against work that is late already,
/// and the late work against being passed for ever.
#[test]
fn what_can_be_in_time_goes_ahead_of_what_is_late() {
    let mut late = probe(1.0, 0.0, 0, 0);
    late.missed_objectives = 1;
    let queue = [late, probe(90.0, 0.0, 0, 1)];
    for order in [QueueOrder::ShortestFirst, QueueOrder::ScarcityFirst] {
        assert_eq!(pick(&queue, order, 5, |_| true).unwrap().chosen, 1);
        let mut capped = queue;
        capped[0].times_passed_over = 5;
        assert_eq!(pick(&capped, order, 5, |_| true).unwrap().chosen, 0);
    }
}

/// Guards priority and guarantee, which stand above length and scarcity.
#[test]
fn priority_then_guarantee_come_first() {
    let mut high = probe(500.0, 0.0, 0, 2);
    high.priority = Priority::High;
    let mut owed = probe(400.0, 0.0, 0, 3);
    owed.guaranteed = true;
    let queue = [probe(1.0, 9.0, 5, 0), owed, high];
    let order = QueueOrder::ShortestFirst;
    assert_eq!(pick(&queue, order, 5, |_| true).unwrap().chosen, 2);
    assert_eq!(pick(&queue, order, 5, |p| p != 2).unwrap().chosen, 1);
}
