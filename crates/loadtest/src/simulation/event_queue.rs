//! Events of a simulation, in the order of simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its time. Events of one moment come in the order in which they were scheduled.
struct Scheduled<E> {
    at_ms: u64,
    sequence_number: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (u64, u64) {
        (self.at_ms, self.sequence_number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed, since the heap yields its greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A queue of events, the earliest first.
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    next_sequence_number: u64,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), next_sequence_number: 0 }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at_ms: u64, event: E) {
        let sequence_number = self.next_sequence_number;
        self.next_sequence_number += 1;
        self.heap.push(Scheduled { at_ms, sequence_number, event });
    }

    /// Takes the earliest event, with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|scheduled| (scheduled.at_ms, scheduled.event))
    }

    /// Keeps only some events.
    pub fn retain(&mut self, keep: impl Fn(&E) -> bool) {
        self.heap.retain(|scheduled| keep(&scheduled.event));
    }
}
