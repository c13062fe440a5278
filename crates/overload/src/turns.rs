//! Whose turn it is: each class of each team after the other, whatever waits of it.

use std::collections::HashMap;

/// Gives each team's classes turns, so that one of which many wait keeps no other waiting,
/// however little is served at a time: a class that comes anew is served after one turn of
/// each of the others, and what it did not ask for before is not made up for (start-time fair
/// queueing, with equal shares).
#[derive(Debug, Default)]
pub struct Turns {
    /// The turn that is being served.
    at: u64,
    /// The last turn of each class of a team.
    last: HashMap<usize, HashMap<String, u64>>,
}

/// Classes of a team whose turns are remembered; one that is forgotten is served now.
const CLASSES_MOST: usize = 1_000;

impl Turns {
    /// The turn before the next of a class.
    fn before(&self, team: usize, class: &str) -> u64 {
        let last = self.last.get(&team).and_then(|of| of.get(class));
        last.map_or(self.at, |t| self.at.max(*t))
    }

    /// One of a class is served.
    pub fn served(&mut self, team: usize, class: &str) {
        self.at = self.before(team, class);
        let of = self.last.entry(team).or_default();
        if of.len() >= CLASSES_MOST {
            of.clear();
        }
        of.insert(class.to_string(), self.at + 1);
    }

    /// For sorting all that wait.
    pub fn ahead(&self) -> Ahead<'_> {
        Ahead { turns: self, waiting: HashMap::new() }
    }
}

/// The turns of those that wait, told one after another: the lowest is served first.
#[derive(Debug)]
pub struct Ahead<'a> {
    turns: &'a Turns,
    waiting: HashMap<(usize, &'a str), u64>,
}

impl<'a> Ahead<'a> {
    pub fn next(&mut self, team: usize, class: &'a str) -> u64 {
        let n = self.waiting.entry((team, class)).or_default();
        *n += 1;
        self.turns.before(team, class) + *n
    }
}
