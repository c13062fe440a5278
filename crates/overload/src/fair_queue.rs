//! Fair queueing between teams and their classes of work.

use std::collections::HashMap;

/// Classes of one team that are remembered. Forgetting them is harmless: a forgotten class is
/// treated as one that was not served lately.
const MAX_CLASSES_PER_TEAM: usize = 1_000;

/// Start-time fair queueing with equal weights: each class of each team is served in turn,
/// however many items of it wait.
///
/// A class that was idle is served after at most one item of each other class, and is not
/// compensated for the time in which it had nothing to serve. The queue holds no items: the
/// caller keeps them and sorts them by the tags of a [`TagAssigner`], lowest first.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Start tag of the item that was served last.
    virtual_time: u64,
    /// Finish tag of the last item that was served, by team and class.
    finish_tags: HashMap<usize, HashMap<String, u64>>,
}

impl FairQueue {
    /// Records that an item of this team and class was served.
    pub fn record_service(&mut self, team: usize, class: &str) {
        self.virtual_time = self.start_tag(team, class);
        let classes = self.finish_tags.entry(team).or_default();
        if classes.len() >= MAX_CLASSES_PER_TEAM {
            classes.clear();
        }
        classes.insert(class.to_string(), self.virtual_time + 1);
    }

    /// Starts to assign tags to the items that wait now.
    pub fn tag_assigner(&self) -> TagAssigner<'_> {
        TagAssigner { queue: self, waiting: HashMap::new() }
    }

    /// Start tag of the next item of this team and class.
    fn start_tag(&self, team: usize, class: &str) -> u64 {
        let finish_tag = self.finish_tags.get(&team).and_then(|classes| classes.get(class));
        finish_tag.map_or(self.virtual_time, |tag| self.virtual_time.max(*tag))
    }
}

/// Assigns tags to waiting items, one after another; the lowest tag is served first.
#[derive(Debug)]
pub struct TagAssigner<'a> {
    queue: &'a FairQueue,
    /// Items that have a tag already, by team and class.
    waiting: HashMap<(usize, &'a str), u64>,
}

impl<'a> TagAssigner<'a> {
    /// The tag of the next waiting item of this team and class.
    pub fn next_tag(&mut self, team: usize, class: &'a str) -> u64 {
        let position = self.waiting.entry((team, class)).or_default();
        *position += 1;
        self.queue.start_tag(team, class) + *position
    }
}
