//! Finds the longest time for which an accepted job was unanswered, from the controllers' debug
//! logs as the bench prints them: each line begins with the second of the scenario.

use std::collections::{BTreeMap, BTreeSet};

/// Longest time for which an accepted job may be unanswered once all faults are over.
const MAX_UNANSWERED_S: f64 = 75.0;
/// Time for which a user waits for the answer to a status query.
const QUERY_TIMEOUT_MS: u64 = 2_000;
/// Log message of each status query that ended.
const QUERY_ANSWERED: &str = " status query answered job=";

/// The job that was unanswered for longest.
#[derive(Clone, Debug, PartialEq)]
pub struct UnansweredJob {
    /// Id of the job; empty if no job was unanswered.
    pub job: String,
    /// Second of the scenario of the first query that had no answer.
    pub since_s: f64,
    /// Length of the unanswered time.
    pub seconds: f64,
}

impl UnansweredJob {
    /// Returns a description of the failure if the job was unanswered for too long.
    pub fn failure(&self) -> Option<String> {
        let UnansweredJob { job, since_s, seconds } = self;
        (*seconds > MAX_UNANSWERED_S)
            .then(|| format!("{job} unanswered for {seconds:.0} s from {since_s:.0} s on"))
    }
}

/// A status query that ended.
struct EndedQuery<'a> {
    at_s: f64,
    job: &'a str,
    /// Whether the user received the job's status in time.
    is_answered: bool,
    /// Whether the user was told in time that there is no such job.
    is_unknown: bool,
}

/// Returns the job that was unanswered for longest from second `from_s` of the scenario on, of the
/// jobs that were ever answered in time; `None` if the log shows no status query.
pub fn longest_unanswered(log: &str, from_s: f64) -> Option<UnansweredJob> {
    let queries: Vec<EndedQuery> = log.lines().filter_map(parse_query).collect();
    let answered_jobs: BTreeSet<&str> =
        queries.iter().filter(|query| query.is_answered).map(|query| query.job).collect();
    // Seconds of the first and the last query of each job that is unanswered at present.
    let mut unanswered: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    let mut longest = UnansweredJob { job: String::new(), since_s: from_s, seconds: 0.0 };
    let mut update_longest = |job: &str, since_s: f64, until_s: f64| {
        if until_s - since_s > longest.seconds {
            longest = UnansweredJob { job: job.into(), since_s, seconds: until_s - since_s };
        }
    };
    for query in queries.iter().filter(|query| query.at_s >= from_s) {
        if !answered_jobs.contains(query.job) {
            continue;
        }
        let (since_s, _) = *unanswered.entry(query.job).or_insert((query.at_s, query.at_s));
        unanswered.insert(query.job, (since_s, query.at_s));
        if query.is_answered || query.is_unknown {
            update_longest(query.job, since_s, query.at_s);
            unanswered.remove(query.job);
        }
    }
    for (job, (since_s, last_s)) in unanswered {
        update_longest(job, since_s, last_s);
    }
    (!queries.is_empty()).then_some(longest)
}

fn parse_query(line: &str) -> Option<EndedQuery<'_>> {
    let (head, tail) = line.split_once(QUERY_ANSWERED)?;
    let at_s = head.split_whitespace().next()?.parse().ok()?;
    let mut words = tail.split_whitespace();
    let job = words.next()?;
    let status: u16 = words.next()?.strip_prefix("status=")?.parse().ok()?;
    let took_ms: u64 = words.next()?.strip_prefix("took_ms=")?.parse().ok()?;
    let in_time = took_ms < QUERY_TIMEOUT_MS;
    Some(EndedQuery {
        at_s,
        job,
        is_answered: status == 200 && in_time,
        is_unknown: status == 404 && in_time,
    })
}
