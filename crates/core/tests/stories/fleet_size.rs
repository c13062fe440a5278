//! The largest fleet that every limit allows for: nothing is dropped for a count.

use crate::world::{job, Cut, End, World, LEASE_MS};
use quartzgate_core::capacity::MIN_FLEET;
use quartzgate_wire::msg::Shape;

/// A fleet that has registered with its leader, all of it in its first session.
fn fleet(seed: u64) -> World {
    let mut w = World::new(3, MIN_FLEET, 0.0, seed);
    w.keeps_idle = true;
    w.start_anew();
    let known = |w: &World| w.leader().is_some() && w.workers.values().all(|m| m.token > 0);
    w.until(60_000, "all machines are registered", known);
    let leader = w.leader().unwrap();
    report_to(&mut w, leader);
    w.run(2_000);
    sessions_stand(&w);
    w
}

fn follower(w: &World) -> usize {
    (w.leader().unwrap() + 1) % w.size()
}

fn report_to(w: &mut World, node: usize) {
    w.workers.values_mut().for_each(|m| m.node = node);
}

/// No machine has lost its lease.
fn sessions_stand(w: &World) {
    let lost = w.workers.values().filter(|m| m.tenure > 1).count();
    assert_eq!(lost, 0, "sessions ended; breaches: {:?}", w.breaches);
    assert_eq!(w.workers.len(), MIN_FLEET);
}

/// A leader that stood still for longer than a heartbeat interval has one of each machine, and
/// holds them all until it knows that it still leads.
#[test]
fn stalled_leader_holds_a_heartbeat_of_every_machine() {
    let mut w = fleet(30_001);
    let (leader, before) = (w.leader().unwrap(), w.redirects);
    w.pause(leader, 1_400);
    w.run(4_000);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.redirects - before, 0, "heartbeats were redirected after the stall");
    sessions_stand(&w);
    w.keep_rules();
}

/// A follower to which a whole fleet turns sends the machines of the other zone to the leader
/// after two leases: it remembers since when each of them reports there.
#[test]
fn follower_remembers_every_out_of_zone_worker() {
    let mut w = fleet(30_002);
    let (leader, follower) = (w.leader().unwrap(), follower(&w));
    // It begins with nothing remembered.
    w.kill_for(follower, 100);
    w.run(1_500);
    report_to(&mut w, follower);
    w.run(2 * LEASE_MS + 5_000);
    let other_zone = || w.workers.values().filter(|m| m.zone == "b");
    let left = other_zone().filter(|m| m.node == follower).count();
    // A few came back to it late, and are within their two leases.
    assert!(left < MIN_FLEET / 20, "{left} of the other zone still report to the follower");
    let sent = other_zone().filter(|m| m.node == leader).count();
    assert!(sent > 3 * MIN_FLEET / 8, "only {sent} of the other zone were sent to the leader");
    sessions_stand(&w);
    w.keep_rules();
}

/// A leader that is cut from all workers and from its siblings: one follower keeps the whole
/// fleet. Heartbeats wait for its claim, none is redirected, and the ends of tasks on any
/// machine reach the leader through the mailbox.
#[test]
fn lease_proxy_keeps_the_whole_fleet() {
    let mut w = fleet(30_003);
    let (leader, proxy) = (w.leader().unwrap(), follower(&w));
    w.run_ms.insert("wk-000001".into(), 20_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 60));
    w.until(20_000, "all run", |w| w.on("wk-000001").len() == 60);
    report_to(&mut w, proxy);
    w.run(1_500);
    let before = w.redirects;
    w.without_workers.insert(leader);
    for n in (0..w.size()).filter(|n| *n != leader) {
        w.cut(End::Node(leader), End::Node(n), Cut::Drop);
    }
    w.run(5_000);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.redirects - before, 0, "heartbeats were redirected during the cut");
    w.until(100_000, "the leader learns all ends", |w| {
        use quartzgate_core::records::RecordedStatus;
        w.recorded("wk-000001") == Some(RecordedStatus::Done)
    });
    sessions_stand(&w);
    w.cuts.clear();
    w.without_workers.clear();
    w.run(5_000);
    w.keep_rules();
}

/// Another takes the lead while every machine holds its lease, and none loses it.
#[test]
fn failover_keeps_every_session() {
    let mut w = fleet(30_004);
    w.run_ms.insert("wk-000001".into(), 30_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 60));
    w.until(20_000, "all run", |w| w.on("wk-000001").len() == 60);
    let old = w.leader().unwrap();
    w.kill_for(old, 6_000);
    w.until(20_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
    w.until_done("wk-000001", 60_000);
    sessions_stand(&w);
    assert_eq!(w.starts.values().map(Vec::len).sum::<usize>(), 60, "each task started once");
    w.keep_rules();
}

/// All controllers end at once and are back within a heartbeat interval.
#[test]
fn restart_of_all_controllers_keeps_every_session() {
    let mut w = fleet(30_005);
    w.run_ms.insert("wk-000001".into(), 30_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 60));
    w.until(20_000, "all run", |w| w.on("wk-000001").len() == 60);
    (0..w.size()).for_each(|n| w.kill_for(n, 200));
    w.until_done("wk-000001", 60_000);
    sessions_stand(&w);
    assert_eq!(w.starts.values().map(Vec::len).sum::<usize>(), 60, "each task started once");
    w.keep_rules();
}

/// As many status queries at once as there are machines are all answered, and timed.
#[test]
fn flood_of_status_queries_is_answered() {
    let mut w = World::new(3, 8, 0.0, 30_006);
    w.run(2_500);
    w.run_ms.insert("wk-000001".into(), 60_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 4));
    w.until(10_000, "all run", |w| w.on("wk-000001").len() == 4);
    let leader = w.leader().unwrap();
    let timed = w.figures(leader).get("latency_ms.poll.count").copied().unwrap_or(0.0);
    let asks: Vec<usize> = (0..MIN_FLEET).map(|_| w.poll(leader, "wk-000001")).collect();
    w.run(2_000);
    let answered = asks.iter().filter(|a| w.status(**a) == 200).count();
    assert_eq!(answered, MIN_FLEET);
    let timed = w.figures(leader).get("latency_ms.poll.count").copied().unwrap_or(0.0) - timed;
    assert_eq!(timed, MIN_FLEET as f64);
    w.keep_rules();
}

/// Acceptances whose writes get no answer and are carried out later, as many as the rate of
/// writes allows within a lease bound: each job is found on record and runs.
#[test]
fn every_indeterminate_submission_is_found() {
    use crate::world::{Fate, Unanswered};
    const JOBS: u32 = 560;
    let mut w = World::new(3, 40, 0.0, 30_007);
    w.keeps_idle = true;
    w.without_pages();
    w.run(6_000);
    let leader = w.leader().unwrap();
    w.state.no_inbox = true;
    let what = Unanswered::Late(12_000);
    w.state.fates.push(Fate { prefix: "jobs/", what, left: JOBS });
    for n in 0..JOBS {
        w.submit(leader, &job(&format!("wk-{n:06}"), Shape::Array, 1));
        w.run(22);
    }
    w.state.fates.clear();
    w.run(60_000);
    assert_eq!(w.leader(), Some(leader));
    let recorded = (0..JOBS).filter(|n| w.recorded(&format!("wk-{n:06}")).is_some()).count();
    assert!(recorded > 500, "{recorded} stand on record");
    let forgotten = (0..JOBS).filter(|n| {
        let id = format!("wk-{n:06}");
        w.recorded(&id).is_some() && !w.done.contains_key(&id)
    });
    assert_eq!(forgotten.count(), 0, "jobs on record that nobody runs");
    w.keep_rules();
}
