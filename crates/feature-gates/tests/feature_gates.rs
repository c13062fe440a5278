//! What the ladder promises, held against a small model of controllers and keys.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use quartzgate_feature_gates::{
    Comes, Due, Feature, FeatureEntry, Ladder, NodeRecord, StandingRecord, Stands, StillThere,
    Table, VersionEntry, Why, TABLE,
};

const fn version(number: u32, name: &'static str) -> VersionEntry {
    VersionEntry { number, name, changes: "" }
}

const fn feature(name: &'static str, comes: Comes, needs: &'static [&'static str]) -> FeatureEntry {
    FeatureEntry { name, comes, needs, changes: "" }
}

static OLD: Table = Table {
    versions: &[version(2, "v2"), version(3, "v3")],
    features: &[feature("a", Comes::Alone { from: 3 }, &[])],
};
static NEW: Table = Table {
    versions: &[version(2, "v2"), version(3, "v3"), version(4, "v4")],
    features: &[
        feature("a", Comes::Alone { from: 3 }, &[]),
        feature("b", Comes::Alone { from: 3 }, &["a"]),
        feature("c", Comes::With(4), &[]),
    ],
};

/// Guards the real table: it is in order, and every feature that code asks for has its one
/// entry.
#[test]
fn the_table_is_in_order() {
    assert_eq!(TABLE.fault(), None);
    let entries: BTreeSet<&str> = TABLE.features.iter().map(|f| f.name).collect();
    let asked: BTreeSet<&str> = Feature::all().map(Feature::name).collect();
    assert_eq!(entries, asked);
}

/// Guards tables to come against entries that would let a step in unseen: a gap between
/// versions, a name that stands twice, a feature of its own that builds which look for none
/// would have to notice, and needs that are not met before it.
#[test]
fn faulty_tables_are_named() {
    static GAP: Table = Table { versions: &[version(3, "v3")], features: &[] };
    static TWICE: Table =
        Table { versions: &[version(2, "v2")], features: &[feature("v2", Comes::With(2), &[])] };
    static EARLY: Table = Table {
        versions: &[version(2, "v2")],
        features: &[feature("a", Comes::Alone { from: 2 }, &[])],
    };
    static LATER: Table = Table {
        versions: &[version(2, "v2")],
        features: &[feature("a", Comes::With(2), &["b"]), feature("b", Comes::With(2), &[])],
    };
    for (table, word) in
        [(&GAP, "version 3"), (&TWICE, "twice"), (&EARLY, "come with"), (&LATER, "needs `b`")]
    {
        assert!(table.fault().is_some_and(|f| f.contains(word)), "{word}: {:?}", table.fault());
    }
    let unknown = TABLE.check_steps(&["format-9".to_string()]).unwrap_err();
    assert!(unknown.to_string().contains("format-2"), "{unknown}");
}

/// Guards what is on against a read that is older than the step, and against one that
/// shows something else: what stands only grows.
#[test]
fn an_older_read_changes_nothing() {
    let mut ladder = Ladder::new(&NEW, BTreeSet::new());
    let at = |version, names: &[&str]| {
        let features = names.iter().map(|n| n.to_string()).collect();
        Stands::At(StandingRecord { version, features })
    };
    assert!(ladder.stands_to(at(3, &["a"]), 7));
    for older in [at(2, &[]), at(3, &[]), at(4, &["b"]), Stands::Unknown] {
        assert!(!ladder.stands_to(older, 5));
    }
    assert!(ladder.has("a") && ladder.version() == 3 && ladder.stamp() == 7);
    assert!(ladder.stands_to(at(4, &["a"]), 9));
    assert!(ladder.has("c"), "comes with version 4");
    assert!(ladder.stands_to(Stands::Foreign("x".into()), 9));
    assert!(!ladder.stands_to(at(4, &["a", "b"]), 10) && !ladder.has("a"));
}

/// Guards operators' reading of a hold: which controller, why, since when; the time goes on
/// counting while the reason changes.
#[test]
fn a_hold_says_who_why_and_since_when() {
    let mut ladder = Ladder::new(&NEW, BTreeSet::new());
    ladder.stands_to(Stands::At(StandingRecord::first()), 0);
    let said = |version, withheld: &[&str], life| NodeRecord {
        version,
        features: BTreeSet::new(),
        withheld: withheld.iter().map(|w| w.to_string()).collect(),
        life,
    };
    let named: Vec<String> = ["x", "y", "z"].map(String::from).into();
    let words = [("x", said(1, &["v2"], Some(5))), ("y", said(4, &[], Some(6)))];
    ladder.see(words.into_iter().map(|(n, r)| (n.to_string(), (r, 9))).collect());
    let members = BTreeMap::from([("x".to_string(), 5), ("y".to_string(), 8)]);
    assert_eq!(ladder.weigh(1_000, &named, &members), None);
    let by = |l: &Ladder| l.held()[0].by.values().cloned().collect::<Vec<_>>();
    assert_eq!(by(&ladder), [Why::Withheld, Why::Replaced, Why::NeverSaid]);
    let words = [("x", said(1, &[], Some(5))), ("y", said(4, &[], Some(6)))];
    ladder.see(words.into_iter().map(|(n, r)| (n.to_string(), (r, 9))).collect());
    ladder.weigh(4_000, &named, &BTreeMap::new());
    assert_eq!(by(&ladder), [Why::Older(1), Why::Away, Why::NeverSaid]);
    assert_eq!(ladder.held()[0].since_ms, 1_000);
}

/// One controller of the model.
#[derive(Debug)]
struct Node {
    ladder: Ladder,
    alive: bool,
    /// What it read last of the keys of all.
    words: BTreeMap<String, (NodeRecord, u64)>,
}

/// Controllers, and a store of keys with stamps.
#[derive(Debug)]
struct Model {
    nodes: Vec<Node>,
    rev: u64,
    /// What stands, and its stamp.
    format: (StandingRecord, u64),
    words: BTreeMap<String, (NodeRecord, u64)>,
    members: BTreeMap<String, u64>,
    /// Steps and words on their way, with what guards them.
    steps: Vec<(Due, u64)>,
    said: Vec<(String, NodeRecord, u64)>,
}

impl Model {
    fn new(nodes: usize) -> Model {
        let node = |_| Node {
            ladder: Ladder::new(&OLD, BTreeSet::new()),
            alive: true,
            words: BTreeMap::new(),
        };
        let mut m = Model {
            nodes: (0..nodes).map(node).collect(),
            rev: 1,
            format: (StandingRecord::first(), 0),
            words: BTreeMap::new(),
            members: BTreeMap::new(),
            steps: Vec::new(),
            said: Vec::new(),
        };
        (0..nodes).for_each(|n| m.start(n, false));
        m
    }

    fn stamp(&mut self) -> u64 {
        self.rev += 1;
        self.rev
    }

    /// A new life of a controller, of the older build or the newer.
    fn start(&mut self, n: usize, new: bool) {
        let table = if new { &NEW } else { &OLD };
        let ladder = Ladder::new(table, BTreeSet::new());
        self.nodes[n] = Node { ladder, alive: true, words: BTreeMap::new() };
        let stamp = self.stamp();
        self.members.insert(n.to_string(), stamp);
        self.read(n);
    }

    fn read(&mut self, n: usize) {
        let (record, stamp) = self.format.clone();
        let words = self.words.clone();
        let node = &mut self.nodes[n];
        let stands = node.ladder.understand(Some(record));
        node.ladder.stands_to(stands, stamp);
        node.words = words.clone();
        node.ladder.see(words);
    }

    /// What it can do goes on its way.
    fn say(&mut self, n: usize) {
        let life = self.members.get(&n.to_string()).copied();
        let ladder = &self.nodes[n].ladder;
        if let Some(life) = life.filter(|_| ladder.key_wanted(&n.to_string(), life)) {
            let record = NodeRecord { life: Some(life), ..ladder.can() };
            self.said.push((n.to_string(), record, life));
        }
    }

    /// Leads, or believes so: a step goes on its way.
    fn weigh(&mut self, n: usize) {
        let named: Vec<String> = (0..self.nodes.len()).map(|n| n.to_string()).collect();
        let members = self.members.clone();
        let ladder = &mut self.nodes[n].ladder;
        let stamp = ladder.stamp();
        if let Some(due) = ladder.weigh(0, &named, &members) {
            self.steps.push((due, stamp));
        }
    }

    fn arrive_word(&mut self, at: usize) {
        if at >= self.said.len() {
            return;
        }
        let (node, record, life) = self.said.remove(at);
        if self.members.get(&node) == Some(&life) {
            let stamp = self.stamp();
            self.words.insert(node, (record, stamp));
        }
    }

    fn arrive_step(&mut self, at: usize) {
        if at >= self.steps.len() {
            return;
        }
        let (due, stamp) = self.steps.remove(at);
        let holds = |g: &StillThere| match g {
            StillThere::Life { node, stamp } => self.members.get(node) == Some(stamp),
            StillThere::Word { node, stamp } => self.words.get(node).is_some_and(|w| w.1 == *stamp),
        };
        if self.format.1 != stamp || !due.guards.iter().all(holds) {
            return;
        }
        let old = self.format.0.clone();
        assert!(due.record.covers(&old) && due.record != old, "{old:?} -> {:?}", due.record);
        let grown = due.record.version - old.version
            + due.record.features.difference(&old.features).count() as u32;
        assert_eq!(grown, 1, "one step at a time");
        for (n, node) in self.nodes.iter().enumerate() {
            let understands =
                matches!(node.ladder.understand(Some(due.record.clone())), Stands::At(_));
            assert!(understands, "n{n} lives or was last here, and lacks {:?}", due.record);
        }
        self.format = (due.record, self.stamp());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards every step, in any order of starts, ends, reads and late writes: one at a
    /// time, nothing goes back, and no controller that was last seen lacks it.
    #[test]
    fn nothing_is_switched_on_that_one_lacks(
        ops in prop::collection::vec((0..8u8, 0..3usize, 0..4usize), 20..160),
    ) {
        let mut m = Model::new(3);
        for (op, n, at) in ops {
            match op {
                0 => m.start(n, true),
                // Going back is free until something new is on.
                1 if m.format.0.version <= 3 && !m.format.0.features.contains("b") => {
                    m.start(n, false)
                }
                // Its lease runs out.
                2 => {
                    m.nodes[n].alive = false;
                    m.members.remove(&n.to_string());
                }
                3 if m.nodes[n].alive => m.read(n),
                4 if m.nodes[n].alive => m.say(n),
                5 if m.nodes[n].alive => m.weigh(n),
                6 => m.arrive_word(at),
                _ => m.arrive_step(at),
            }
        }
        // Then all are new, and everything comes on.
        for n in 0..3 {
            m.start(n, true);
        }
        for _ in 0..6 {
            for n in 0..3 {
                m.read(n);
                m.say(n);
                while !m.said.is_empty() { m.arrive_word(0); }
            }
            (0..3).for_each(|n| m.read(n));
            m.weigh(0);
            while !m.steps.is_empty() { m.arrive_step(0); }
        }
        prop_assert_eq!(m.format.0.version, 4);
        prop_assert_eq!(m.format.0.features.len(), 2);
    }
}
