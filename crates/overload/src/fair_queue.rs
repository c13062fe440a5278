//! Fair queueing among teams and their classes of work.

use std::collections::HashMap;

/// Number of classes of one team whose finish tags are kept. Dropping them is harmless: a dropped
/// class is treated as one that was not served recently.
const MAX_CLASSES_PER_TEAM: usize = 1_000;

/// Start-time fair queueing with equal weights: the classes of all teams are served in turn,
/// regardless of how many items of each are waiting.
///
/// A class that was idle is served after at most one item of each other class, and is not
/// compensated for its idle time. The queue holds no items: the caller keeps them and serves them
/// in ascending order of the tags that a [`TagAssigner`] assigns.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Start tag of the most recently served item.
    virtual_time: u64,
    /// Finish tag of the most recently served item, by team and class.
    finish_tags: HashMap<usize, HashMap<String, u64>>,
}

impl FairQueue {
    /// Records that an item of this team and class was served, which advances the virtual time.
    pub fn record_service(&mut self, team: usize, class: &str) {
        self.virtual_time = self.start_tag(team, class);
        let classes = self.finish_tags.entry(team).or_default();
        if classes.len() >= MAX_CLASSES_PER_TEAM {
            classes.clear();
        }
        classes.insert(class.to_string(), self.virtual_time + 1);
    }

    /// Returns an assigner of tags for the items that are waiting now.
    pub fn tag_assigner(&self) -> TagAssigner<'_> {
        TagAssigner { queue: self, assigned: HashMap::new() }
    }

    /// Returns the start tag of the next item of this team and class.
    fn start_tag(&self, team: usize, class: &str) -> u64 {
        let finish_tag = self.finish_tags.get(&team).and_then(|classes| classes.get(class));
        finish_tag.map_or(self.virtual_time, |tag| self.virtual_time.max(*tag))
    }
}

/// Assigns tags to waiting items one by one. The item with the lowest tag is served first.
#[derive(Debug)]
pub struct TagAssigner<'a> {
    queue: &'a FairQueue,
    /// Number of items that have been assigned a tag, by team and class.
    assigned: HashMap<(usize, &'a str), u64>,
}

impl<'a> TagAssigner<'a> {
    /// Returns the tag of the next waiting item of this team and class.
    pub fn next_tag(&mut self, team: usize, class: &'a str) -> u64 {
        let position = self.assigned.entry((team, class)).or_default();
        *position += 1;
        self.queue.start_tag(team, class) + *position
    }
}
