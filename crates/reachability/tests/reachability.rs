//! The judgement by itself, as a machine's messages and calls come to it.

use proptest::prelude::*;
use quartzgate_reachability::{Age, Copies, Hearing, Limits, Standing};

const LIMITS: Limits = Limits { report_ms: 1_000, lease_ms: 8_000 };

/// Guards against taking silence for deafness: calls that are lost one after another, with nothing
/// heard in between, doubt the machine and no more.
#[test]
fn a_silent_machine_is_not_deaf() {
    let mut h = Hearing::default();
    (0..20).for_each(|n| h.order_lost(1_000 * n, true, &LIMITS));
    assert_eq!(h.standing(), Standing::Doubted);
    h.order_answered(21_000);
    assert_eq!(h.standing(), Standing::Hears);
}

/// Guards against a machine that falls again and again: each time it waits for longer, and it is
/// called less often while it stays deaf.
#[test]
fn pauses_double() {
    let (mut h, mut now, mut pauses) = (Hearing::default(), 0, Vec::new());
    let fall = |h: &mut Hearing, now: &mut u64| {
        while !h.deaf() {
            *now += 1_000;
            h.report(*now, false, &LIMITS);
            h.order_lost(*now, true, &LIMITS);
        }
    };
    for _ in 0..4 {
        fall(&mut h, &mut now);
        let fell = now;
        while h.deaf() {
            now += 100;
            h.order_answered(now);
        }
        pauses.push(now - fell);
    }
    assert!(pauses.windows(2).all(|p| p[1] >= 2 * p[0] - 200), "{pauses:?}");
    fall(&mut h, &mut now);
    let mut calls = 0;
    for ms in (0..60_000).step_by(100) {
        if h.may_call(now + ms) {
            calls += 1;
            h.report(now + ms, false, &LIMITS);
            h.order_lost(now + ms, true, &LIMITS);
        }
    }
    assert!((2..8).contains(&calls), "{calls} calls in a minute");
}

proptest! {
    /// Guards the order of messages: whatever comes late or twice, only what is newer than all
    /// before is news, and no report is answered twice.
    #[test]
    fn only_what_is_newer_is_news(
        sent in prop::collection::vec((1u64..4, 1u64..12, any::<bool>()), 1..60)
    ) {
        let (mut copies, mut newest) = (Copies::default(), (0, 0));
        let mut answered = std::collections::BTreeSet::new();
        for (tenure, tally, report) in sent {
            let newer = (tenure, tally) > newest;
            if report {
                let age = copies.report(tenure, tally);
                prop_assert_eq!(age == Age::News, newer);
                prop_assert!(age == Age::Copy || answered.insert((tenure, tally)));
            } else {
                prop_assert_eq!(copies.told(tenure, tally), newer);
            }
            newest = newest.max((tenure, tally));
        }
    }
}
