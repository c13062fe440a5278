//! Keys of the tables in memory, fencing tokens and attempt numbers.

/// Key of a job in memory, in the order in which jobs came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobIndex(pub u32);

/// Key of a machine in memory, in the order in which machines came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineIndex(pub u32);

/// Key of a task in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Its job.
    pub job: JobIndex,
    /// Its number within the job, from 0.
    pub task: u32,
}

/// Hash of an image's name: machines remember many, and only a preference depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageKey(u64);

impl ImageKey {
    /// The key of an image by its name.
    pub fn of(name: &str) -> ImageKey {
        let mut hasher = std::hash::DefaultHasher::new();
        std::hash::Hasher::write(&mut hasher, name.as_bytes());
        ImageKey(std::hash::Hasher::finish(&hasher))
    }
}

/// Bits of a fencing token or an attempt number that count within an epoch.
const COUNTER_BITS: u32 = 24;

/// A fencing token or attempt number: the epoch in the high bits, so that those of a later epoch
/// are larger, and below it a counter that begins anew with each epoch.
pub fn scoped_to_epoch(epoch: u64, counter: u64) -> u64 {
    (epoch << COUNTER_BITS) | (counter & ((1 << COUNTER_BITS) - 1))
}

/// The epoch of a fencing token or attempt number.
pub fn epoch_of(number: u64) -> u64 {
    number >> COUNTER_BITS
}

/// Splits the wire's name of a task, as `wk-000412/3`, into the job's identifier and the task's
/// number.
pub fn parse_task(text: &str) -> Option<(&str, u32)> {
    let (job, number) = text.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

/// The wire's name of a task.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}
