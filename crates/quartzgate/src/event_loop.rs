//! The event loop: passes socket events and clock ticks to the core, and executes the actions
//! that the core decides on.
//!
//! The loop runs on a single thread. Each iteration passes a tick to the core when one is due,
//! waits for sockets, reads the received data, and serves queued requests for a bounded time.
//! The core answers every event with actions; all of them are executed before the next socket
//! event or tick is handled, so that the state can't change between a decision and its execution.

use std::collections::VecDeque;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

use mio::Events;
use quartzgate_core::config::Config;
use quartzgate_core::{Action, Controller, Event};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::clock::Clock;
use crate::connection::{Direction, Readiness};
use crate::connections::{ConnectionKey, ConnectionTable, EventSource};
use crate::inbound::{InboundRequests, InboundSettings, NextRequest};
use crate::listeners::{ListenError, Listeners};
use crate::outbound::{OutboundCalls, PeerAddresses, WaitingLimits};

/// Interval between two ticks of the core.
const TICK_INTERVAL_MS: u64 = 25;
/// Interval between two checks for expired connections and waiting calls.
const EXPIRY_INTERVAL_MS: u64 = 4 * TICK_INTERVAL_MS;
/// Longest regular time between two polls of the sockets. After a longer gap, for which the process
/// must have stalled, the sockets are read before any deadline is checked.
const MAX_POLL_GAP_MS: u64 = EXPIRY_INTERVAL_MS;
/// Longest time for which queued requests are served before the sockets are polled again, so
/// that more urgent requests that have arrived meanwhile overtake them.
const MAX_SERVE_SLICE_MS: u64 = TICK_INTERVAL_MS;
/// Largest number of ready sockets that one poll reports.
const MAX_EVENTS: usize = 1_024;

/// Why the event loop could not start, or has ended.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// An address in the settings is not an IP address with a port.
    #[error("invalid address in the settings: {0}")]
    Address(#[from] AddrParseError),
    /// Binding a listening socket to its address, or registering it with the poll, failed.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Creating the poll failed, or the operating system failed to report ready sockets.
    #[error("waiting for sockets failed: {0}")]
    Poll(#[from] io::Error),
}

/// Runs the controller with these settings; returns only when an error ends the event loop.
pub fn run(config: Config) -> Result<(), EventLoopError> {
    EventLoop::new(config)?.run()
}

/// An action to execute, with the time at which it was decided.
struct DecidedAction {
    decided_ms: u64,
    action: Action,
}

struct EventLoop {
    clock: Clock,
    core: Controller,
    listeners: Listeners,
    connections: ConnectionTable,
    inbound: InboundRequests,
    outbound: OutboundCalls,
    /// Actions still to be executed, in the order in which they were decided.
    actions: VecDeque<DecidedAction>,
}

impl EventLoop {
    fn new(config: Config) -> Result<Self, EventLoopError> {
        let clock = Clock::start();
        let platform = &config.platform;
        let max_sockets = platform.params.limits.max_sockets;
        let connections = ConnectionTable::new(max_sockets, config.max_response_bytes())?;
        let clients: SocketAddr = platform.listen.parse()?;
        let mesh: SocketAddr = platform.mesh_listen.parse()?;
        let listeners = Listeners::bind(clients, mesh, &connections)?;
        let addresses = PeerAddresses::from_settings(platform)?;
        tracing::info!(
            node = %platform.node,
            zone = %platform.zone,
            client_address = %clients,
            mesh_address = %mesh,
            "controller started"
        );
        let inbound = InboundSettings {
            max_queued_per_class: max_sockets,
            heartbeat_interval_ms: config.heartbeat_interval_ms(),
            heartbeat_timeout_ms: config.worker_answer_timeout_ms(),
        };
        let waiting = WaitingLimits {
            max_calls: config.max_queued_calls(),
            max_bytes: config.max_held_bytes(),
        };
        Ok(EventLoop {
            clock,
            listeners,
            connections,
            inbound: InboundRequests::new(clock, inbound, SmallRng::from_os_rng()),
            outbound: OutboundCalls::new(clock, addresses, waiting),
            core: Controller::new(config, SmallRng::from_os_rng()),
            actions: VecDeque::new(),
        })
    }

    fn run(&mut self) -> Result<(), EventLoopError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut schedule = Schedule::new(self.clock.steady_ms());
        loop {
            let now_ms = self.clock.steady_ms();
            schedule.detect_stall(now_ms);
            if schedule.take_tick(now_ms) {
                self.tick(now_ms, &mut schedule);
            }
            self.wait(&mut events, &mut schedule)?;
            for event in &events {
                self.dispatch(event);
            }
            self.serve_queued();
        }
    }

    /// Runs the periodic work: expiry, the tick of the core, and the load state.
    fn tick(&mut self, now_ms: u64, schedule: &mut Schedule) {
        if schedule.take_expiry(now_ms) {
            self.expire(now_ms);
        }
        self.process(Event::Tick);
        if let Some(event) = self.inbound.update_load(now_ms, &self.connections) {
            self.process(event);
        }
    }

    /// Waits until sockets are ready or a tick is due; polls without waiting while work is queued.
    fn wait(&mut self, events: &mut Events, schedule: &mut Schedule) -> io::Result<()> {
        let work_queued = schedule.reads_backlog() || !self.inbound.is_empty();
        let before_ms = self.clock.steady_ms();
        let timeout = match work_queued {
            true => Duration::ZERO,
            false => schedule.time_to_tick(before_ms),
        };
        self.connections.wait(events, timeout)?;
        let after_ms = self.clock.steady_ms();
        schedule.record_poll(after_ms);
        // Data that a poll without waiting finds may have arrived at any time before it, so the
        // time before the poll counts as its arrival.
        self.inbound.set_arrival(if work_queued { before_ms } else { after_ms });
        Ok(())
    }

    /// Handles a ready socket, then executes all resulting actions.
    fn dispatch(&mut self, event: &mio::event::Event) {
        let ready = Readiness { readable: event.is_readable(), writable: event.is_writable() };
        match EventSource::from_token(event.token()) {
            EventSource::Listener(endpoint) => {
                self.listeners.accept(endpoint, &mut self.connections, self.clock);
            }
            EventSource::Connection(key) => self.on_ready(key, ready),
        }
        self.run_pending();
    }

    fn on_ready(&mut self, key: ConnectionKey, ready: Readiness) {
        match self.connections.get(key).map(|connection| connection.direction()) {
            Some(Direction::Inbound(_)) => {
                let refusal = self.inbound.on_ready(&mut self.connections, key, ready);
                self.queue_action(refusal);
            }
            Some(Direction::Outbound(_)) => {
                self.outbound.on_ready(&mut self.connections, key, ready);
            }
            None => {}
        }
    }

    /// Serves queued requests, the most urgent first, until [`MAX_SERVE_SLICE_MS`] have passed or
    /// the queue is empty.
    fn serve_queued(&mut self) {
        let mut now_ms = self.clock.steady_ms();
        let end_ms = now_ms + MAX_SERVE_SLICE_MS;
        while now_ms < end_ms {
            match self.inbound.next(now_ms) {
                None => return,
                Some(NextRequest::Handle(event)) => self.process(event),
                Some(NextRequest::Refuse(action)) => {
                    self.queue_action(Some(action));
                    self.run_pending();
                }
                Some(NextRequest::Abandoned) => {}
            }
            now_ms = self.clock.steady_ms();
        }
    }

    /// Ends connections and waiting calls that have exceeded their deadline or idle limit.
    fn expire(&mut self, now_ms: u64) {
        for key in self.connections.expired(now_ms) {
            match self.connections.get(key).map(|connection| connection.direction()) {
                Some(Direction::Inbound(_)) => self.inbound.close(&mut self.connections, key),
                Some(Direction::Outbound(_)) => {
                    self.outbound.on_expired(&mut self.connections, key);
                }
                None => {}
            }
        }
        self.outbound.expire_waiting(now_ms);
        self.run_pending();
    }

    /// Passes an event to the core, then executes all resulting actions.
    fn process(&mut self, event: Event) {
        self.handle(event);
        self.run_pending();
    }

    /// Executes the queued actions and passes the outcomes of calls to the core, until neither
    /// is left. Outcomes go first.
    fn run_pending(&mut self) {
        loop {
            if let Some(outcome) = self.outbound.next_outcome() {
                self.handle(outcome);
            } else if let Some(decided) = self.actions.pop_front() {
                self.execute(decided);
            } else {
                return;
            }
        }
    }

    /// Passes an event to the core and queues the actions that the core decides on.
    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let decided_ms = now.steady_ms;
        let actions = self.core.handle(now, event).into_iter();
        self.actions.extend(actions.map(|action| DecidedAction { decided_ms, action }));
    }

    /// Queues an action that was decided without the core, such as a refusal under overload.
    fn queue_action(&mut self, action: Option<Action>) {
        if let Some(action) = action {
            let decided_ms = self.clock.steady_ms();
            self.actions.push_back(DecidedAction { decided_ms, action });
        }
    }

    fn execute(&mut self, DecidedAction { decided_ms, action }: DecidedAction) {
        match action {
            Action::Answer { id, response } => {
                let refusal = self.inbound.respond(&mut self.connections, id, response);
                self.queue_action(refusal);
            }
            Action::Call(call) => self.outbound.start(&mut self.connections, call, decided_ms),
        }
    }
}

/// Schedule of the periodic work, and detection of process stalls.
struct Schedule {
    next_tick_ms: u64,
    next_expiry_ms: u64,
    last_poll_ms: u64,
    /// Set for one iteration after a process stall: the sockets' buffers are read before any
    /// deadline is checked and before the core gets a tick. Otherwise responses that arrived in
    /// time would count as lost.
    reads_backlog: bool,
}

impl Schedule {
    fn new(now_ms: u64) -> Self {
        Schedule { next_tick_ms: 0, next_expiry_ms: 0, last_poll_ms: now_ms, reads_backlog: false }
    }

    /// Suppresses ticks for one iteration if the last poll of the sockets is more than
    /// [`MAX_POLL_GAP_MS`] ago.
    fn detect_stall(&mut self, now_ms: u64) {
        let stalled = now_ms > self.last_poll_ms + MAX_POLL_GAP_MS;
        self.reads_backlog = stalled && !self.reads_backlog;
    }

    fn reads_backlog(&self) -> bool {
        self.reads_backlog
    }

    /// Returns whether a tick is due now, and if so schedules the next one.
    fn take_tick(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_tick_ms && !self.reads_backlog;
        if due {
            self.next_tick_ms = now_ms + TICK_INTERVAL_MS;
        }
        due
    }

    /// Returns whether an expiry check is due now, and if so schedules the next one.
    fn take_expiry(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_expiry_ms;
        if due {
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
        }
        due
    }

    fn record_poll(&mut self, now_ms: u64) {
        self.last_poll_ms = now_ms;
    }

    /// Returns the time until the next tick, at least 1 ms.
    fn time_to_tick(&self, now_ms: u64) -> Duration {
        Duration::from_millis(self.next_tick_ms.saturating_sub(now_ms).max(1))
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_loop.rs"]
mod tests;
