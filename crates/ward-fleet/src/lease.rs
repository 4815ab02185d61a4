//! Who gives orders to engines: at most one daemon at a time.
//!
//! The coordinator keeps a term record in the store and renews it by appends
//! that succeed only at the offset that it expects, so two daemons cannot both
//! extend the same history. It may give orders only for a short window after
//! the *start* of its last renewal, on a clock that counts suspension. A
//! successor waits, from when it first saw the last record, until that window
//! must be over and a further lease has passed. While the store is away for
//! everyone (see [`crate::outage`]), the window counts from when that was found;
//! so a successor's wait begins only once the store answers it. A daemon that starts again and
//! finds itself in the last record need not wait: its earlier process is gone,
//! and all orders come from the same host. The offset of the record that began a
//! term, plus one, is its fencing number.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ward_protocol::{DaemonId, FenceNumber, Incarnation, MonoTime, TimeSpan};

/// Part of the lease for which orders follow a renewal, in percent.
const ORDER_WINDOW_PERCENT: u64 = 35;
/// Allowance for clocks of different speed, in percent of the lease.
const CLOCK_ALLOWANCE_PERCENT: u64 = 5;
/// Renewals per order window.
const RENEWALS_PER_WINDOW: u64 = 2;
/// Part of the order window after which a renewal is overdue, in percent.
const OVERDUE_PERCENT: u64 = 65;
/// Part of the order window for which a call to the store is given time when
/// daemons are asked whether it answers, in percent. A slow store is not away.
const PROBE_PERCENT: u64 = 33;
/// Questions to daemons per order window.
const PROBES_PER_WINDOW: u64 = 4;

/// The record of a term in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Who holds the term.
    pub daemon: DaemonId,
    /// Which life of that daemon.
    pub incarnation: Incarnation,
    /// Where it listens for other daemons.
    pub peers: SocketAddr,
    /// The term's fencing number; zero in the record that begins the term.
    pub fence: FenceNumber,
    /// Whether the holder gives up the term.
    pub released: bool,
}

impl TermRecord {
    /// Whether the holder is a daemon, in whichever life. Only one process can
    /// listen on the address, so whoever does knows that no other life goes on.
    #[must_use]
    pub fn is_held_by(&self, daemon: &DaemonId, peers: SocketAddr) -> bool {
        self.daemon == *daemon && self.peers == peers
    }
}

/// Spans that follow from the lease of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseWindow {
    /// How long orders may follow the start of a renewal.
    pub order_window: TimeSpan,
    /// Time between renewals.
    pub renewal_interval: TimeSpan,
    /// How long a successor waits after the last record of a holder.
    pub takeover_wait: TimeSpan,
    /// How long a successor waits after a release.
    pub release_wait: TimeSpan,
    /// Time since a renewal after which the next one is overdue.
    pub overdue: TimeSpan,
    /// Time within which the store answers a daemon that was asked about it.
    pub probe_timeout: TimeSpan,
    /// Time between questions to daemons.
    pub probe_interval: TimeSpan,
}

impl LeaseWindow {
    /// The spans for a lease.
    #[must_use]
    pub fn new(lease: TimeSpan) -> Self {
        let part = |percent: u64| TimeSpan::from_millis(lease.millis() * percent / 100);
        let order_window = part(ORDER_WINDOW_PERCENT);
        let release_wait = lease + part(CLOCK_ALLOWANCE_PERCENT);
        let of_orders = |percent: u64| TimeSpan::from_millis(order_window.millis() * percent / 100);
        Self {
            order_window,
            renewal_interval: TimeSpan::from_millis(order_window.millis() / RENEWALS_PER_WINDOW),
            takeover_wait: order_window + release_wait,
            release_wait,
            overdue: of_orders(OVERDUE_PERCENT),
            probe_timeout: of_orders(PROBE_PERCENT),
            probe_interval: TimeSpan::from_millis(order_window.millis() / PROBES_PER_WINDOW),
        }
    }
}

/// A term that this daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorLease {
    /// Fencing number of the term.
    pub fence: FenceNumber,
    /// Offset at which the next renewal must land.
    pub next_offset: u64,
    /// Start of the last renewal that succeeded.
    pub renewal_started: MonoTime,
    /// As of when the store was away for everyone, if that was found since the
    /// last renewal.
    pub outage_probed: Option<MonoTime>,
}

impl CoordinatorLease {
    /// The lease after the append that began a term landed at an offset.
    #[must_use]
    pub fn begin(offset: u64, started: MonoTime) -> Self {
        Self {
            fence: FenceNumber(offset + 1),
            next_offset: offset + 1,
            renewal_started: started,
            outage_probed: None,
        }
    }

    /// Notes a renewal that landed at an offset.
    pub fn renew(&mut self, offset: u64, started: MonoTime) {
        self.next_offset = offset + 1;
        self.renewal_started = started;
        self.outage_probed = None;
    }

    /// Notes that the store was away for everyone: nobody had taken over then.
    pub fn record_outage(&mut self, asked: MonoTime) {
        if asked > self.renewal_started {
            self.outage_probed = self.outage_probed.max(Some(asked));
        }
    }

    /// Time until the next renewal is overdue.
    #[must_use]
    pub fn overdue_in(&self, window: &LeaseWindow, now: MonoTime) -> TimeSpan {
        window
            .overdue
            .saturating_sub(now.since(self.renewal_started))
    }

    /// Offset of the newest record of the term.
    #[must_use]
    pub const fn newest_offset(&self) -> u64 {
        self.next_offset.saturating_sub(1)
    }

    /// Whether orders may be given now.
    #[must_use]
    pub fn may_order(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        now < self.outage_probed.unwrap_or(self.renewal_started) + window.order_window
    }

    /// Whether orders may be given though the store does not renew the lease.
    #[must_use]
    pub fn is_extended(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        self.outage_probed.is_some() && self.may_order(window, now)
    }
}

/// What a daemon that is not the coordinator has seen of terms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TermObserver {
    seen: Option<SeenTerm>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SeenTerm {
    offset: u64,
    first_seen: MonoTime,
    released: bool,
}

impl TermObserver {
    /// Notes the newest record of a term.
    pub fn record(&mut self, offset: u64, released: bool, now: MonoTime) {
        if self.seen.is_some_and(|seen| seen.offset == offset) {
            return;
        }
        self.seen = Some(SeenTerm {
            offset,
            first_seen: now,
            released,
        });
    }

    /// Notes that the store did not answer, or that the coordinator gives orders
    /// without it: the wait begins anew with the next record that is read, since
    /// the coordinator's orders may last until the store is back.
    pub fn record_outage(&mut self) {
        self.seen = None;
    }

    /// Offset of the newest record noted.
    #[must_use]
    pub fn offset(&self) -> Option<u64> {
        self.seen.map(|seen| seen.offset)
    }

    /// Whether the last holder can no longer give orders, for a lease's length.
    /// Without any record there never was one.
    #[must_use]
    pub fn may_take_over(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        self.take_over_in(window, now) == TimeSpan::ZERO
    }

    /// Time until that is so, if no other record comes.
    #[must_use]
    pub fn take_over_in(&self, window: &LeaseWindow, now: MonoTime) -> TimeSpan {
        let Some(seen) = self.seen else {
            return TimeSpan::ZERO;
        };
        let wait = if seen.released {
            window.release_wait
        } else {
            window.takeover_wait
        };
        wait.saturating_sub(now.since(seen.first_seen))
    }
}
