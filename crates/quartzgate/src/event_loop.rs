//! The event loop: brings sockets, timers and clocks to the core, and carries out what it
//! decides.
//!
//! One thread does everything. Each round waits for sockets, reads what has come, serves
//! queued requests for a bounded time, and tells the core the time. The core answers every
//! event with actions; they are carried out before the next event is looked at, so that it
//! never sees the world change in between.

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

/// How often the core is told the time.
const TICK_INTERVAL_MS: u64 = 25;
/// How often connections and calls are checked for what has taken too long.
const EXPIRY_INTERVAL_MS: u64 = 4 * TICK_INTERVAL_MS;
/// Time without a look at the sockets past which this process must have been stalled.
const MAX_POLL_GAP_MS: u64 = EXPIRY_INTERVAL_MS;
/// Longest time for which queued requests are served before the sockets are looked at
/// again, so that what is more urgent overtakes them.
const MAX_SERVE_SLICE_MS: u64 = TICK_INTERVAL_MS;
/// Most ready sockets reported in one round.
const MAX_EVENTS: usize = 1_024;

/// Why the event loop could not start, or has ended.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The settings hold an invalid address.
    #[error("invalid address in the settings: {0}")]
    Address(#[from] AddrParseError),
    /// An address can't be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The operating system refuses to report ready sockets.
    #[error("waiting for sockets failed: {0}")]
    Poll(#[from] io::Error),
}

/// Serves with these settings, until an error ends it.
pub fn run(config: Config) -> Result<(), EventLoopError> {
    EventLoop::new(config)?.run()
}

/// An action of the core, and when it was decided.
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
    /// Actions that are to be carried out, in order.
    actions: VecDeque<DecidedAction>,
}

impl EventLoop {
    fn new(config: Config) -> Result<Self, EventLoopError> {
        let clock = Clock::start();
        let platform = &config.platform;
        let max_sockets = platform.params.limits.max_sockets;
        let connections = ConnectionTable::new(max_sockets, config.max_answer_bytes())?;
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

    /// Does the periodic work.
    fn tick(&mut self, now_ms: u64, schedule: &mut Schedule) {
        if schedule.take_expiry(now_ms) {
            self.expire(now_ms);
        }
        self.feed(Event::Tick);
        if let Some(event) = self.inbound.update_load(now_ms, &self.connections) {
            self.feed(event);
        }
    }

    /// Waits until sockets are ready or a tick is due; with work queued, only polls.
    fn wait(&mut self, events: &mut Events, schedule: &mut Schedule) -> io::Result<()> {
        let work_queued = schedule.reads_backlog() || !self.inbound.is_empty();
        let before_ms = self.clock.steady_ms();
        let timeout = match work_queued {
            true => Duration::ZERO,
            false => schedule.time_to_tick(before_ms),
        };
        self.connections.wait(events, timeout)?;
        let after_ms = self.clock.steady_ms();
        schedule.note_poll(after_ms);
        // What was there without waiting may have come at any time before.
        self.inbound.set_arrival(if work_queued { before_ms } else { after_ms });
        Ok(())
    }

    /// Handles a ready socket, and all that follows.
    fn dispatch(&mut self, event: &mio::event::Event) {
        let ready = Readiness { readable: event.is_readable(), writable: event.is_writable() };
        match EventSource::from_token(event.token()) {
            EventSource::Listener(endpoint) => {
                self.listeners.accept(endpoint, &mut self.connections, self.clock);
            }
            EventSource::Connection(key) => self.on_ready(key, ready),
        }
        self.settle();
    }

    fn on_ready(&mut self, key: ConnectionKey, ready: Readiness) {
        match self.connections.get(key).map(|connection| connection.direction()) {
            Some(Direction::Inbound(_)) => {
                let refusal = self.inbound.on_ready(&mut self.connections, key, ready);
                self.decide(refusal);
            }
            Some(Direction::Outbound(_)) => {
                self.outbound.on_ready(&mut self.connections, key, ready);
            }
            None => {}
        }
    }

    /// Serves queued requests, the most urgent first, for a slice of time.
    fn serve_queued(&mut self) {
        let mut now_ms = self.clock.steady_ms();
        let end_ms = now_ms + MAX_SERVE_SLICE_MS;
        while now_ms < end_ms {
            match self.inbound.next(now_ms) {
                None => return,
                Some(NextRequest::Handle(event)) => self.feed(event),
                Some(NextRequest::Refuse(action)) => {
                    self.decide(Some(action));
                    self.settle();
                }
                Some(NextRequest::Abandoned) => {}
            }
            now_ms = self.clock.steady_ms();
        }
    }

    /// Ends what has taken too long.
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
        self.settle();
    }

    /// Gives the core an event and carries out all that follows.
    fn feed(&mut self, event: Event) {
        self.handle(event);
        self.settle();
    }

    /// Carries out the queued actions, and lets the core handle the outcomes of its calls,
    /// until nothing is left.
    fn settle(&mut self) {
        loop {
            if let Some(outcome) = self.outbound.next_outcome() {
                self.handle(outcome);
            } else if let Some(decided) = self.actions.pop_front() {
                self.carry_out(decided);
            } else {
                return;
            }
        }
    }

    /// Lets the core decide on an event.
    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let decided_ms = now.steady_ms;
        let actions = self.core.handle(now, event).into_iter();
        self.actions.extend(actions.map(|action| DecidedAction { decided_ms, action }));
    }

    /// Queues an action that was decided here, without the core.
    fn decide(&mut self, action: Option<Action>) {
        if let Some(action) = action {
            let decided_ms = self.clock.steady_ms();
            self.actions.push_back(DecidedAction { decided_ms, action });
        }
    }

    fn carry_out(&mut self, DecidedAction { decided_ms, action }: DecidedAction) {
        match action {
            Action::Answer { id, response } => {
                let refusal = self.inbound.respond(&mut self.connections, id, response);
                self.decide(refusal);
            }
            Action::Call(call) => self.outbound.start(&mut self.connections, call, decided_ms),
        }
    }
}

/// When periodic work is due, and whether this process was stalled.
struct Schedule {
    next_tick_ms: u64,
    next_expiry_ms: u64,
    last_poll_ms: u64,
    /// After a stall, the sockets' buffers are read before any timeout is checked and before
    /// the core is told the time: else responses that arrived in time would count as lost.
    reads_backlog: bool,
}

impl Schedule {
    fn new(now_ms: u64) -> Self {
        Schedule { next_tick_ms: 0, next_expiry_ms: 0, last_poll_ms: now_ms, reads_backlog: false }
    }

    /// Holds ticks back for one round if the sockets were not looked at for too long.
    fn detect_stall(&mut self, now_ms: u64) {
        let stalled = now_ms > self.last_poll_ms + MAX_POLL_GAP_MS;
        self.reads_backlog = stalled && !self.reads_backlog;
    }

    fn reads_backlog(&self) -> bool {
        self.reads_backlog
    }

    /// Whether a tick is due now; if so, the next one is scheduled.
    fn take_tick(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_tick_ms && !self.reads_backlog;
        if due {
            self.next_tick_ms = now_ms + TICK_INTERVAL_MS;
        }
        due
    }

    /// Whether expiry is due now; if so, the next one is scheduled.
    fn take_expiry(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_expiry_ms;
        if due {
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
        }
        due
    }

    fn note_poll(&mut self, now_ms: u64) {
        self.last_poll_ms = now_ms;
    }

    /// Time until the next tick, and a millisecond at least.
    fn time_to_tick(&self, now_ms: u64) -> Duration {
        Duration::from_millis(self.next_tick_ms.saturating_sub(now_ms).max(1))
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_loop.rs"]
mod tests;
