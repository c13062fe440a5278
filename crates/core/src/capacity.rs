//! Capacity limits: the numbers of machines, requests and bytes that a controller is sized for.
//!
//! Every limit on the number of machines, or on what machines and their users do concurrently, is
//! derived from the platform's settings in this module. No limit is below [`MIN_FLEET`] machines,
//! whatever the settings are. Collections of message bodies are also bounded in bytes.

use std::collections::BTreeMap;

use quartzgate_wire::http::MIN_RESPONSE_LIMIT_BYTES;
use quartzgate_wire::msg::Heartbeat;

use crate::config::Config;

/// Minimum number of machines that every limit allows for, whatever the settings are.
pub const MIN_FLEET: usize = 4_500;
/// Memory of the controller, in bytes, for each machine that it is sized for.
const BYTES_PER_MACHINE: f64 = 16.0 * 1024.0;
/// Size in bytes of a typical heartbeat, which contains the names of about ten tasks.
const HEARTBEAT_BYTES: usize = 1024;
/// Share of the memory that each kind of held message bodies may use.
const HELD_BODIES_SHARE: f64 = 0.125;
/// Mean number of jobs, over a fleet, whose tasks a machine runs at a time.
const JOBS_PER_MACHINE: usize = 4;
/// Maximum number of calls to a machine that wait at a time: its commands and a status request.
const CALLS_PER_MACHINE: usize = 2;
/// Maximum age of the index of the batch records, in heartbeat intervals, at which it is updated
/// instead of rebuilt.
const INDEX_AGE_IN_HEARTBEATS: u64 = 2;
/// Share of the memory for known terminal jobs, each of which takes [`TERMINAL_JOB_BYTES`].
const TERMINAL_JOBS_SHARE: f64 = 0.05;
const TERMINAL_JOB_BYTES: f64 = 160.0;
/// Number of terminal jobs remembered for each machine of the smallest fleet.
const MIN_TERMINAL_JOBS_PER_MACHINE: usize = 5;

impl Config {
    fn memory_bytes(&self) -> f64 {
        self.platform.params.limits.memory_mb * 1024.0 * 1024.0
    }

    /// Returns the number of machines that this controller is sized for, which its memory limits.
    pub fn max_fleet(&self) -> usize {
        ((self.memory_bytes() / BYTES_PER_MACHINE) as usize).max(MIN_FLEET)
    }

    /// Returns how many requests may wait for their answers at a time. Each holds a connection, so
    /// the sockets run out first.
    pub fn max_open_requests(&self) -> usize {
        self.platform.params.limits.max_sockets.max(MIN_FLEET)
    }

    /// Returns how many bytes of message bodies of one kind may be held at a time.
    pub fn max_held_bytes(&self) -> usize {
        ((self.memory_bytes() * HELD_BODIES_SHARE) as usize).max(MIN_FLEET * HEARTBEAT_BYTES)
    }

    /// Returns how many heartbeats may be held while it is unknown who leads or what the records
    /// contain.
    pub fn max_held_heartbeats(&self) -> usize {
        self.max_open_requests()
    }

    /// Returns how many heartbeats may wait for the lease proxy's claim or for a read.
    pub fn max_parked_heartbeats(&self) -> usize {
        self.max_open_requests()
    }

    /// Returns for how many workers a lease proxy remembers the latest messages.
    pub fn max_proxied_workers(&self) -> usize {
        self.max_fleet()
    }

    /// Returns how many jobs a lease proxy may track for the workers whose leases it renews.
    pub fn max_proxied_jobs(&self) -> usize {
        JOBS_PER_MACHINE * self.max_fleet()
    }

    /// Returns how many workers of other zones a follower remembers.
    pub fn max_out_of_zone_workers(&self) -> usize {
        self.max_fleet()
    }

    /// Returns how many heartbeats, and how many replies to orders, may wait to be mailed to one
    /// other controller.
    pub fn max_outbox_entries(&self) -> usize {
        self.max_fleet()
    }

    /// Returns how many calls, over all peers, may wait for a free connection.
    pub fn max_queued_calls(&self) -> usize {
        CALLS_PER_MACHINE * self.max_fleet() + self.max_open_requests()
    }

    /// Returns the maximum age, in milliseconds, at which the index of the batch records is updated
    /// instead of rebuilt. The changes since then must fit [`Config::max_response_bytes`].
    pub fn max_index_update_age_ms(&self) -> u64 {
        INDEX_AGE_IN_HEARTBEATS * self.heartbeat_interval_ms()
    }

    /// Returns the maximum size, in bytes, of an answer to a call that this controller makes. A
    /// list of changes has no limit of its own: it contains what the write rate allows between two
    /// reads, each value being of the largest size.
    pub fn max_response_bytes(&self) -> usize {
        let state = &self.platform.params.state;
        let span_ms = self.max_index_update_age_ms() + 3 * self.store_timeout_ms() + 1_000;
        let changes = state.write_rps * state.value_kb * 1024.0 * span_ms as f64 / 1000.0;
        (changes as usize).min(self.max_held_bytes()).max(MIN_RESPONSE_LIMIT_BYTES)
    }

    /// Returns how many submissions with an indeterminate write may be tracked. Each took a write
    /// of its own and is looked for no longer than the lease bound, so the write rate limits their
    /// number.
    pub fn max_indeterminate_submissions(&self) -> usize {
        let state = &self.platform.params.state;
        let next = state.next.and_then(|n| n.write_rps).unwrap_or(0.0);
        let span_s = self.lease_bound_ms() as f64 / 1000.0 + 1.0;
        ((state.write_rps.max(next) * span_s) as usize).max(MIN_FLEET)
    }

    /// Returns how many status queries may wait for a shared read.
    pub fn max_waiting_status_queries(&self) -> usize {
        self.max_open_requests()
    }

    /// Returns for how many user requests the latency may be measured at a time.
    pub fn max_timed_requests(&self) -> usize {
        self.max_open_requests()
    }

    /// Returns how many lookups, by users and by a lease proxy, may wait for a read of all job
    /// batches.
    pub fn max_batch_lookups(&self) -> usize {
        self.max_open_requests() + self.max_fleet()
    }

    /// Returns how many requests may read the dependencies of their jobs at a time.
    pub fn max_dependency_walks(&self) -> usize {
        self.max_open_requests()
    }

    /// Returns how many terminal jobs are remembered; older ones are read from the store again.
    pub fn max_terminal_jobs(&self) -> usize {
        let room = self.memory_bytes() * TERMINAL_JOBS_SHARE / TERMINAL_JOB_BYTES;
        (room as usize).max(MIN_TERMINAL_JOBS_PER_MACHINE * MIN_FLEET)
    }
}

/// Returns the approximate memory used by a heartbeat, in bytes.
pub(crate) fn heartbeat_bytes(heartbeat: &Heartbeat) -> usize {
    let strings = [&heartbeat.machine, &heartbeat.addr, &heartbeat.machine_type, &heartbeat.zone];
    let tasks = heartbeat.tasks.iter();
    std::mem::size_of::<Heartbeat>()
        + strings.iter().map(|string| string.len()).sum::<usize>()
        + tasks.map(|t| std::mem::size_of_val(t) + t.task.len()).sum::<usize>()
}

/// Makes room for one more entry if the map holds `max_entries`. The oldest eighth of the entries
/// is evicted at once, so that a full map is not searched for each new entry.
pub(crate) fn evict_oldest<V>(
    map: &mut BTreeMap<String, V>,
    max_entries: usize,
    age: impl Fn(&V) -> u64,
) {
    if map.len() < max_entries {
        return;
    }
    let mut by_age: Vec<(u64, String)> = map.iter().map(|(k, v)| (age(v), k.clone())).collect();
    by_age.sort_unstable();
    let excess = map.len() - max_entries;
    for (_, key) in by_age.into_iter().take(excess + (max_entries / 8).max(1)) {
        map.remove(&key);
    }
}

/// A list bounded in the number and the total bytes of its entries.
#[derive(Debug)]
pub(crate) struct BoundedList<T> {
    entries: Vec<(T, usize)>,
    bytes: usize,
    max_count: usize,
    max_bytes: usize,
}

impl<T> BoundedList<T> {
    pub fn new(max_count: usize, max_bytes: usize) -> Self {
        BoundedList { entries: Vec::new(), bytes: 0, max_count, max_bytes }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get_mut(&mut self, at: usize) -> Option<&mut T> {
        self.entries.get_mut(at).map(|(entry, _)| entry)
    }

    /// Adds an entry that takes `bytes`; returns false if it does not fit. A single entry always
    /// fits.
    pub fn push(&mut self, entry: T, bytes: usize) -> bool {
        let over = self.entries.len() >= self.max_count || self.bytes + bytes > self.max_bytes;
        if over && !self.entries.is_empty() {
            return false;
        }
        self.bytes += bytes;
        self.entries.push((entry, bytes));
        true
    }

    /// Removes and returns all entries, each with its size in bytes.
    pub fn take(&mut self) -> Vec<(T, usize)> {
        self.bytes = 0;
        std::mem::take(&mut self.entries)
    }
}
