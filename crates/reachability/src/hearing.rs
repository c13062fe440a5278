//! The state of what is known of one machine's hearing.

/// Spans that the judgement rests on, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time between two reports.
    pub report_ms: u64,
    /// Time after which a session ends whose reports are not answered.
    pub lease_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Hears,
    /// An order was not answered: it gets no new work until it has shown that it hears.
    Doubted,
    /// Orders, or sessions in a row, were lost while it spoke: its room does not count.
    Deaf { since_ms: u64, until_ms: u64 },
}

/// Orders in a row that are lost, each after it has spoken again, for a machine to be taken
/// for deaf; and sessions in a row that end although their reports were answered.
const ORDERS: u32 = 2;
const SESSIONS: u32 = 2;
/// A pause doubles up to this power of two of its first length.
const DOUBLED_MOST: u32 = 5;
/// Leases for which a machine must have heard for its earlier deafness to be forgotten.
const FORGET: u64 = 8;

#[derive(Clone, Debug)]
pub struct Hearing {
    standing: Standing,
    /// Orders in a row without an answer, each after the machine had spoken again.
    orders: u32,
    /// It has spoken since the last order that was lost.
    spoke: bool,
    /// Sessions in a row that ended although their reports were answered.
    sessions: u32,
    /// When the present session was first heard of.
    session_ms: u64,
    /// A report of the present session was answered.
    answered: bool,
    /// How often it has been taken for deaf of late, and when that last ended.
    falls: u32,
    rose_ms: u64,
    /// When it may next be called while it is taken for deaf, and the pause after that.
    call_ms: u64,
    pause_ms: u64,
}

impl Default for Hearing {
    fn default() -> Self {
        Hearing {
            standing: Standing::Hears,
            orders: 0,
            spoke: true,
            sessions: 0,
            session_ms: 0,
            answered: false,
            falls: 0,
            rose_ms: 0,
            call_ms: 0,
            pause_ms: 0,
        }
    }
}

impl Hearing {
    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn deaf(&self) -> bool {
        matches!(self.standing, Standing::Deaf { .. })
    }

    /// May be given work that is not there yet.
    pub fn takes_work(&self) -> bool {
        self.standing == Standing::Hears
    }

    /// Worth a call: one that is taken for deaf is called after pauses that double.
    pub fn may_call(&self, now_ms: u64) -> bool {
        !self.deaf() || self.orders < ORDERS || now_ms >= self.call_ms
    }

    /// Of no use, and known to be for long enough: neither orders nor answers reach it, or no
    /// session of it outlasts its lease.
    pub fn lost(&self, now_ms: u64, limits: &Limits) -> bool {
        let Standing::Deaf { since_ms, .. } = self.standing else { return false };
        let both = self.orders >= ORDERS && self.sessions > 0;
        (both || self.sessions >= SESSIONS) && now_ms >= since_ms + limits.lease_ms
    }

    /// News came from it; `began` a session, or went on with the one that is known.
    pub fn report(&mut self, now_ms: u64, began: bool, limits: &Limits) {
        self.spoke = true;
        if began {
            self.sessions += u32::from(self.answered);
            (self.session_ms, self.answered) = (now_ms, false);
            if self.sessions >= SESSIONS {
                self.fall(now_ms, limits);
            }
        } else if self.answered && now_ms > self.session_ms + limits.lease_ms + limits.report_ms {
            // Unanswered it would have ended by now.
            self.sessions = 0;
        }
        self.rise(now_ms);
    }

    /// A report of its present session was answered.
    pub fn answered(&mut self) {
        self.answered = true;
    }

    /// It shows the token that it was last to be told.
    pub fn shows_token(&mut self) {
        if self.standing == Standing::Doubted && self.orders < ORDERS {
            self.to(Standing::Hears);
        }
    }

    /// It has answered a call.
    pub fn order_answered(&mut self, now_ms: u64) {
        self.orders = 0;
        if self.standing == Standing::Doubted {
            self.to(Standing::Hears);
        }
        self.rise(now_ms);
    }

    /// A call was not answered. One that has not spoken since the last is silent, not deaf; and
    /// a way round that is slow or lossy (`counts` is false) says nothing of the machine.
    pub fn order_lost(&mut self, now_ms: u64, counts: bool, limits: &Limits) {
        if std::mem::take(&mut self.spoke) && counts {
            self.orders += 1;
        }
        if self.deaf() {
            self.pause_ms = (2 * self.pause_ms).min(limits.report_ms << DOUBLED_MOST);
            self.call_ms = now_ms + self.pause_ms;
        } else if self.orders >= ORDERS {
            self.fall(now_ms, limits);
        } else {
            self.to(Standing::Doubted);
        }
    }

    /// It has been silent for longer than its lease: when something comes of it, that may be
    /// a report that was held back, and so it has to show first that it hears.
    pub fn silent(&mut self) {
        let (falls, rose_ms) = (self.falls, self.rose_ms);
        *self = Hearing { falls, rose_ms, standing: Standing::Doubted, ..Hearing::default() };
    }

    fn fall(&mut self, now_ms: u64, limits: &Limits) {
        if self.deaf() {
            return;
        }
        if now_ms > self.rose_ms + FORGET * limits.lease_ms {
            self.falls = 0;
        }
        let until_ms = now_ms + (limits.report_ms << self.falls.min(DOUBLED_MOST));
        self.falls += 1;
        self.pause_ms = limits.report_ms;
        self.call_ms = now_ms + self.pause_ms;
        self.to(Standing::Deaf { since_ms: now_ms, until_ms });
    }

    /// Deaf no more, once orders and answers both have been heard and the pause is over.
    fn rise(&mut self, now_ms: u64) {
        let Standing::Deaf { until_ms, .. } = self.standing else { return };
        if now_ms >= until_ms && self.orders == 0 && self.sessions == 0 {
            self.rose_ms = now_ms;
            self.to(Standing::Hears);
        }
    }

    /// The one function that changes what is thought of it.
    fn to(&mut self, standing: Standing) {
        self.standing = standing;
    }
}
