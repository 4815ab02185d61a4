//! What became of the requests of each kind.

use std::fmt::Write;

use indexmap::IndexMap;
use ward_fleet::number::usize_to_f64;
use ward_protocol::MonoTime;

use super::demand::{OverloadKind, QueuedCall};

/// Number of requests by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindShare {
    /// Requests.
    pub asked: usize,
    /// Answers that began on time.
    pub on_time: usize,
    /// Answers that began late.
    pub late: usize,
    /// Refused for good.
    pub refused: usize,
    /// Neither answered nor refused before their callers left.
    pub lost: usize,
    /// Refusals of requests that had come back when they were told to.
    pub refused_again: usize,
}

impl KindShare {
    /// Part of the requests whose answers began on time.
    #[must_use]
    pub fn on_time_part(&self) -> f64 {
        usize_to_f64(self.on_time) / usize_to_f64(self.asked.max(1))
    }

    /// Part of the requests that were answered.
    #[must_use]
    pub fn served_part(&self) -> f64 {
        usize_to_f64(self.on_time + self.late) / usize_to_f64(self.asked.max(1))
    }
}

/// Outcome by kind, and of the largest tenth of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OverloadOutcome {
    /// All requests of a kind.
    pub kinds: IndexMap<OverloadKind, KindShare>,
    /// The largest tenth of a kind.
    pub largest: IndexMap<OverloadKind, KindShare>,
}

impl OverloadOutcome {
    /// Outcome of the requests of a kind.
    #[must_use]
    pub fn of(&self, kind: OverloadKind) -> KindShare {
        self.kinds.get(&kind).copied().unwrap_or_default()
    }

    /// Part of all requests that were answered.
    #[must_use]
    pub fn served_part(&self) -> f64 {
        let mut all = KindShare::default();
        for share in self.kinds.values() {
            all.asked += share.asked;
            all.on_time += share.on_time;
            all.late += share.late;
        }
        all.served_part()
    }

    pub(super) fn update(&mut self, call: &QueuedCall, update: impl Fn(&mut KindShare)) {
        update(self.kinds.entry(call.kind).or_default());
        if call.is_largest {
            update(self.largest.entry(call.kind).or_default());
        }
    }

    pub(super) fn record_start(&mut self, call: &QueuedCall, now: MonoTime) {
        let is_late = now + call.first_part > call.sent_at + call.kind.target();
        self.update(call, |share| {
            if is_late {
                share.late += 1;
            } else {
                share.on_time += 1;
            }
        });
    }
}

/// Rows of a table: one for each kind.
#[must_use]
pub fn overload_table(load: f64, order: &str, outcome: &OverloadOutcome) -> String {
    let mut text = String::new();
    for kind in OverloadKind::ALL {
        let share = outcome.of(kind);
        let largest = outcome.largest.get(&kind).copied().unwrap_or_default();
        // Writing into a string does not fail.
        let _ = writeln!(
            text,
            "| {load} | {order} | {kind:?} | {} | {} | {} | {} | {} | {} | {:.3} | {:.3} | {:.3} |",
            share.asked,
            share.on_time,
            share.late,
            share.refused,
            share.lost,
            share.refused_again,
            share.on_time_part(),
            share.served_part(),
            largest.served_part(),
        );
    }
    text
}
