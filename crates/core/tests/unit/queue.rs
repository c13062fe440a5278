//! Tests of private items of `queue.rs`.

use super::*;

const CAP: SlackCap = SlackCap { times: 5, holds_capacity: true };

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

/// Guards against a queue that orders by scarcity below one of the two thresholds, or that does not
/// return to shortest first.
#[test]
fn scarcity_order_applies_only_above_both_thresholds() {
    let queue = [probe(5.0, 0.5, 0, 1), probe(50.0, 3.0, 0, 2)];
    let first = |ratio, wait| {
        let order = QueueOrder::choose(ratio, 1.0, wait, 30.0);
        pick(&queue, order, CAP, |_| true).unwrap().chosen
    };
    assert_eq!(first(0.9, 60.0), 0, "ratio below its threshold: shortest first");
    assert_eq!(first(3.0, 20.0), 0, "wait below its threshold: shortest first");
    assert_eq!(first(3.0, 60.0), 1, "above both thresholds: scarcest first");
    assert_eq!(first(0.9, 20.0), 0, "below both thresholds again: shortest first");
}

/// Guards against starvation of long tasks: with a slack cap of five, a task is passed over at most
/// five times in every order.
#[test]
fn slack_cap_holds_in_every_order() {
    for order in [QueueOrder::ShortestFirst, QueueOrder::ScarcityFirst] {
        let mut long = probe(500.0, 0.1, 0, 0);
        let mut passed = 0;
        loop {
            let queue = [long, probe(1.0, 9.0, 0, 10 + passed)];
            let picked = pick(&queue, order, CAP, |_| true).unwrap();
            if picked.chosen == 0 {
                break;
            }
            assert_eq!(picked.passed, vec![0]);
            long.times_passed_over += 1;
            passed += 1;
            assert!(passed <= 5, "passed over again at the slack cap in {order:?}");
        }
        assert_eq!(passed, 5);
        // A task at the slack cap that lacks resources blocks all other probes with the same
        // priority and quota guarantee.
        let queue = [long, probe(1.0, 9.0, 0, 99)];
        assert_eq!(pick(&queue, order, CAP, |p| p != 0), None);
    }
}

/// Guards against capacity that is held for ever for a task at the slack cap that does not fit, and
/// against passing over such a task that fits.
#[test]
fn task_at_the_slack_cap_lets_others_pass_only_while_it_does_not_fit_and_nothing_is_held() {
    let released = SlackCap { holds_capacity: false, ..CAP };
    for order in [QueueOrder::ShortestFirst, QueueOrder::ScarcityFirst] {
        let queue = [probe(500.0, 0.1, 5, 0), probe(1.0, 9.0, 0, 99)];
        assert_eq!(pick(&queue, order, released, |p| p != 0).unwrap().chosen, 1);
        assert_eq!(pick(&queue, order, released, |_| true).unwrap().chosen, 0);
    }
}

/// Guards against late work delaying probes that can still meet their deadline, and against late
/// work being passed over forever.
#[test]
fn probes_that_can_meet_their_deadline_precede_late_probes() {
    let mut late = probe(1.0, 0.0, 0, 0);
    late.missed_objectives = 1;
    let queue = [late, probe(90.0, 0.0, 0, 1)];
    for order in [QueueOrder::ShortestFirst, QueueOrder::ScarcityFirst] {
        assert_eq!(pick(&queue, order, CAP, |_| true).unwrap().chosen, 1);
        let mut capped = queue;
        capped[0].times_passed_over = 5;
        assert_eq!(pick(&capped, order, CAP, |_| true).unwrap().chosen, 0);
    }
}

/// Guards against length or scarcity taking precedence over priority and quota guarantee.
#[test]
fn priority_then_quota_guarantee_precede_length_and_scarcity() {
    let mut high = probe(500.0, 0.0, 0, 2);
    high.priority = Priority::High;
    let mut guaranteed_probe = probe(400.0, 0.0, 0, 3);
    guaranteed_probe.guaranteed = true;
    let queue = [probe(1.0, 9.0, 5, 0), guaranteed_probe, high];
    let order = QueueOrder::ShortestFirst;
    assert_eq!(pick(&queue, order, CAP, |_| true).unwrap().chosen, 2);
    assert_eq!(pick(&queue, order, CAP, |p| p != 2).unwrap().chosen, 1);
}
