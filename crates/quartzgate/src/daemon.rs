//! The event loop: sockets, timers and clocks round the core.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use quartzgate_core::config::Config;
use quartzgate_core::{Action, Call, CallId, Controller, Event, Now, Outcome, Peer, RequestId};
use quartzgate_overload::{Class, Intake, Load, Next, Turned};
use quartzgate_wire::http::{self, HttpError, Request, Response};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use slab::Slab;

use crate::conn::{Conn, Side, State};

const CLIENTS: Token = Token(0);
const MESH: Token = Token(1);
/// Tokens of connections come after those of the listeners.
const FIRST: usize = 2;

/// Connections that are looked at in one go.
const EVENTS_MOST: usize = 1_024;
/// How often time is told to the core.
const TICK_MS: u64 = 25;
/// How often connections are looked over for what has taken too long.
const LOOK_MS: u64 = 100;
/// Time for the rest of a request, or for an answer to be taken.
const STALL_MS: u64 = 10_000;
/// Idle inbound connections are closed after this.
const IDLE_MS: u64 = 120_000;
/// Idle outbound connections are closed after this.
const SPARE_MS: u64 = 30_000;

/// Longest time for which waiting requests are served before the sockets are looked at
/// again, so that what is more urgent overtakes them.
const SLICE_MS: u64 = 25;
/// How often the core is told what waited, for its figures.
const FIGURES_MS: u64 = 1_000;
/// Idle connections that are looked for in one go when the table is full.
const SPARE_AT_ONCE: usize = 64;

/// Shares of the socket limit: users and workers may hold so much, calls the rest.
const INBOUND_SHARE: f64 = 0.6;
const OUTBOUND_SHARE: f64 = 0.35;
/// Part of the calls' sockets that calls to one sibling may hold.
const SIBLING_SHARE: f64 = 0.125;

struct Waiting {
    call: Call,
    deadline_ms: u64,
}

/// A request that waits to be looked at.
struct Asked {
    id: RequestId,
    mesh: bool,
    request: Request,
}

/// What is needed to send a call once more on a new connection.
struct UnderWay {
    peer: Peer,
    request: Option<Vec<u8>>,
}

pub struct Daemon {
    poll: Poll,
    clients: TcpListener,
    mesh: TcpListener,
    conns: Slab<Conn>,
    core: Controller,
    started: Instant,
    state: SocketAddr,
    cloud: SocketAddr,
    siblings: Vec<SocketAddr>,
    idle: HashMap<Peer, Vec<usize>>,
    open: HashMap<Peer, usize>,
    queued: HashMap<Peer, VecDeque<Waiting>>,
    /// Calls that wait for a free connection, over all peers, and what their bodies take.
    queued_total: usize,
    queued_bytes: usize,
    max_queued_calls: usize,
    max_queued_bytes: usize,
    max_answer_bytes: usize,
    /// Peers whose calls wait for room under the limit of all connections together.
    starved: VecDeque<Peer>,
    requests: HashMap<RequestId, usize>,
    under_way: HashMap<CallId, UnderWay>,
    next_request: RequestId,
    /// What is to be done, and when that was decided.
    actions: VecDeque<(u64, Action)>,
    events: VecDeque<Event>,
    intake: Intake<Asked>,
    load: Load,
    turned: Turned,
    /// Requests of users that were looked at in the second before this one, and in this.
    pace: (f64, u32),
    figures_ms: u64,
    rng: SmallRng,
    /// Since when what is read now may have lain in the sockets.
    came_ms: u64,
    report_ms: u64,
    /// Idle inbound connections, and when they had last moved, that may make way.
    spare: VecDeque<(usize, u64)>,
    inbound: usize,
    outbound: usize,
    inbound_most: usize,
    outbound_most: usize,
    scratch: Vec<u8>,
}

pub fn run(config: Config) -> io::Result<()> {
    let mut daemon = Daemon::new(config)?;
    daemon.serve()
}

fn address(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|_| io::Error::other(format!("not an address: {text}")))
}

impl Daemon {
    fn new(config: Config) -> io::Result<Self> {
        let p = &config.platform;
        let poll = Poll::new()?;
        let listen = |text: &str, token| -> io::Result<TcpListener> {
            let mut l = TcpListener::bind(address(text)?)
                .map_err(|e| io::Error::other(format!("can't listen on {text}: {e}")))?;
            poll.registry().register(&mut l, token, Interest::READABLE)?;
            Ok(l)
        };
        let clients = listen(&p.listen, CLIENTS)?;
        let mesh = listen(&p.mesh_listen, MESH)?;
        let state = address(&p.services.state)?;
        let cloud = address(&p.services.cloud)?;
        let siblings =
            p.siblings.iter().map(|s| address(&s.addr)).collect::<io::Result<Vec<_>>>()?;
        let sockets = p.params.limits.max_sockets as f64;
        tracing::info!(node = %p.node, zone = %p.zone, clients = %p.listen, mesh = %p.mesh_listen, "started");
        Ok(Daemon {
            poll,
            clients,
            mesh,
            conns: Slab::new(),
            intake: Intake::new(sockets as usize),
            load: Load::new(config.worker_patience_ms()),
            turned: Turned::default(),
            pace: (0.0, 0),
            figures_ms: 0,
            rng: SmallRng::from_os_rng(),
            came_ms: 0,
            report_ms: config.report_ms(),
            spare: VecDeque::new(),
            max_queued_calls: config.max_queued_calls(),
            max_queued_bytes: config.max_held_bytes(),
            max_answer_bytes: config.max_answer_bytes(),
            core: Controller::new(config, SmallRng::from_os_rng()),
            started: Instant::now(),
            state,
            cloud,
            siblings,
            idle: HashMap::new(),
            open: HashMap::new(),
            queued: HashMap::new(),
            queued_total: 0,
            queued_bytes: 0,
            starved: VecDeque::new(),
            requests: HashMap::new(),
            under_way: HashMap::new(),
            next_request: 1,
            actions: VecDeque::new(),
            events: VecDeque::new(),
            inbound: 0,
            outbound: 0,
            inbound_most: (sockets * INBOUND_SHARE) as usize,
            outbound_most: (sockets * OUTBOUND_SHARE) as usize,
            scratch: Conn::scratch(),
        })
    }

    fn now_ms(&self) -> u64 {
        // Never 0, which stands for "never" in places.
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { steady_ms: self.now_ms(), wall_ms: wall.as_millis() as u64 }
    }

    fn serve(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_MOST);
        let (mut tick_ms, mut look_ms) = (0, 0);
        // When the sockets were last looked at.
        let (mut looked_ms, mut away) = (self.now_ms(), false);
        loop {
            let now = self.now_ms();
            // After a pause of ours, what lies in the sockets is read before anything
            // is called late, and before the core is told the time.
            away = !away && now > looked_ms + LOOK_MS;
            if now >= tick_ms && !away {
                tick_ms = now + TICK_MS;
                if now >= look_ms {
                    look_ms = now + LOOK_MS;
                    self.expire(now);
                }
                self.feed(Event::Tick);
                self.watch_load(now);
            }
            let busy = away || !self.intake.is_empty();
            let before = self.now_ms();
            let wait = if busy { 0 } else { tick_ms.saturating_sub(before).max(1) };
            if let Err(e) = self.poll.poll(&mut events, Some(Duration::from_millis(wait))) {
                if e.kind() != io::ErrorKind::Interrupted {
                    return Err(e);
                }
            }
            looked_ms = self.now_ms();
            self.came_ms = if busy { before } else { looked_ms };
            for event in &events {
                match event.token() {
                    CLIENTS => self.accept(false),
                    MESH => self.accept(true),
                    Token(n) => self.on_ready(n - FIRST, event.is_writable(), event.is_readable()),
                }
                self.settle();
            }
            self.serve_waiting();
        }
    }

    /// Looks at requests that wait, the most urgent first, for a slice of time.
    fn serve_waiting(&mut self) {
        let mut now = self.now_ms();
        let until = now + SLICE_MS;
        while now < until {
            match self.intake.next(now) {
                None => return,
                Some(Next::Refuse(class, asked)) => {
                    self.refuse_busy(class, asked.id);
                    self.settle();
                }
                Some(Next::Serve(class, asked, waited_ms)) => {
                    match class {
                        Class::Report => self.load.note_report(waited_ms),
                        Class::Health | Class::Other => {}
                        _ => self.pace.1 += 1,
                    }
                    let Asked { id, mesh, request } = asked;
                    // Its asker may have gone meanwhile.
                    if self.requests.contains_key(&id) {
                        self.feed(match mesh {
                            true => Event::Mesh { id, request },
                            false => Event::Client { id, request },
                        });
                    }
                }
            }
            now = self.now_ms();
        }
    }

    /// Refuses a request that was not looked at, and says when to come back.
    fn refuse_busy(&mut self, class: Class, id: RequestId) {
        let now = self.now_ms();
        let mut response = Response::new(503, Vec::new());
        response.retry_after_s = Some(match class {
            Class::Report | Class::Health => 1,
            _ => self.turned.turn(now, self.pace.0, &mut self.rng),
        });
        self.actions.push_back((now, Action::Answer { id, response }));
    }

    /// Follows how loaded this process is, and tells the core.
    fn watch_load(&mut self, now: u64) {
        let oldest_ms = self.intake.oldest_ms(now);
        let changed = self.load.tick(now, oldest_ms);
        if let Some((old, new)) = changed {
            let waiting = self.intake.len();
            tracing::info!(from = old.name(), to = new.name(), waiting, oldest_ms, "load");
        }
        if now >= self.figures_ms {
            self.figures_ms = now + FIGURES_MS;
            self.pace = (f64::from(std::mem::take(&mut self.pace.1)).max(1.0), 0);
        } else if changed.is_none() {
            return;
        }
        let mut figures = self.intake.figures();
        figures.push(("sockets_inbound".into(), self.inbound as f64));
        figures.push(("sockets_outbound".into(), self.outbound as f64));
        figures.push(("intake_turned_away".into(), self.turned.all() as f64));
        self.feed(Event::Load { state: self.load.state(), figures });
    }

    /// Gives the core an event and carries out all that follows.
    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
        self.settle();
    }

    fn settle(&mut self) {
        loop {
            if let Some(event) = self.events.pop_front() {
                let now = self.now();
                let actions = self.core.handle(now, event);
                self.actions.extend(actions.into_iter().map(|a| (now.steady_ms, a)));
            } else if let Some((decided_ms, action)) = self.actions.pop_front() {
                match action {
                    Action::Answer { id, response } => self.answer(id, response),
                    Action::Call(call) => self.start_call(call, decided_ms),
                }
            } else {
                return;
            }
        }
    }

    // Inbound.

    fn accept(&mut self, mesh: bool) {
        loop {
            let listener = if mesh { &self.mesh } else { &self.clients };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => {
                    // Out of sockets: who is idle makes room, or we try at the next event.
                    if !self.make_way() {
                        return;
                    }
                    continue;
                }
            };
            if !mesh && self.inbound >= self.inbound_most && !self.make_way() {
                continue;
            }
            let now = self.now_ms();
            let _ = stream.set_nodelay(true);
            let entry = self.conns.vacant_entry();
            let token = Token(entry.key() + FIRST);
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, token, both).is_err() {
                continue;
            }
            entry.insert(Conn::new(stream, Side::Inbound { mesh }, State::Reading, now));
            self.inbound += 1;
        }
    }

    /// Closes the inbound connection that can best be spared: a user's that has been idle
    /// longest, else an idle worker's, whose next report makes a new one. A table full of
    /// connections that nobody uses thus never shuts out a report.
    fn make_way(&mut self) -> bool {
        if self.spare.is_empty() {
            self.find_spare();
        }
        while let Some((n, active_ms)) = self.spare.pop_front() {
            if self.conns.get(n).is_some_and(|c| c.idle_inbound() && c.active_ms == active_ms) {
                self.close(n);
                return true;
            }
        }
        false
    }

    /// Looks for idle inbound connections: users' first, each kind longest idle first.
    fn find_spare(&mut self) {
        let idle = self.conns.iter().filter(|(_, c)| c.idle_inbound());
        let mut found: Vec<(bool, u64, usize)> =
            idle.map(|(n, c)| (c.worker, c.active_ms, n)).collect();
        if found.len() > SPARE_AT_ONCE {
            found.select_nth_unstable(SPARE_AT_ONCE - 1);
            found.truncate(SPARE_AT_ONCE);
        }
        found.sort_unstable();
        self.spare = found.into_iter().map(|(_, active_ms, n)| (n, active_ms)).collect();
    }

    fn on_ready(&mut self, n: usize, writable: bool, readable: bool) {
        let now = self.now_ms();
        let Some(conn) = self.conns.get_mut(n) else { return };
        conn.active_ms = now;
        if let State::Connecting(call) = conn.state {
            if writable || readable {
                if now >= conn.deadline_ms {
                    return self.fail(n, Outcome::NotSent);
                }
                match conn.stream.peer_addr() {
                    Ok(_) if conn.stream.take_error().ok().flatten().is_none() => {
                        let deadline = conn.deadline_ms;
                        conn.to(State::Calling(call), now, deadline);
                    }
                    Err(e) if e.kind() == io::ErrorKind::NotConnected && !readable => return,
                    _ => return self.fail(n, Outcome::NotSent),
                }
            }
        }
        let Some(conn) = self.conns.get_mut(n) else { return };
        if writable && !conn.outbuf.is_empty() && !conn.write() {
            return self.broken(n);
        }
        if readable {
            let limit = match conn.side {
                Side::Inbound { mesh } => max_body(mesh) + 2 * http::MAX_HEAD,
                Side::Outbound { .. } => self.max_answer_bytes + http::MAX_HEAD,
            };
            if !conn.read(&mut self.scratch, limit) {
                return self.broken(n);
            }
        }
        match self.conns.get(n).map(|c| &c.side) {
            Some(Side::Inbound { .. }) => self.take_request(n),
            Some(Side::Outbound { .. }) => self.take_response(n),
            None => {}
        }
    }

    fn take_request(&mut self, n: usize) {
        let now = self.now_ms();
        let Some(conn) = self.conns.get_mut(n) else { return };
        if matches!(conn.state, State::Deciding(_)) {
            if conn.ended {
                // The asker has gone; the answer will find nobody.
                self.close(n);
            }
            return;
        }
        if conn.close {
            if conn.outbuf.is_empty() || conn.ended {
                self.close(n);
            }
            return;
        }
        if conn.inbuf.is_empty() {
            if conn.ended {
                self.close(n);
            } else {
                conn.deadline_ms = u64::MAX;
            }
            return;
        }
        let mesh = matches!(conn.side, Side::Inbound { mesh: true });
        match http::parse_request_within(&conn.inbuf, max_body(mesh)) {
            Ok(None) => {
                if conn.ended {
                    self.close(n);
                } else if conn.deadline_ms == u64::MAX {
                    conn.deadline_ms = now + STALL_MS;
                }
            }
            Ok(Some((request, taken))) => {
                conn.consume(taken);
                conn.close = request.close;
                let id = self.next_request;
                self.next_request += 1;
                conn.to(State::Deciding(id), now, now + STALL_MS);
                let class = class_of(&request, mesh);
                let came_ms = self.came_ms;
                // Workers that were answered longest ago go first: their leases are shortest.
                let standing = match (class, mesh) {
                    (Class::Report, false) => conn.answered_ms,
                    (Class::Report, true) => came_ms.saturating_sub(self.report_ms),
                    _ => 0,
                };
                conn.worker |= class == Class::Report;
                self.requests.insert(id, n);
                let asked = Asked { id, mesh, request };
                if self.intake.push(class, standing, came_ms, asked, self.load.state()).is_some() {
                    self.refuse_busy(class, id);
                }
            }
            Err(e) => self.refuse(n, e),
        }
    }

    /// A request that can't be read: its connection has no use after the answer.
    fn refuse(&mut self, n: usize, error: HttpError) {
        let now = self.now_ms();
        let Some(conn) = self.conns.get_mut(n) else { return };
        conn.close = true;
        conn.inbuf = Vec::new();
        let mut response = Response::new(error.status(), Vec::new());
        response.close = true;
        http::write_response(&mut conn.outbuf, &response);
        conn.deadline_ms = now + STALL_MS;
        if !conn.write() || conn.outbuf.is_empty() {
            self.close(n);
        }
    }

    fn answer(&mut self, id: RequestId, mut response: Response) {
        let now = self.now_ms();
        let Some(n) = self.requests.remove(&id) else { return };
        let Some(conn) = self.conns.get_mut(n) else { return };
        if conn.state != State::Deciding(id) {
            return;
        }
        response.close = conn.close;
        if response.status == 200 {
            conn.answered_ms = now;
        }
        http::write_response(&mut conn.outbuf, &response);
        conn.to(State::Reading, now, now + STALL_MS);
        if !conn.write() {
            return self.close(n);
        }
        // A next request may wait in the buffer already.
        self.take_request(n);
    }

    // Outbound.

    fn address_of(&self, peer: &Peer) -> SocketAddr {
        match peer {
            Peer::State => self.state,
            Peer::Cloud => self.cloud,
            Peer::Worker(addr) => *addr,
            Peer::Sibling(at) => self.siblings[*at],
        }
    }

    /// Connections to one peer at a time.
    fn most(&self, peer: &Peer) -> usize {
        match peer {
            Peer::State => 16,
            Peer::Cloud => 4,
            Peer::Worker(_) => 2,
            // Users' requests that are passed on hold one each until they are answered.
            Peer::Sibling(_) => ((self.outbound_most as f64 * SIBLING_SHARE) as usize).max(16),
        }
    }

    /// A call's time counts from when it was decided: one that we slept through is not
    /// sent at all.
    fn start_call(&mut self, call: Call, decided_ms: u64) {
        let deadline_ms = decided_ms + call.timeout_ms;
        self.place_call(Waiting { call, deadline_ms });
    }

    fn place_call(&mut self, w: Waiting) {
        if self.now_ms() >= w.deadline_ms {
            let outcome = Outcome::NotSent;
            return self.events.push_back(Event::Outcome { call: w.call.id, outcome });
        }
        let peer = w.call.peer.clone();
        let addr = self.address_of(&peer);
        let mut request = Vec::with_capacity(w.call.body.len() + 160);
        let host = addr.to_string();
        http::write_request(&mut request, w.call.method, &w.call.target, &host, &w.call.body);
        let again = (w.call.method == "GET").then(|| request.clone());
        while let Some(n) = self.idle.get_mut(&peer).and_then(Vec::pop) {
            if !self.conns.get(n).is_some_and(|c| c.state == State::Idle && !c.ended) {
                continue;
            }
            self.under_way.insert(w.call.id, UnderWay { peer: peer.clone(), request: again });
            self.send_on(n, w.call.id, request, w.deadline_ms);
            return;
        }
        let at_most = self.open.get(&peer).copied().unwrap_or(0) >= self.most(&peer);
        if at_most || self.outbound >= self.outbound_most && !self.close_spare() {
            let queued_bytes = self.queued_bytes + w.call.body.len();
            let too_large = queued_bytes > self.max_queued_bytes && self.queued_total > 0;
            if self.queued_total >= self.max_queued_calls || too_large {
                let outcome = Outcome::NotSent;
                self.events.push_back(Event::Outcome { call: w.call.id, outcome });
                return;
            }
            self.queued_total += 1;
            self.queued_bytes = queued_bytes;
            if !at_most {
                self.starved.push_back(peer.clone());
            }
            self.queued.entry(peer).or_default().push_back(w);
            return;
        }
        self.under_way.insert(w.call.id, UnderWay { peer: peer.clone(), request: again });
        self.connect(peer, w.call.id, request, w.deadline_ms);
    }

    /// Closes the outbound connection that has been spare longest, to make room for a
    /// call to another peer; false if all are in use.
    fn close_spare(&mut self) -> bool {
        let spare = self.conns.iter().filter(|(_, c)| c.state == State::Idle);
        let oldest = spare.min_by_key(|(_, c)| c.active_ms).map(|(n, _)| n);
        oldest.map(|n| self.remove(n)).is_some()
    }

    fn connect(&mut self, peer: Peer, call: CallId, request: Vec<u8>, deadline_ms: u64) {
        let now = self.now_ms();
        let stream = TcpStream::connect(self.address_of(&peer));
        let Ok(mut stream) = stream else {
            self.under_way.remove(&call);
            self.events.push_back(Event::Outcome { call, outcome: Outcome::NotSent });
            return;
        };
        let _ = stream.set_nodelay(true);
        let entry = self.conns.vacant_entry();
        let n = entry.key();
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(n + FIRST), both).is_err() {
            self.under_way.remove(&call);
            self.events.push_back(Event::Outcome { call, outcome: Outcome::NotSent });
            return;
        }
        let side = Side::Outbound { peer: peer.clone() };
        let mut conn = Conn::new(stream, side, State::Connecting(call), now);
        conn.outbuf = request;
        conn.deadline_ms = deadline_ms;
        entry.insert(conn);
        *self.open.entry(peer).or_default() += 1;
        self.outbound += 1;
    }

    fn send_on(&mut self, n: usize, call: CallId, request: Vec<u8>, deadline_ms: u64) {
        let now = self.now_ms();
        let Some(conn) = self.conns.get_mut(n) else { return };
        conn.to(State::Calling(call), now, deadline_ms);
        conn.outbuf = request;
        conn.written = 0;
        if !conn.write() {
            self.broken(n);
        }
    }

    fn take_response(&mut self, n: usize) {
        let now = self.now_ms();
        let Some(conn) = self.conns.get_mut(n) else { return };
        let State::Calling(call) = conn.state else {
            if conn.ended || !conn.inbuf.is_empty() {
                self.close(n);
            }
            return;
        };
        match http::parse_response_within(&conn.inbuf, self.max_answer_bytes) {
            Ok(None) if conn.ended => self.broken(n),
            Ok(None) => {}
            Ok(Some((response, taken))) => {
                conn.consume(taken);
                let keep = !response.close && !conn.ended && conn.inbuf.is_empty();
                conn.used = true;
                conn.to(State::Idle, now, u64::MAX);
                let peer = match &conn.side {
                    Side::Outbound { peer } => peer.clone(),
                    Side::Inbound { .. } => return,
                };
                self.under_way.remove(&call);
                let outcome = Outcome::Answer(response);
                self.events.push_back(Event::Outcome { call, outcome });
                if keep {
                    self.idle.entry(peer.clone()).or_default().push(n);
                } else {
                    self.close(n);
                }
                self.next_queued(&peer);
            }
            Err(_) => self.fail(n, Outcome::Lost),
        }
    }

    /// A connection has become free or has gone: the peer's own next call is placed,
    /// or else one that waits for room among all connections.
    fn next_queued(&mut self, peer: &Peer) {
        if self.place_queued(peer) {
            return;
        }
        if let Some(other) = self.starved.pop_front() {
            self.place_queued(&other);
        }
    }

    /// Places the next call that waits for this peer; false if none does.
    fn place_queued(&mut self, peer: &Peer) -> bool {
        let now = self.now_ms();
        while let Some(w) = self.queued.get_mut(peer).and_then(VecDeque::pop_front) {
            self.queued_total -= 1;
            self.queued_bytes -= w.call.body.len();
            if w.deadline_ms > now {
                self.place_call(w);
                return true;
            }
            let outcome = Outcome::NotSent;
            self.events.push_back(Event::Outcome { call: w.call.id, outcome });
        }
        self.queued.remove(peer);
        false
    }

    /// A connection broke. A read sent on an old connection is sent once more.
    fn broken(&mut self, n: usize) {
        let Some(conn) = self.conns.get(n) else { return };
        let (call, sent) = match conn.state {
            State::Connecting(_) => return self.fail(n, Outcome::NotSent),
            State::Calling(call) => (call, conn.used && conn.inbuf.is_empty()),
            _ => return self.close(n),
        };
        let deadline = conn.deadline_ms;
        let again = self.under_way.get_mut(&call).filter(|_| sent);
        if let Some((peer, request)) = again.and_then(|u| Some((u.peer.clone(), u.request.take()?)))
        {
            if let Some(conn) = self.conns.get_mut(n) {
                conn.state = State::Idle;
            }
            self.close(n);
            return self.connect(peer, call, request, deadline);
        }
        self.fail(n, Outcome::Lost)
    }

    /// A call has failed; its connection goes with it.
    fn fail(&mut self, n: usize, outcome: Outcome) {
        let Some(conn) = self.conns.get_mut(n) else { return };
        if let State::Connecting(call) | State::Calling(call) = conn.state {
            conn.state = State::Idle;
            self.under_way.remove(&call);
            self.events.push_back(Event::Outcome { call, outcome });
        }
        self.close(n);
    }

    fn close(&mut self, n: usize) {
        if let Some(peer) = self.remove(n) {
            self.next_queued(&peer);
        }
    }

    /// Takes a connection out of all tables; the peer, if it was outbound.
    fn remove(&mut self, n: usize) -> Option<Peer> {
        let mut conn = self.conns.try_remove(n)?;
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.side {
            Side::Inbound { .. } => {
                self.inbound -= 1;
                if let State::Deciding(id) = conn.state {
                    self.requests.remove(&id);
                }
                None
            }
            Side::Outbound { peer } => {
                self.outbound -= 1;
                if let Some(open) = self.open.get_mut(&peer) {
                    *open -= 1;
                    if *open == 0 {
                        self.open.remove(&peer);
                    }
                }
                if let Some(list) = self.idle.get_mut(&peer) {
                    list.retain(|i| *i != n);
                    if list.is_empty() {
                        self.idle.remove(&peer);
                    }
                }
                Some(peer)
            }
        }
    }

    /// Ends what has taken too long.
    fn expire(&mut self, now: u64) {
        let mut late: Vec<usize> = Vec::new();
        for (n, c) in &self.conns {
            let idle_most = match c.side {
                Side::Inbound { .. } => IDLE_MS,
                Side::Outbound { .. } => SPARE_MS,
            };
            let resting = matches!(c.state, State::Reading | State::Idle);
            let over = match c.state {
                State::Reading if c.inbuf.is_empty() && c.outbuf.is_empty() => false,
                State::Idle => false,
                _ => now >= c.deadline_ms,
            };
            if over || resting && now >= c.active_ms + idle_most {
                late.push(n);
            }
        }
        for n in late {
            match self.conns.get(n).map(|c| c.state.clone()) {
                Some(State::Connecting(_)) => self.fail(n, Outcome::NotSent),
                Some(State::Calling(_)) => self.fail(n, Outcome::Lost),
                Some(_) => self.close(n),
                None => {}
            }
        }
        let peers: Vec<Peer> = self.queued.keys().cloned().collect();
        for peer in peers {
            let Some(queue) = self.queued.get_mut(&peer) else { continue };
            let mut over = Vec::new();
            queue.retain(|w| {
                let keep = w.deadline_ms > now;
                if !keep {
                    over.push((w.call.id, w.call.body.len()));
                }
                keep
            });
            for (call, bytes) in over {
                self.queued_total -= 1;
                self.queued_bytes -= bytes;
                self.events.push_back(Event::Outcome { call, outcome: Outcome::NotSent });
            }
        }
        self.settle();
    }
}

/// Largest body of a request: of a sibling's, or of any other's.
fn max_body(mesh: bool) -> usize {
    match mesh {
        true => http::MAX_MESH_BODY,
        false => http::MAX_BODY,
    }
}

/// The class of work that a request is.
fn class_of(request: &Request, mesh: bool) -> Class {
    let path = request.target.split('?').next().unwrap_or("");
    let holds = |text: &str| memchr::memmem::find(&request.body, text.as_bytes()).is_some();
    match (request.method.as_str(), path) {
        // Of what siblings pass on, users' requests have their own place.
        ("POST", "/mesh") if mesh && holds("/checkin") => Class::Report,
        ("POST", "/mesh") if mesh && holds("/api/jobs") => match () {
            () if holds("/abort") => Class::Abort,
            () if holds("/api/jobs/") => Class::Poll,
            () => Class::Submit,
        },
        ("POST", "/mesh") if mesh => Class::Report,
        ("POST", "/checkin") => Class::Report,
        ("GET", "/ready") => Class::Health,
        ("POST", "/api/jobs") => Class::Submit,
        ("POST", path) if path.ends_with("/abort") => Class::Abort,
        ("GET", path) if path.starts_with("/api/jobs/") => Class::Poll,
        _ => Class::Other,
    }
}

#[cfg(test)]
#[path = "../tests/unit/daemon.rs"]
mod tests;
