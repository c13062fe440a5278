//! Reachability and duplicate detection in isolation, with sequences of messages and commands.

use std::collections::BTreeSet;

use proptest::prelude::*;
use quartzgate_reachability::{
    CommandRoute, DuplicateDetector, Freshness, MessageNumber, Reachability, ReachabilityState,
    Timing,
};

const TIMING: Timing = Timing { heartbeat_interval_ms: 1_000, lease_ms: 8_000 };

/// Guards against considering a silent machine one-way unreachable: consecutive lost commands
/// without a heartbeat in between make the machine suspected only.
#[test]
fn lost_commands_without_heartbeats_only_raise_suspicion() {
    let mut reachability = Reachability::default();
    for second in 0..20 {
        reachability.on_command_unanswered(1_000 * second, CommandRoute::Direct, &TIMING);
    }
    assert_eq!(reachability.state(), ReachabilityState::Suspected);
    reachability.on_command_answered(21_000);
    assert_eq!(reachability.state(), ReachabilityState::Reachable);
}

/// Records heartbeats and lost commands until the machine is one-way unreachable. Returns the time
/// at which this happens.
fn lose_commands_until_unreachable(reachability: &mut Reachability, mut now_ms: u64) -> u64 {
    while !reachability.is_one_way_unreachable() {
        now_ms += 1_000;
        reachability.on_heartbeat(now_ms, false, &TIMING);
        reachability.on_command_unanswered(now_ms, CommandRoute::Direct, &TIMING);
    }
    now_ms
}

/// A machine that repeatedly becomes one-way unreachable remains so for longer each time, and gets
/// commands at growing intervals during an outage.
#[test]
fn backoff_doubles_with_each_outage() {
    let (mut reachability, mut now_ms) = (Reachability::default(), 0);
    let mut outages_ms = Vec::new();
    for _ in 0..4 {
        now_ms = lose_commands_until_unreachable(&mut reachability, now_ms);
        let began_ms = now_ms;
        while reachability.is_one_way_unreachable() {
            now_ms += 100;
            reachability.on_command_answered(now_ms);
        }
        outages_ms.push(now_ms - began_ms);
    }
    assert!(outages_ms.windows(2).all(|pair| pair[1] >= 2 * pair[0] - 200), "{outages_ms:?}");
    now_ms = lose_commands_until_unreachable(&mut reachability, now_ms);
    let mut commands = 0;
    for elapsed_ms in (0..60_000).step_by(100) {
        let at_ms = now_ms + elapsed_ms;
        if reachability.may_send_command(at_ms) {
            commands += 1;
            reachability.on_heartbeat(at_ms, false, &TIMING);
            reachability.on_command_unanswered(at_ms, CommandRoute::Direct, &TIMING);
        }
    }
    assert!((2..8).contains(&commands), "{commands} commands in a minute");
}

proptest! {
    /// For any order of late and repeated messages, only a message that is newer than all earlier
    /// ones counts as new, and no heartbeat is answered twice.
    #[test]
    fn only_newer_messages_count_as_new(
        messages in prop::collection::vec((1u64..4, 1u64..12, any::<bool>()), 1..60)
    ) {
        let mut detector = DuplicateDetector::default();
        let mut newest = MessageNumber::default();
        let mut answered = BTreeSet::new();
        for (agent_epoch, sequence, is_heartbeat) in messages {
            let number = MessageNumber { agent_epoch, sequence };
            let is_newer = number > newest;
            if is_heartbeat {
                let freshness = detector.record_heartbeat(number);
                prop_assert_eq!(freshness == Freshness::New, is_newer);
                prop_assert!(freshness == Freshness::Duplicate || answered.insert(number));
            } else {
                prop_assert_eq!(detector.record_status(number), is_newer);
            }
            newest = newest.max(number);
        }
    }
}
