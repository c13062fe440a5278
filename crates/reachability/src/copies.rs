//! Which reports are news, and which are copies that come late.

/// What a report is beside those that came before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Newer than anything known of the machine.
    News,
    /// Overtaken by the answer to a call of ours: it says nothing, but its sender may still
    /// wait for an answer.
    Overtaken,
    /// No newer than a report that has come before: a copy, or held back for so long that
    /// nobody waits for an answer. It says nothing, and answering it would renew nothing.
    Copy,
}

/// Where a machine's messages stand, by session (`tenure`) and number within it (`tally`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    newest: (u64, u64),
    /// The newest that came as a report, not as the answer to a call.
    reported: (u64, u64),
}

impl Copies {
    /// Takes in a report that came by itself.
    pub fn report(&mut self, tenure: u64, tally: u64) -> Age {
        let at = (tenure, tally);
        if at <= self.reported || tenure < self.newest.0 {
            return Age::Copy;
        }
        self.reported = at;
        if at <= self.newest {
            return Age::Overtaken;
        }
        self.newest = at;
        Age::News
    }

    /// Takes in a machine's answer to a call, or what others say that it reported: whether it
    /// is news.
    pub fn told(&mut self, tenure: u64, tally: u64) -> bool {
        let news = (tenure, tally) > self.newest;
        if news {
            self.newest = (tenure, tally);
        }
        news
    }

    pub fn tenure(&self) -> u64 {
        self.newest.0
    }
}
