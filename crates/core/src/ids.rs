//! Keys of the in-memory tables, fencing tokens, attempt numbers and task names.

/// Key of a job in memory, ordered by when the jobs were added on this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobIndex(pub u32);

/// Key of a machine in memory, ordered by when the machines were added on this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineIndex(pub u32);

/// Key of a task in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobIndex,
    /// Number of the task within the job, starting at 0.
    pub task: u32,
}

/// Hash of an image name. Each machine remembers many images, and only a preference depends on
/// them, so a hash is stored instead of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageKey(u64);

impl ImageKey {
    /// Returns the key of the image with this name.
    pub fn of(name: &str) -> ImageKey {
        let mut hasher = std::hash::DefaultHasher::new();
        std::hash::Hasher::write(&mut hasher, name.as_bytes());
        ImageKey(std::hash::Hasher::finish(&hasher))
    }
}

/// Number of low bits of a fencing token or attempt number that hold the counter within an epoch.
const COUNTER_BITS: u32 = 24;

/// Returns a fencing token or attempt number. It has the epoch in the high bits, so that the
/// numbers of a later epoch are larger, and in the low bits a counter that restarts in each epoch.
pub fn scoped_to_epoch(epoch: u64, counter: u64) -> u64 {
    (epoch << COUNTER_BITS) | (counter & ((1 << COUNTER_BITS) - 1))
}

/// Returns the epoch of a fencing token or attempt number.
pub fn epoch_of(number: u64) -> u64 {
    number >> COUNTER_BITS
}

/// Splits the wire format name of a task, such as `wk-000412/3`, into the job's identifier and the
/// task's number.
pub fn parse_task(text: &str) -> Option<(&str, u32)> {
    let (job, number) = text.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

/// Returns the wire format name of a task.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}
