//! Which format the records have, and how a new one comes in while an older version
//! still serves.
//!
//! A controller of this version leaves a lasting key that says what it can do; one of the
//! first version never touches it. Once every controller named in the settings has left
//! one, the leader sets `format`, guarded by its view and by there being none yet. That
//! is the latch: it is never taken back. Until it is known to stand, everything is
//! written and said as the first version does it.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{Change, Guard, Pair, PairList, Transaction};
use quartzgate_wire::settings::StateLimits;
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, Pending};
use crate::records::{decode, encode, FormatRecord, FORMAT, FORMAT_NODES, FORMAT_VERSION, VIEW};
use crate::Outcome;

/// What is known of the format that stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Latch {
    /// Not read yet.
    #[default]
    Unknown,
    /// The last read showed none: the first format stands, as far as is known.
    Open,
    /// Format 2 stands, for ever.
    Latched,
    /// A later version has set a format that this one does not know.
    Foreign,
}

#[derive(Default)]
pub(crate) struct Format {
    pub latch: Latch,
    /// Newest format that each controller can do, as last read.
    pub nodes: BTreeMap<String, u32>,
    asking: bool,
    due_ms: u64,
}

fn node_key(node: &str) -> String {
    format!("{FORMAT_NODES}{node}")
}

impl Controller {
    /// Format 2 is known to stand.
    pub(crate) fn latched(&self) -> bool {
        self.format.latch == Latch::Latched
    }

    /// A later version's records are nothing to meddle with.
    pub(crate) fn foreign_format(&self) -> bool {
        self.format.latch == Latch::Foreign
    }

    /// Limits of the state service to keep to: from the latch on, those to come as well,
    /// since they change without notice.
    pub(crate) fn limits(&self) -> &StateLimits {
        match self.latched() {
            true => &self.cfg.lowest,
            false => &self.cfg.platform.params.state,
        }
    }

    /// Largest value that may be written, as `checked_size` counts.
    pub(crate) fn value_most(&self) -> usize {
        (self.limits().value_kb * 1024.0) as usize
    }

    /// The one function that changes what is known of the format.
    fn latch_to(&mut self, latch: Latch) {
        let old = self.format.latch;
        // What stands stands for ever; a read that is older shows less.
        if old == latch || matches!(old, Latch::Latched | Latch::Foreign) {
            return;
        }
        self.format.latch = latch;
        match latch {
            Latch::Latched => {
                tracing::info!(format = FORMAT_VERSION, "format latched: all controllers are new");
                self.fit_budgets();
            }
            Latch::Open => tracing::info!("format not latched: older controllers may serve"),
            Latch::Foreign => {
                tracing::error!("the records have a later format than this version knows; it neither leads nor serves")
            }
            Latch::Unknown => {}
        }
    }

    /// Reads how things stand until the format is latched; leaves our own key, and
    /// latches when its time has come.
    pub(crate) fn tick_format(&mut self) {
        let now = self.now.steady_ms;
        let settled = matches!(self.format.latch, Latch::Latched | Latch::Foreign);
        if settled || self.format.asking || now < self.format.due_ms {
            return;
        }
        self.format.asking = true;
        self.format.due_ms = now + self.cfg.renew_every_ms();
        let target = format!("/keys?starts={FORMAT}");
        self.state_call("GET", target, Vec::new(), Pending::FormatRead);
    }

    pub(crate) fn on_format_read(&mut self, outcome: Outcome) {
        self.format.asking = false;
        let Outcome::Answer(r) = outcome else { return };
        if r.status != 200 {
            return;
        }
        let Ok(list) = from_cbor::<PairList>(&r.body) else { return };
        self.state_answered();
        self.see_format(&list.pairs);
        self.leave_key();
        self.latch_if_due(&list.pairs);
    }

    /// Takes in the keys of the format.
    pub(crate) fn see_format(&mut self, pairs: &[Pair]) {
        let mut stands = 1;
        for pair in pairs {
            let Some(record) = decode::<FormatRecord>(&pair.value) else {
                if pair.path == FORMAT {
                    // Not ours to guess at.
                    stands = u32::MAX;
                }
                continue;
            };
            if pair.path == FORMAT {
                stands = record.version;
            } else if let Some(node) = pair.path.strip_prefix(FORMAT_NODES) {
                self.format.nodes.insert(node.to_string(), record.version);
            }
        }
        self.latch_to(match stands {
            0 | 1 => Latch::Open,
            FORMAT_VERSION => Latch::Latched,
            _ => Latch::Foreign,
        });
    }

    /// Says for good that this controller can do format 2.
    fn leave_key(&mut self) {
        let node = self.cfg.platform.node.clone();
        let stands = self.format.nodes.get(&node).is_some_and(|v| *v >= FORMAT_VERSION);
        if stands || self.foreign_format() || !self.cfg.operator.new_format {
            return;
        }
        let now = self.now.steady_ms;
        let value = encode(&FormatRecord { version: FORMAT_VERSION });
        let set = Change::Set { set: node_key(&node), value, permit: None };
        self.store.writes.force(now, 1.0);
        let body = to_cbor(&Transaction { guards: Vec::new(), apply: vec![set] });
        // Looked for by the next read; written again if it is not there.
        self.state_call("POST", "/multi".into(), body, Pending::MemberKey);
    }

    fn latch_if_due(&mut self, pairs: &[Pair]) {
        if self.format.latch != Latch::Open || !self.leads() {
            return;
        }
        let platform = &self.cfg.platform;
        let mut all: Vec<&String> = platform.siblings.iter().map(|s| &s.node).collect();
        all.push(&platform.node);
        let can = |node: &String| {
            let key = node_key(node);
            let pair = pairs.iter().find(|p| p.path == key);
            let record = pair.and_then(|p| decode::<FormatRecord>(&p.value));
            record.is_some_and(|r| r.version >= FORMAT_VERSION)
        };
        if !all.into_iter().all(can) {
            return;
        }
        let epoch = self.epoch();
        let now = self.now.steady_ms;
        let value = encode(&FormatRecord { version: FORMAT_VERSION });
        let guards = vec![
            Guard { path: FORMAT.into(), stamp: 0 },
            Guard { path: VIEW.into(), stamp: self.member.view_stamp },
        ];
        let apply = vec![Change::Set { set: FORMAT.into(), value, permit: None }];
        self.store.writes.force(now, 1.0);
        let body = to_cbor(&Transaction { guards, apply });
        self.state_call("POST", "/multi".into(), body, Pending::Latch { epoch });
    }

    /// Whatever else came of it shows in the next read.
    pub(crate) fn on_latch(&mut self, outcome: Outcome) {
        self.format.due_ms = 0;
        if matches!(outcome, Outcome::Answer(r) if r.status == 200) {
            self.state_answered();
            self.latch_to(Latch::Latched);
        }
    }
}
