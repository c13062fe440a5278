//! Requests that have come and wait to be looked at, by class of work.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;

use crate::load::LoadState;

/// Classes of work in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Workers' reports and what siblings send: they keep running work alive and bring
    /// its ends.
    Report,
    /// Health checks: a controller that answers none is taken out of service.
    Health,
    /// Cancellations.
    Abort,
    Submit,
    Poll,
    /// Figures, and whatever else.
    Other,
}

impl Class {
    pub const ALL: [Class; 6] =
        [Class::Report, Class::Health, Class::Abort, Class::Submit, Class::Poll, Class::Other];

    pub fn name(self) -> &'static str {
        match self {
            Class::Report => "report",
            Class::Health => "health",
            Class::Abort => "abort",
            Class::Submit => "submit",
            Class::Poll => "poll",
            Class::Other => "other",
        }
    }

    /// Longest time that a request of the class waits here: half of its asker's patience,
    /// so that it is never worked on after the asker has gone.
    fn most_ms(self) -> u64 {
        match self {
            Class::Report => 2_000,
            Class::Health => 500,
            Class::Abort | Class::Submit => 2_500,
            Class::Poll | Class::Other => 1_000,
        }
    }

    /// Users' work that is refused unseen while reports wait too long.
    fn shed(self) -> bool {
        matches!(self, Class::Submit | Class::Poll | Class::Other)
    }
}

struct Waiting<T> {
    came_ms: u64,
    request: T,
}

/// Requests of one class: served by standing, given up by age.
struct Queue<T> {
    waiting: BTreeMap<(u64, u64), Waiting<T>>,
    /// Their keys in order of arrival; those that were served are passed over.
    ages: VecDeque<(u64, (u64, u64))>,
}

impl<T> Queue<T> {
    fn new() -> Self {
        Queue { waiting: BTreeMap::new(), ages: VecDeque::new() }
    }

    /// When the oldest came.
    fn oldest(&mut self) -> Option<(u64, (u64, u64))> {
        while let Some(&(came, key)) = self.ages.front() {
            if self.waiting.contains_key(&key) {
                return Some((came, key));
            }
            self.ages.pop_front();
        }
        None
    }
}

/// What is to be done next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// It is looked at, after so long.
    Serve(Class, T, u64),
    /// It has waited for too long, or can't be waited for: refused at once.
    Refuse(Class, T),
}

/// Queues by class, bounded in time and number.
pub struct Intake<T> {
    queues: Vec<Queue<T>>,
    arrivals: u64,
    /// Requests that may wait in a class.
    most: usize,
    waits: Vec<Histogram<u32>>,
    refused: [u64; Class::ALL.len()],
}

impl<T> Intake<T> {
    /// No class holds more than `most` requests; with as many as there are sockets, the
    /// bound is never met.
    pub fn new(most: usize) -> Self {
        let one = || Histogram::new_with_max(60_000, 1).expect("a minute is in range");
        Intake {
            queues: Class::ALL.iter().map(|_| Queue::new()).collect(),
            arrivals: 0,
            most,
            waits: Class::ALL.iter().map(|_| one()).collect(),
            refused: [0; Class::ALL.len()],
        }
    }

    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(|q| q.waiting.is_empty())
    }

    pub fn len(&self) -> usize {
        self.queues.iter().map(|q| q.waiting.len()).sum()
    }

    /// A request has come; within its class the lowest standing is served first, and the
    /// same standing in order of arrival. It comes back if it is refused unseen.
    pub fn push(
        &mut self,
        class: Class,
        standing: u64,
        came_ms: u64,
        request: T,
        state: LoadState,
    ) -> Option<T> {
        let queue = &mut self.queues[class as usize];
        if queue.waiting.len() >= self.most || state == LoadState::Shedding && class.shed() {
            self.refused[class as usize] += 1;
            return Some(request);
        }
        self.arrivals += 1;
        let key = (standing, self.arrivals);
        queue.ages.push_back((came_ms, key));
        queue.waiting.insert(key, Waiting { came_ms, request });
        None
    }

    /// The next request: what has waited too long is refused, then the classes are served
    /// in their order, and each in order of arrival.
    pub fn next(&mut self, now_ms: u64) -> Option<Next<T>> {
        for class in Class::ALL {
            let queue = &mut self.queues[class as usize];
            let oldest = queue.oldest().filter(|(came, _)| now_ms > came + class.most_ms());
            if let Some(late) = oldest.and_then(|(_, key)| queue.waiting.remove(&key)) {
                self.refused[class as usize] += 1;
                return Some(Next::Refuse(class, late.request));
            }
        }
        for class in Class::ALL {
            if let Some((_, w)) = self.queues[class as usize].waiting.pop_first() {
                let waited = now_ms.saturating_sub(w.came_ms);
                self.waits[class as usize].saturating_record(waited);
                return Some(Next::Serve(class, w.request, waited));
            }
        }
        None
    }

    /// How long the oldest request has waited.
    pub fn oldest_ms(&mut self, now_ms: u64) -> u64 {
        let oldest = self.queues.iter_mut().filter_map(Queue::oldest).map(|(came, _)| came).min();
        oldest.map_or(0, |came| now_ms.saturating_sub(came))
    }

    /// Waits by class in milliseconds, and how many were refused here.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let mut out = Vec::new();
        for class in Class::ALL {
            let (h, name) = (&self.waits[class as usize], class.name());
            if !h.is_empty() {
                for (part, value) in [
                    ("p50", h.value_at_quantile(0.5)),
                    ("p99", h.value_at_quantile(0.99)),
                    ("max", h.max()),
                    ("count", h.len()),
                ] {
                    out.push((format!("intake_ms.{name}.{part}"), value as f64));
                }
            }
            let refused = self.refused[class as usize];
            if refused > 0 {
                out.push((format!("intake_refused.{name}"), refused as f64));
            }
        }
        out
    }
}
