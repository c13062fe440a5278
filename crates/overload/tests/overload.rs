//! Tests of overload control without a controller: order and bounds of the request queue under any
//! mix of requests, load states, retry advice, fair queueing, and tracking of unanswered jobs.

use proptest::prelude::*;
use quartzgate_overload::{
    Arrival, Dequeued, FairQueue, LoadMonitor, LoadState, LongestUnanswered, RequestClass,
    RequestQueue, RetryAdvisor, UnansweredJobs,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const MAX_PER_CLASS: usize = 8;
const WORKER_TIMEOUT_MS: u64 = 4_000;

/// A waiting request in the test's model of the queue.
#[derive(Clone, Copy, Debug)]
struct Expected {
    class: RequestClass,
    arrived_ms: u64,
    id: u64,
    order: u64,
}

proptest! {
    /// For any mix and timing of requests: each is served or rejected exactly once, none is served
    /// after its longest wait or before a request of a higher class, and each class is served by
    /// the given sort key, then in order of arrival.
    #[test]
    fn order_and_bounds_hold_for_any_mix(steps in prop::collection::vec((0usize..9, 0u64..900), 1..300)) {
        let mut queue: RequestQueue<u64> = RequestQueue::new(MAX_PER_CLASS);
        let (mut now_ms, mut next_id, mut finished_count) = (0u64, 0u64, 0u64);
        let mut waiting: Vec<Expected> = Vec::new();
        for (operation, number) in steps {
            if let Some(class) = RequestClass::ALL.get(operation).copied() {
                let of_class = waiting.iter().filter(|expected| expected.class == class).count();
                let expected = Expected { class, arrived_ms: now_ms, id: next_id, order: number / 300 };
                let arrival =
                    Arrival { class, order: expected.order, arrived_ms: now_ms, request: next_id };
                let pushed = queue.push(arrival, LoadState::Normal);
                prop_assert_eq!(pushed.is_err(), of_class >= MAX_PER_CLASS);
                match pushed {
                    Err(_) => finished_count += 1,
                    Ok(()) => waiting.push(expected),
                }
                next_id += 1;
                continue;
            }
            now_ms += number;
            let dequeued = queue.pop(now_ms);
            prop_assert_eq!(dequeued.is_none(), waiting.is_empty());
            let (class, id, is_served) = match dequeued {
                Some(Dequeued::Serve { class, request, waited_ms }) => {
                    prop_assert!(waited_ms <= 2_500, "served after the longest allowed wait");
                    let higher_waits = waiting.iter().any(|expected| expected.class < class);
                    prop_assert!(!higher_waits, "{class:?} was served before a higher class");
                    (class, request, true)
                }
                Some(Dequeued::Reject { class, request }) => (class, request, false),
                None => continue,
            };
            let of_class = waiting.iter().enumerate().filter(|(_, other)| other.class == class);
            let first = match is_served {
                true => of_class.min_by_key(|(_, expected)| (expected.order, expected.id)),
                false => of_class.min_by_key(|(_, expected)| expected.id),
            };
            let position = first.unwrap().0;
            let expected = waiting.remove(position);
            prop_assert_eq!(id, expected.id, "out of order within its class");
            prop_assert!(is_served || now_ms > expected.arrived_ms + 500, "rejected too early");
            finished_count += 1;
        }
        while queue.pop(now_ms).is_some() {
            finished_count += 1;
        }
        prop_assert_eq!(finished_count, next_id, "a request was lost or served twice");
    }
}

/// Operators' tools read the names in metrics: renaming a variant must not change them.
#[test]
fn metric_names_are_stable() {
    let names = RequestClass::ALL.map(RequestClass::metric_name);
    assert_eq!(names, ["report", "health", "abort", "submit", "poll", "other"]);
    let mut queue: RequestQueue<()> = RequestQueue::new(1);
    for arrived_ms in [5, 6] {
        let arrival = Arrival { class: RequestClass::Heartbeat, order: 0, arrived_ms, request: () };
        let _ = queue.push(arrival, LoadState::Normal);
    }
    assert!(queue.pop(9).is_some());
    let metrics: Vec<(String, f64)> =
        queue.metrics().into_iter().map(|metric| (metric.name, metric.value)).collect();
    let expected = [
        ("intake_ms.report.p50", 4.0),
        ("intake_ms.report.p99", 4.0),
        ("intake_ms.report.max", 4.0),
        ("intake_ms.report.count", 1.0),
        ("intake_refused.report", 1.0),
    ];
    assert_eq!(metrics, expected.map(|(name, value)| (name.to_string(), value)));
}

/// Guards against leases of running work expiring when users flood a controller: every heartbeat is
/// served in time although ten times as many requests arrive as can be served.
#[test]
fn heartbeats_are_served_in_time_during_a_flood_of_users() {
    /// Units of work available per millisecond, enough to serve two requests.
    const BUDGET: i32 = 20;
    const COST_OF_SERVING: i32 = 10;
    const COST_OF_REJECTING: i32 = 1;
    let mut queue: RequestQueue<u64> = RequestQueue::new(4_000);
    let mut load = LoadMonitor::new(WORKER_TIMEOUT_MS);
    let (mut heartbeats, mut longest_wait_ms, mut rejected) = (0, 0, 0);
    for now_ms in 0..20_000u64 {
        for number in 0..20 {
            let class = match number {
                0 => RequestClass::Heartbeat,
                _ => RequestClass::StatusQuery,
            };
            let arrival = Arrival { class, order: 0, arrived_ms: now_ms, request: now_ms };
            if queue.push(arrival, load.state()).is_err() {
                rejected += 1;
            }
        }
        let mut budget = BUDGET;
        while budget > 0 {
            match queue.pop(now_ms) {
                Some(Dequeued::Serve { class, waited_ms, .. }) => {
                    if class == RequestClass::Heartbeat {
                        load.record_heartbeat_wait(waited_ms);
                        heartbeats += 1;
                        longest_wait_ms = longest_wait_ms.max(waited_ms);
                    }
                    budget -= COST_OF_SERVING;
                }
                Some(Dequeued::Reject { .. }) => {
                    rejected += 1;
                    budget -= COST_OF_REJECTING;
                }
                None => break,
            }
        }
        load.tick(now_ms, queue.oldest_wait_ms(now_ms));
    }
    assert!(
        heartbeats >= 19_990 && longest_wait_ms < 100,
        "{heartbeats} served, the longest after {longest_wait_ms} ms"
    );
    assert!(rejected > 100_000, "too few requests of the flood were rejected: {rejected}");
    assert_eq!(load.state(), LoadState::Elevated, "queries wait but heartbeats do not");
}

/// When the load falls, the state returns to normal by itself within the stated time and does not
/// oscillate in between.
#[test]
fn load_state_recovers_without_oscillation() {
    let mut load = LoadMonitor::new(WORKER_TIMEOUT_MS);
    let (mut now_ms, mut transitions) = (0, Vec::new());
    let mut run = |load: &mut LoadMonitor, duration_ms: u64, wait_ms: u64| {
        for _ in 0..duration_ms / 10 {
            now_ms += 10;
            load.record_heartbeat_wait(wait_ms);
            transitions.extend(load.tick(now_ms, wait_ms));
        }
    };
    run(&mut load, 1_000, 3);
    assert_eq!(load.state(), LoadState::Normal);
    run(&mut load, 1_000, 150);
    assert_eq!(load.state(), LoadState::Elevated);
    run(&mut load, 1_000, 900);
    assert_eq!(load.state(), LoadState::Shedding);
    // Waits between the thresholds for leaving and entering a state keep the state.
    run(&mut load, 5_000, 300);
    assert_eq!(load.state(), LoadState::Shedding);
    let max_recovery_ms = load.max_recovery_ms();
    run(&mut load, max_recovery_ms, 1);
    assert_eq!(load.state(), LoadState::Normal, "not normal after {max_recovery_ms} ms");
    assert_eq!(transitions.len(), 4, "{transitions:?}");
}

/// Guards against rejected clients all returning at once: the more clients are rejected, the longer
/// is the period over which their retries are spread.
#[test]
fn retries_of_many_rejected_clients_are_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut advisor = RetryAdvisor::default();
    let few: Vec<u32> = (0..5).map(|_| advisor.reject(0, 20.0, &mut rng)).collect();
    assert!(few.iter().all(|seconds| *seconds == 1), "{few:?}");
    let many: Vec<u32> = (0..400).map(|_| advisor.reject(10, 20.0, &mut rng)).collect();
    let last = &many[200..];
    for second in 1..=9 {
        let same_second = last.iter().filter(|seconds| **seconds == second).count();
        assert!(same_second < 100, "{same_second} of 200 clients return after {second} s");
    }
    assert!(last.iter().all(|seconds| (1..=10).contains(seconds)));
    // Once rejections have ceased, the advised delay is as short as before.
    assert_eq!(advisor.reject(60_000, 20.0, &mut rng), 1);
}

/// Guards against lost leases when heartbeats arrive at three times the rate at which they can be
/// served. Workers whose last answer is the oldest are served first, so that no worker waits much
/// longer than three heartbeat intervals.
#[test]
fn heartbeats_at_three_times_the_service_rate_lose_no_lease() {
    const WORKERS: usize = 3_000;
    const HEARTBEAT_INTERVAL_MS: u64 = 5_000;
    /// Time to serve a heartbeat, which allows a third of the rate at which heartbeats arrive.
    const MS_PER_SERVED: u64 = 5;
    const RETRY_MS: u64 = 1_000;
    let mut queue: RequestQueue<usize> = RequestQueue::new(WORKERS);
    let mut answered_ms = vec![0u64; WORKERS];
    let mut due_ms: Vec<u64> =
        (0..WORKERS as u64).map(|worker| worker * HEARTBEAT_INTERVAL_MS / WORKERS as u64).collect();
    let (mut longest_ms, mut credit_ms) = (0, 0);
    for now_ms in 0..120_000u64 {
        let due: Vec<usize> = (0..WORKERS).filter(|worker| due_ms[*worker] == now_ms).collect();
        for worker in due {
            let arrival = Arrival {
                class: RequestClass::Heartbeat,
                order: answered_ms[worker],
                arrived_ms: now_ms,
                request: worker,
            };
            let pushed = queue.push(arrival, LoadState::Shedding);
            assert!(pushed.is_ok(), "heartbeats are always queued");
        }
        credit_ms += 1;
        while credit_ms >= MS_PER_SERVED {
            match queue.pop(now_ms) {
                Some(Dequeued::Serve { request: worker, .. }) => {
                    longest_ms = longest_ms.max(now_ms - answered_ms[worker]);
                    answered_ms[worker] = now_ms;
                    due_ms[worker] = now_ms + HEARTBEAT_INTERVAL_MS;
                    credit_ms -= MS_PER_SERVED;
                }
                // The worker tries the next controller, and this one again later.
                Some(Dequeued::Reject { request: worker, .. }) => {
                    due_ms[worker] = now_ms + RETRY_MS;
                }
                None => break,
            }
        }
    }
    assert!(longest_ms < 4 * HEARTBEAT_INTERVAL_MS, "a worker got no answer for {longest_ms} ms");
}

/// A class with one item is not starved by a class with hundreds, although only one item is served
/// at a time and the order is recomputed each time. No class is compensated for idle time.
#[test]
fn each_class_is_served_in_turn() {
    let mut queue = FairQueue::default();
    let mut waiting: Vec<(usize, &str)> = vec![(0, "many"); 500];
    let mut served = Vec::new();
    for step in 0..120 {
        // Every 40 steps, one item of another class and one of another team arrive.
        if step % 40 == 39 {
            waiting.extend([(0, "few"), (1, "many")]);
        }
        let mut tags = queue.tag_assigner();
        let order: Vec<u64> =
            waiting.iter().map(|(team, class)| tags.next_tag(*team, class)).collect();
        let first = (0..waiting.len()).min_by_key(|position| order[*position]).unwrap();
        let (team, class) = waiting.remove(first);
        queue.record_service(team, class);
        served.push((team, class));
    }
    for arrived_at_step in [39, 79] {
        let next = &served[arrived_at_step..arrived_at_step + 4];
        assert!(next.contains(&(0, "few")) && next.contains(&(1, "many")), "{next:?}");
    }
    assert!(served.iter().filter(|item| **item == (0, "many")).count() > 110);
}

/// The time without an answer counts from the first query since the last answer, regardless of how
/// often queries are refused.
#[test]
fn unanswered_time_counts_from_the_first_query() {
    let mut jobs = UnansweredJobs::new(8);
    assert_eq!(jobs.on_query("a", 1_000), 1_000);
    assert_eq!(jobs.on_query("a", 6_000), 1_000);
    jobs.on_query("b", 2_000);
    let longest = LongestUnanswered { job: "a".into(), age_ms: 9_000 };
    assert_eq!(jobs.longest(10_000), Some(longest));
    assert_eq!(jobs.on_answer("a", 11_000), Some(10_000));
    assert_eq!(jobs.first_query_ms("a"), None);
    assert_eq!(jobs.on_query("a", 12_000), 12_000);
}

/// A job that is no longer queried no longer counts as unanswered.
#[test]
fn unanswered_job_is_forgotten_when_no_longer_queried() {
    let mut jobs = UnansweredJobs::new(8);
    jobs.on_query("a", 1_000);
    assert!(jobs.longest(31_000).is_some());
    assert_eq!(jobs.longest(31_001), None);
    jobs.on_query("a", 40_000);
    assert_eq!(jobs.on_query("a", 90_000), 90_000);
}

/// A full table forgets the jobs whose last query is the oldest.
#[test]
fn full_table_of_unanswered_jobs_forgets_the_oldest() {
    let mut jobs = UnansweredJobs::new(16);
    for n in 0..100u64 {
        jobs.on_query(&format!("job-{n}"), n);
        assert!(jobs.len() <= 16);
    }
    assert_eq!(jobs.first_query_ms("job-99"), Some(99));
    assert_eq!(jobs.first_query_ms("job-0"), None);
}
