//! The order and the bounds of service under any mix of requests, and the states of load.

use proptest::prelude::*;
use quartzgate_overload::{Class, Intake, Load, LoadState, Next, Turned, Turns};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const MOST: usize = 8;

proptest! {
    /// Guards the order of service and every bound, whatever comes when: each request is
    /// served or refused exactly once, nothing is served past its time, nothing of a lower
    /// class before a higher one, and each class by standing, then in order of arrival.
    #[test]
    fn order_and_bounds_hold_for_any_mix(steps in prop::collection::vec((0usize..9, 0u64..900), 1..300)) {
        let mut intake: Intake<u64> = Intake::new(MOST);
        let (mut now, mut next, mut ended) = (0u64, 0u64, 0u64);
        let mut waiting: Vec<(Class, u64, u64, u64)> = Vec::new();
        for (what, ms) in steps {
            if let Some(class) = Class::ALL.get(what) {
                let held = waiting.iter().filter(|(c, ..)| c == class).count();
                let standing = ms / 300;
                let back = intake.push(*class, standing, now, next, LoadState::Normal);
                prop_assert_eq!(back.is_some(), held >= MOST);
                match back {
                    Some(_) => ended += 1,
                    None => waiting.push((*class, now, next, standing)),
                }
                next += 1;
                continue;
            }
            now += ms;
            let got = intake.next(now);
            prop_assert_eq!(got.is_none(), waiting.is_empty());
            let (class, id, served) = match got {
                Some(Next::Serve(class, id, waited)) => {
                    prop_assert!(waited <= 2_500, "worked on after its asker's patience");
                    let higher = waiting.iter().any(|(c, ..)| *c < class);
                    prop_assert!(!higher, "{class:?} before a higher class");
                    (class, id, true)
                }
                Some(Next::Refuse(class, id)) => (class, id, false),
                None => continue,
            };
            let alike = waiting.iter().enumerate().filter(|(_, (c, ..))| *c == class);
            let first = match served {
                true => alike.min_by_key(|(_, (_, _, id, standing))| (*standing, *id)),
                false => alike.min_by_key(|(_, (_, _, id, _))| *id),
            };
            let at = first.unwrap().0;
            let (_, came, expected, _) = waiting.remove(at);
            prop_assert_eq!(id, expected, "out of order within its class");
            prop_assert!(served || now > came + 500, "refused without having waited");
            ended += 1;
        }
        while intake.next(now).is_some() {
            ended += 1;
        }
        prop_assert_eq!(ended, next, "a request was lost or served twice");
    }
}

/// Guards leases of running work: when reports come three times as fast as they can be
/// looked at together with the users' flood, every report is still served in time.
#[test]
fn a_flood_of_users_does_not_hold_up_reports() {
    let mut intake: Intake<u64> = Intake::new(4_000);
    let mut load = Load::new(4_000);
    let (mut reports, mut longest, mut refused) = (0, 0, 0);
    for now in 0..20_000u64 {
        for n in 0..20 {
            let class = if n == 0 { Class::Report } else { Class::Poll };
            refused += intake.push(class, 0, now, now, load.state()).iter().count();
        }
        // Two can be looked at in a millisecond: all reports, and one of nineteen polls.
        // To refuse one costs a tenth of that.
        let mut left = 20;
        while left > 0 {
            match intake.next(now) {
                Some(Next::Serve(class, _, waited)) => {
                    if class == Class::Report {
                        load.note_report(waited);
                        (reports, longest) = (reports + 1, longest.max(waited));
                    }
                    left -= 10;
                }
                Some(Next::Refuse(..)) => (refused, left) = (refused + 1, left - 1),
                None => break,
            }
        }
        load.tick(now, intake.oldest_ms(now));
    }
    assert!(reports >= 19_990 && longest < 100, "{reports} served, the longest after {longest} ms");
    assert!(refused > 100_000, "the flood was to be refused: {refused}");
    assert_eq!(load.state(), LoadState::Pressed, "polls stand, reports don't: pressed");
}

/// Guards the way back: when the load falls, the state is normal again within the stated
/// time, by itself, and doesn't flap on the way there.
#[test]
fn the_load_falls_and_all_is_normal_again() {
    let mut load = Load::new(4_000);
    let (mut now, mut changes) = (0, Vec::new());
    let mut run = |load: &mut Load, ms: u64, waited: u64| {
        for _ in 0..ms / 10 {
            now += 10;
            load.note_report(waited);
            changes.extend(load.tick(now, waited));
        }
    };
    run(&mut load, 1_000, 3);
    assert_eq!(load.state(), LoadState::Normal);
    run(&mut load, 1_000, 150);
    assert_eq!(load.state(), LoadState::Pressed);
    run(&mut load, 1_000, 900);
    assert_eq!(load.state(), LoadState::Shedding);
    // Between leaving and entering it stays.
    run(&mut load, 5_000, 300);
    assert_eq!(load.state(), LoadState::Shedding);
    let recovery = load.recovery_ms();
    run(&mut load, recovery, 1);
    assert_eq!(load.state(), LoadState::Normal, "not normal after {recovery} ms");
    assert_eq!(changes.len(), 4, "{changes:?}");
}

/// Guards against a crowd that was turned away coming back as one: the more there are,
/// the longer and the wider they are spread.
#[test]
fn a_crowd_that_is_turned_away_is_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut turned = Turned::default();
    let few: Vec<u32> = (0..5).map(|_| turned.turn(0, 20.0, &mut rng)).collect();
    assert!(few.iter().all(|s| *s == 1), "{few:?}");
    let many: Vec<u32> = (0..400).map(|_| turned.turn(10, 20.0, &mut rng)).collect();
    let late = &many[200..];
    for second in 1..=9 {
        let share = late.iter().filter(|s| **s == second).count();
        assert!(share < 100, "{share} of 200 come back after {second} s");
    }
    assert!(late.iter().all(|s| (1..=10).contains(s)));
    // Once the crowd has gone, one is asked to wait no longer than before.
    assert_eq!(turned.turn(60_000, 20.0, &mut rng), 1);
}

/// Guards every lease when reports come three times as fast as they can be looked at:
/// those that were answered longest ago go first, so that each worker is answered in turn,
/// and none waits much longer than three rounds.
#[test]
fn reports_at_three_times_the_rate_lose_no_lease() {
    const WORKERS: usize = 3_000;
    const ROUND_MS: u64 = 5_000;
    let mut intake: Intake<usize> = Intake::new(WORKERS);
    let mut answered = vec![0u64; WORKERS];
    let mut due: Vec<u64> = (0..WORKERS as u64).map(|n| n * ROUND_MS / WORKERS as u64).collect();
    let (mut longest, mut credit) = (0, 0);
    for now in 0..120_000u64 {
        for w in (0..WORKERS).filter(|w| due[*w] == now).collect::<Vec<_>>() {
            let back = intake.push(Class::Report, answered[w], now, w, LoadState::Shedding);
            assert!(back.is_none(), "reports are never refused unseen");
        }
        // A third of what comes: one in five milliseconds.
        credit += 1;
        while let Some(next) = (credit >= 5).then(|| intake.next(now)).flatten() {
            match next {
                Next::Serve(_, w, _) => {
                    longest = longest.max(now - answered[w]);
                    (answered[w], due[w]) = (now, now + ROUND_MS);
                    credit -= 5;
                }
                // Sent to the next controller, it is back a second later.
                Next::Refuse(_, w) => due[w] = now + 1_000,
            }
        }
    }
    assert!(longest < 4 * ROUND_MS, "a worker had no answer for {longest} ms");
}

/// Guards a class of which little waits against one of which thousands do, with one served at
/// a time and the order made anew each time; and against making up for what was not asked for.
#[test]
fn each_class_is_served_in_turn() {
    let mut turns = Turns::default();
    let mut waiting: Vec<(usize, &str)> = vec![(0, "many"); 500];
    let mut served = Vec::new();
    for step in 0..120 {
        // Now and then one of another class or team comes.
        if step % 40 == 39 {
            waiting.extend([(0, "few"), (1, "many")]);
        }
        let mut ahead = turns.ahead();
        let order: Vec<u64> =
            waiting.iter().map(|(team, class)| ahead.next(*team, class)).collect();
        let at = (0..waiting.len()).min_by_key(|at| order[*at]).unwrap();
        let (team, class) = waiting.remove(at);
        turns.served(team, class);
        served.push((team, class));
    }
    for came in [39, 79] {
        let soon = &served[came..came + 4];
        assert!(soon.contains(&(0, "few")) && soon.contains(&(1, "many")), "{soon:?}");
    }
    assert!(served.iter().filter(|s| **s == (0, "many")).count() > 110);
}
