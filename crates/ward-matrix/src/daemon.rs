//! State of one simulated daemon: its control core, clock and pending work.

use ward_control::{ControlAction, ControlCore, ControlEvent};
use ward_protocol::{LogOffset, MemberInfo, MonoTime, PlanRevision, ReplicaKey, WallTime};

/// Wall time in milliseconds at which every session begins: 2026-03-02 07:00 UTC.
const SESSION_START: u64 = 1_772_434_800_000;
/// Rate of a clock that keeps true time, in parts per million.
const NOMINAL_RATE: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// A daemon's clocks as functions of true (simulated) time in microseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DaemonClock {
    offset: u64,
    /// Speed in parts per million of true time.
    rate: u64,
    rate_changed_at: u64,
}

impl DaemonClock {
    pub(crate) const fn new(offset: u64) -> Self {
        Self {
            offset,
            rate: NOMINAL_RATE,
            rate_changed_at: 0,
        }
    }

    /// Value of the monotonic clock at a true time.
    pub(crate) const fn mono(&self, now: u64) -> MonoTime {
        MonoTime(self.offset + (now - self.rate_changed_at) * self.rate / NOMINAL_RATE)
    }

    /// Value of the wall clock at a true time.
    pub(crate) const fn wall(&self, now: u64) -> WallTime {
        WallTime(SESSION_START + now * self.rate / NOMINAL_RATE / MICROS_PER_MILLI)
    }

    /// Changes the speed at `now`; the monotonic clock continues without a jump.
    pub(crate) fn set_rate(&mut self, now: u64, rate: u64) {
        self.offset = self.mono(now).0;
        self.rate_changed_at = now;
        self.rate = rate;
    }
}

/// A daemon; `core` is `None` while the daemon is not running.
#[derive(Debug)]
pub(crate) struct DaemonSlot {
    pub(crate) member: MemberInfo,
    pub(crate) core: Option<ControlCore>,
    pub(crate) incarnation: u64,
    pub(crate) clock: DaemonClock,
    pub(crate) frozen: bool,
    pub(crate) stopping: bool,
    /// Events that arrived while the daemon was frozen.
    pub(crate) deferred: Vec<ControlEvent>,
    /// Actions that were decided but not yet carried out when the daemon froze.
    pub(crate) pending_actions: Vec<ControlAction>,
    pub(crate) last_adopted: PlanRevision,
    /// Newest offset at which the daemon's state was compared with the reference state.
    pub(crate) last_checked: LogOffset,
}

impl DaemonSlot {
    pub(crate) fn new(member: MemberInfo, offset: u64) -> Self {
        Self {
            member,
            core: None,
            incarnation: 0,
            clock: DaemonClock::new(offset),
            frozen: false,
            stopping: false,
            deferred: Vec::new(),
            pending_actions: Vec::new(),
            last_adopted: PlanRevision::default(),
            last_checked: LogOffset::ZERO,
        }
    }

    /// Keeps an event until the daemon is unfrozen; at most one tick is kept.
    pub(crate) fn defer(&mut self, event: ControlEvent) {
        if event == ControlEvent::Tick && self.deferred.contains(&event) {
            return;
        }
        self.deferred.push(event);
    }

    /// Whether the daemon knows a ready replica of a key; true while the daemon is not running.
    pub(crate) fn routes_to(&self, key: &ReplicaKey) -> bool {
        let Some(core) = &self.core else {
            return true;
        };
        let state = core.state();
        state
            .reservations_of(key)
            .iter()
            .any(|id| state.reservations()[id].is_serving())
    }
}
