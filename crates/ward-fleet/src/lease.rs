//! The coordinator's lease: at most one daemon at a time gives orders to
//! engines.
//!
//! The coordinator keeps a term record in the store and renews it by
//! conditional appends, which succeed only at the expected offset, so two
//! daemons cannot both extend the same history. It may give orders only for a
//! short window after the *start* of its last renewal, measured by a clock that
//! also runs during suspension. A successor waits, counted from when it first
//! saw the last record, until that window is over and another full lease has
//! passed; after a release, it waits for the lease only. During a confirmed
//! outage of the store (see [`crate::outage`]), the window counts from the last
//! probe that confirmed it, up to a maximum, and a successor's wait begins only once
//! the store answers it again. Both need the other daemons for that, the holder their
//! support and the successor their votes (see [`crate::vote`]); a successor without
//! votes waits until the maximum is over. A daemon that restarts and finds itself in
//! the last record need not wait: its earlier process is gone, and all orders come
//! from the same host. The fencing number of a term is made of the era of the store and the
//! offset of its first record, so that it rises although offsets go back when the
//! store comes back from an older copy.
//!
//! Such a store may have forgotten the term, show an earlier one as the newest, or
//! show one as released whose holder took it over again. So a record counts as
//! what it says only if it was written in the store's current era. A holder whose
//! term was forgotten writes it again if nobody can have taken over meanwhile.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ward_protocol::{DaemonId, FenceNumber, Incarnation, MonoTime, TimeSpan};

use crate::position::{StoreEra, StorePosition};

/// Percentage of the lease for which orders may be given after a renewal.
const ORDER_WINDOW_PERCENT_OF_LEASE: u64 = 35;
/// Allowance for clocks that run at different speeds, in percent of the lease.
const CLOCK_ALLOWANCE_PERCENT_OF_LEASE: u64 = 5;
/// Maximum time after a renewal for which the lease can be extended, in leases.
const MAX_EXTENSION_LEASES: u64 = 10;
/// Renewals per order window.
const RENEWALS_PER_WINDOW: u64 = 2;
/// Percentage of the order window after which a renewal is overdue.
const OVERDUE_PERCENT_OF_WINDOW: u64 = 65;
/// Timeout of a daemon's probe of the store, in percent of the order window. A
/// store that is only slow must not count as an outage.
const PROBE_TIMEOUT_PERCENT_OF_WINDOW: u64 = 33;
/// Probes of the store through other daemons per order window.
const PROBES_PER_WINDOW: u64 = 4;

/// A coordinator's term record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Daemon that holds the term.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Address on which the holder accepts connections from other daemons.
    pub peers: SocketAddr,
    /// Fencing number of the term; zero in the first record, whose position
    /// determines the number.
    pub fence: FenceNumber,
    /// Whether the holder gives up the term with this record.
    pub released: bool,
    /// Era of the store for which the record was written.
    pub era: StoreEra,
}

impl TermRecord {
    /// Whether a daemon wrote the record, in any incarnation, while it listened
    /// on the address `peers`. Only one process can listen there, so a daemon
    /// that does knows that none of its other incarnations is running.
    #[must_use]
    pub fn is_held_by(&self, daemon: &DaemonId, peers: SocketAddr) -> bool {
        self.daemon == *daemon && self.peers == peers
    }
}

/// Time spans derived from the lease of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseWindow {
    /// Time after the start of a renewal during which orders may be given.
    pub order_window: TimeSpan,
    /// Time between two renewals.
    pub renewal_interval: TimeSpan,
    /// Time that a successor waits after the last record of a holder that did
    /// not release the term.
    pub takeover_wait: TimeSpan,
    /// Time after a renewal for which the lease can be extended during an outage.
    pub max_extension: TimeSpan,
    /// Time that a successor without the voters' votes waits after that record.
    pub voteless_wait: TimeSpan,
    /// Time that a successor waits after a release.
    pub release_wait: TimeSpan,
    /// Time since the last renewal after which the next one is overdue and
    /// daemons probe the store.
    pub overdue: TimeSpan,
    /// Timeout of the call by which a daemon probes the store.
    pub probe_timeout: TimeSpan,
    /// Time between two probes.
    pub probe_interval: TimeSpan,
}

impl LeaseWindow {
    /// Derives the time spans from the lease.
    #[must_use]
    pub fn new(lease: TimeSpan) -> Self {
        let part_of_lease = |percent: u64| TimeSpan::from_millis(lease.millis() * percent / 100);
        let order_window = part_of_lease(ORDER_WINDOW_PERCENT_OF_LEASE);
        let release_wait = lease + part_of_lease(CLOCK_ALLOWANCE_PERCENT_OF_LEASE);
        let takeover_wait = order_window + release_wait;
        let max_extension = TimeSpan::from_millis(lease.millis() * MAX_EXTENSION_LEASES);
        let clock_allowance =
            TimeSpan::from_millis(max_extension.millis() * CLOCK_ALLOWANCE_PERCENT_OF_LEASE / 100);
        let part_of_window =
            |percent: u64| TimeSpan::from_millis(order_window.millis() * percent / 100);
        Self {
            order_window,
            renewal_interval: TimeSpan::from_millis(order_window.millis() / RENEWALS_PER_WINDOW),
            takeover_wait,
            max_extension,
            voteless_wait: takeover_wait + max_extension + clock_allowance,
            release_wait,
            overdue: part_of_window(OVERDUE_PERCENT_OF_WINDOW),
            probe_timeout: part_of_window(PROBE_TIMEOUT_PERCENT_OF_WINDOW),
            probe_interval: TimeSpan::from_millis(order_window.millis() / PROBES_PER_WINDOW),
        }
    }
}

/// The lease of the term that this daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorLease {
    /// Fencing number of the term, sent with each order.
    pub fence: FenceNumber,
    /// Position that the next renewal must be appended at.
    pub next: StorePosition,
    /// Start of the last successful renewal.
    pub renewal_started: MonoTime,
    /// Start of the newest probe that confirmed an outage of the store; `None`
    /// if there was none since the last renewal.
    pub outage_probed: Option<MonoTime>,
}

impl CoordinatorLease {
    /// The lease of a new term, whose first record was appended at `first` by
    /// a call that started at `started`.
    #[must_use]
    pub fn begin(first: StorePosition, started: MonoTime) -> Self {
        Self {
            fence: fence_of_term(first),
            next: next_position(first),
            renewal_started: started,
            outage_probed: None,
        }
    }

    /// Records a renewal that was appended at `position` by a call that started
    /// at `started`.
    pub fn renew(&mut self, position: StorePosition, started: MonoTime) {
        self.next = next_position(position);
        self.renewal_started = started;
        self.outage_probed = None;
    }

    /// Records that the probe started at `probe_started` confirmed an outage of
    /// the store, so no other daemon had taken over by then. A probe from
    /// before the last renewal is ignored.
    pub fn record_outage(&mut self, probe_started: MonoTime) {
        if probe_started > self.renewal_started {
            self.outage_probed = self.outage_probed.max(Some(probe_started));
        }
    }

    /// Time until the next renewal is overdue; zero if it already is.
    #[must_use]
    pub fn overdue_in(&self, window: &LeaseWindow, now: MonoTime) -> TimeSpan {
        window
            .overdue
            .saturating_sub(now.since(self.renewal_started))
    }

    /// Position of the latest record of the term.
    #[must_use]
    pub const fn newest_position(&self) -> StorePosition {
        StorePosition {
            era: self.next.era,
            offset: self.next.offset.saturating_sub(1),
        }
    }

    /// Whether the term is still held, after the store was read in the era `era`
    /// and its newest term record was `newest`; `is_own` is whether this daemon
    /// wrote that in its current incarnation.
    #[must_use]
    pub fn is_held(
        &self,
        newest: Option<&TermRecord>,
        is_own: bool,
        era: StoreEra,
        window: &LeaseWindow,
        now: MonoTime,
    ) -> bool {
        if newest.is_some_and(|term| term.era == era) {
            return is_own;
        }
        // The store has forgotten the term. A successor that it has forgotten, too,
        // must have waited since the last time at which the term was confirmed.
        now < self.confirmed_at() + window.takeover_wait
    }

    /// Whether orders may be given at `now`.
    #[must_use]
    pub fn may_order(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        let is_confirmed = now < self.confirmed_at() + window.order_window;
        is_confirmed && now < self.renewal_started + window.max_extension
    }

    /// When the last renewal started, or the last probe that confirmed an outage.
    fn confirmed_at(&self) -> MonoTime {
        self.outage_probed.unwrap_or(self.renewal_started)
    }

    /// Whether orders may be given and, since the last renewal, a confirmed
    /// outage has extended the time for them.
    #[must_use]
    pub fn is_extended(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        self.outage_probed.is_some() && self.may_order(window, now)
    }
}

/// Bits of a fencing number below those of the era, enough for all offsets of one era.
const FENCE_OFFSET_BITS: u32 = 32;

fn fence_of_term(first: StorePosition) -> FenceNumber {
    FenceNumber((first.era.0 << FENCE_OFFSET_BITS) + first.offset + 1)
}

const fn next_position(position: StorePosition) -> StorePosition {
    StorePosition {
        era: position.era,
        offset: position.offset + 1,
    }
}

/// What a follower has seen of the coordinator's term records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TermObserver {
    newest: Option<ObservedTerm>,
}

/// A term record, and when it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedTerm {
    position: StorePosition,
    first_seen: MonoTime,
    released: bool,
}

impl TermObserver {
    /// Records the latest term record that was read from the store or announced
    /// by the coordinator.
    pub fn record(&mut self, position: StorePosition, released: bool, now: MonoTime) {
        if self
            .newest
            .is_some_and(|newest| newest.position == position)
        {
            return;
        }
        self.newest = Some(ObservedTerm {
            position,
            first_seen: now,
            released,
        });
    }

    /// Records that the store did not answer, or that the coordinator gives
    /// orders without it. The wait restarts with the next record that is read,
    /// because the coordinator may extend its orders until the store is back.
    pub fn record_outage(&mut self) {
        self.newest = None;
    }

    /// Whether no term record has been seen since the last outage.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.newest.is_none()
    }

    /// Whether the wait of [`Self::take_over_in`] is over. Valid only after the
    /// store was read: if that gave no record, there has never been a holder.
    #[must_use]
    pub fn may_take_over(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        self.take_over_in(window, now) == TimeSpan::ZERO
    }

    /// Whether another daemon may have succeeded the holder of the newest record, or may
    /// `within` this time, so that the holder's address had better be read again; false if
    /// no record has been seen since the last outage.
    #[must_use]
    pub fn may_be_succeeded(&self, window: &LeaseWindow, now: MonoTime, within: TimeSpan) -> bool {
        self.newest.is_some() && self.take_over_in(window, now) <= within
    }

    /// Whether this daemon may take over without the voters' votes: even a holder that
    /// extended its lease has stopped giving orders. Valid like [`Self::may_take_over`].
    #[must_use]
    pub fn may_take_over_voteless(&self, window: &LeaseWindow, now: MonoTime) -> bool {
        let is_over = |newest: ObservedTerm| {
            newest.released || now.since(newest.first_seen) >= window.voteless_wait
        };
        self.newest.is_none_or(is_over)
    }

    /// Time until this daemon may take over, provided that no new record
    /// appears; zero if no record has been seen since the last outage.
    #[must_use]
    pub fn take_over_in(&self, window: &LeaseWindow, now: MonoTime) -> TimeSpan {
        let Some(newest) = self.newest else {
            return TimeSpan::ZERO;
        };
        let wait = if newest.released {
            window.release_wait
        } else {
            window.takeover_wait
        };
        wait.saturating_sub(now.since(newest.first_seen))
    }
}
