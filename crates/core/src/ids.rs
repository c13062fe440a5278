//! Keys of the tables in memory, tokens and attempt numbers.

/// A job in memory, by order of arrival here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobIndex(pub u32);

/// A machine in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineIndex(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    pub job: JobIndex,
    pub task: u32,
}

/// An image's name, hashed: machines remember many, and only a preference hangs on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageKey(u64);

impl ImageKey {
    pub fn of(name: &str) -> ImageKey {
        let mut hasher = std::hash::DefaultHasher::new();
        std::hash::Hasher::write(&mut hasher, name.as_bytes());
        ImageKey(std::hash::Hasher::finish(&hasher))
    }
}

/// Bits of a token or an attempt number that count within an epoch.
const COUNTER_BITS: u32 = 24;

/// Token or attempt number: the epoch, then a counter that starts anew with it.
pub fn scoped_to_epoch(epoch: u64, counter: u64) -> u64 {
    (epoch << COUNTER_BITS) | (counter & ((1 << COUNTER_BITS) - 1))
}

pub fn epoch_of(number: u64) -> u64 {
    number >> COUNTER_BITS
}

/// Splits `wk-000412/3` into the job's id and the task's number.
pub fn parse_task(text: &str) -> Option<(&str, u32)> {
    let (job, n) = text.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}

pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}
