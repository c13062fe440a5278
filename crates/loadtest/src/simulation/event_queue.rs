//! Queue of a simulation's events, ordered by simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event and its time. Events of the same time are taken in the order of their scheduling.
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
    /// Reversed, because `BinaryHeap` pops its greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A priority queue of events, the earliest first.
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    next_sequence_number: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), next_sequence_number: 0 }
    }

    /// Schedules an event for a simulated time.
    pub fn schedule(&mut self, at_ms: u64, event: E) {
        let sequence_number = self.next_sequence_number;
        self.next_sequence_number += 1;
        self.heap.push(Scheduled { at_ms, sequence_number, event });
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|scheduled| (scheduled.at_ms, scheduled.event))
    }

    /// Removes the events for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&E) -> bool) {
        self.heap.retain(|scheduled| keep(&scheduled.event));
    }
}
