//! Votes on who holds the term while its lease cannot be renewed.
//!
//! Failure pattern: the store turns some daemons away and serves others, and links
//! between daemons are cut at the same time. The coordinator and all daemons that it
//! hears may be without the store, while a daemon that none of them hears, or even
//! knows, reads a term record that nobody renews. Neither side can tell this from an
//! outage for everyone, or from the death of the other side. So both need the other
//! daemons, the voters, whose addresses the holder keeps in the store: without the
//! store, a holder goes on only with the support of more than half of them, and a
//! successor begins only with the votes of at least half of them. A voter that has
//! supported the holder grants no vote until that support has expired, and one that
//! has granted a vote supports the holder only after a further renewal.
//!
//! Since all but one of the daemons may be lost for good, a successor without these
//! votes may still begin, after the longest time for which a holder may go on without
//! a renewal.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use ward_protocol::{DaemonId, FenceNumber, MonoTime, TimeSpan};

use crate::lease::LeaseWindow;
use crate::message::HostMember;
use crate::position::StorePosition;

/// Addresses on which the voters of a term, all its daemons but the holder, accept
/// connections from other daemons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet(pub IndexSet<SocketAddr>);

impl VoterSet {
    /// Whether the holder may extend its lease with the support of these daemons; never
    /// without any voter.
    #[must_use]
    pub fn may_extend(&self, supporters: &IndexSet<SocketAddr>) -> bool {
        2 * self.count(supporters) > self.0.len()
    }

    /// Whether a daemon with the votes of these daemons may succeed the holder; always if
    /// there are no voters.
    #[must_use]
    pub fn may_succeed(&self, granted: &IndexSet<SocketAddr>) -> bool {
        2 * self.count(granted) >= self.0.len()
    }

    /// Whether [`Self::may_succeed`] could still become true if none of these daemons
    /// grants its vote.
    #[must_use]
    pub fn may_succeed_without(&self, others: &IndexSet<SocketAddr>) -> bool {
        2 * self.count(others) <= self.0.len()
    }

    fn count(&self, daemons: &IndexSet<SocketAddr>) -> usize {
        let voters = self.0.iter();
        voters.filter(|voter| daemons.contains(*voter)).count()
    }
}

/// The daemons that the holder of a term has seen, to be its voters. One that is silent
/// stays a voter for a while, since it may be cut off rather than stopped.
#[derive(Debug, Clone, Default)]
pub struct VoterRoll {
    seen: IndexMap<DaemonId, SeenVoter>,
}

/// A daemon that has been seen, and when it last was.
#[derive(Debug, Clone, Copy)]
struct SeenVoter {
    address: SocketAddr,
    at: MonoTime,
}

impl VoterRoll {
    /// Records the daemons that are connected at `now`; forgets those that were not for
    /// longer than a successor without votes has to wait.
    pub fn record(&mut self, connected: &[HostMember], window: &LeaseWindow, now: MonoTime) {
        for member in connected {
            let voter = SeenVoter {
                address: member.peers,
                at: now,
            };
            self.seen.insert(member.daemon.clone(), voter);
        }
        self.seen
            .retain(|_, voter| now.since(voter.at) < window.voteless_wait);
    }

    /// Removes a daemon that is shutting down.
    pub fn remove(&mut self, daemon: &DaemonId) {
        self.seen.shift_remove(daemon);
    }

    /// The voters of a term that `holder` holds.
    #[must_use]
    pub fn voters(&self, holder: &DaemonId) -> VoterSet {
        let others = self.seen.iter().filter(|(daemon, _)| *daemon != holder);
        let mut addresses: IndexSet<SocketAddr> = others.map(|(_, voter)| voter.address).collect();
        // In one order, so that an unchanged set is not written again.
        addresses.sort_unstable();
        VoterSet(addresses)
    }
}

/// The voters of this daemon's term, as the store may show them to others: a write whose
/// answer was lost may have taken effect.
#[derive(Debug, Clone, Default)]
pub struct TermQuorum {
    stored: Option<VoterSet>,
    pending: Option<VoterSet>,
}

impl TermQuorum {
    /// Begins to write the voters; returns those to write, which differ from `current`
    /// while the outcome of an earlier write is unknown.
    pub fn begin_write(&mut self, current: VoterSet) -> VoterSet {
        if self.pending.is_none() && self.stored.as_ref() != Some(&current) {
            self.pending = Some(current);
        }
        let written = self.pending.as_ref().or(self.stored.as_ref());
        written.cloned().unwrap_or_default()
    }

    /// Records that the store has acknowledged the write; returns whether that changed the
    /// voters.
    pub fn record_stored(&mut self) -> bool {
        let pending = self.pending.take();
        let has_changed = pending.is_some();
        self.stored = pending.or(self.stored.take());
        has_changed
    }

    /// Whether a daemon with this address is among the voters that the store has
    /// acknowledged.
    #[must_use]
    pub fn is_stored(&self, address: SocketAddr) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|voters| voters.0.contains(&address))
    }

    /// Records that the store came back from an older copy.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Whether the lease may be extended with the support of these daemons, whichever
    /// set the store shows; never before one was stored.
    #[must_use]
    pub fn may_extend(&self, supporters: &IndexSet<SocketAddr>) -> bool {
        let sets = self.stored.iter().chain(&self.pending);
        self.stored.is_some() && sets.into_iter().all(|set| set.may_extend(supporters))
    }
}

/// Number of renewals after which a daemon that has not read the store knows that its
/// former process cannot have seen the newest one: the holder announces a renewal whose
/// answer was lost late, and only one at a time.
const MIN_HEARD_RENEWALS: u32 = 2;

/// What a daemon has promised as a voter. Kept in memory only, so a daemon that has just
/// started assumes that its former process has promised the opposite.
#[derive(Debug, Clone)]
pub struct TermVoter {
    started: MonoTime,
    /// First position of which the former process cannot have seen the record; `None`
    /// while unknown.
    first_new: Option<StorePosition>,
    /// Renewals heard of while `first_new` is unknown.
    heard_renewals: u32,
    term: Option<FollowedTerm>,
    /// When this daemon last supported a holder.
    supported: Option<MonoTime>,
    /// Newest term record whose holder this daemon has voted to succeed.
    granted: Option<StorePosition>,
}

/// The term that a daemon follows, and its newest record.
#[derive(Debug, Clone, Copy)]
struct FollowedTerm {
    fence: FenceNumber,
    newest: StorePosition,
}

impl TermVoter {
    /// A voter whose process started at `started`.
    #[must_use]
    pub const fn new(started: MonoTime) -> Self {
        Self {
            started,
            first_new: None,
            heard_renewals: 0,
            term: None,
            supported: None,
            granted: None,
        }
    }

    /// Records that the log of terms ended at `end` when this daemon read it.
    pub fn record_log_end(&mut self, end: StorePosition) {
        self.first_new.get_or_insert(end);
    }

    /// Records the newest record of the term that this daemon follows, as its holder
    /// announced it.
    pub fn record_renewal(&mut self, fence: FenceNumber, position: StorePosition) {
        let former = self.term.filter(|term| term.fence == fence);
        if former.is_some_and(|term| term.newest >= position) {
            return;
        }
        if former.is_some() && self.first_new.is_none() {
            self.heard_renewals += 1;
            let are_enough = self.heard_renewals >= MIN_HEARD_RENEWALS;
            self.first_new = are_enough.then_some(position);
        }
        self.term = Some(FollowedTerm {
            fence,
            newest: position,
        });
    }

    /// Supports the holder of a term, unless this daemon, or its former process, may have
    /// voted to succeed it since its newest renewal; returns whether it does.
    pub fn support(&mut self, fence: FenceNumber, now: MonoTime) -> bool {
        let term = self.term.filter(|term| term.fence == fence);
        let is_free = term.is_some_and(|term| {
            let is_new = self.first_new.is_some_and(|first| term.newest >= first);
            is_new && self.granted.is_none_or(|granted| granted < term.newest)
        });
        if is_free {
            self.supported = Some(now);
        }
        is_free
    }

    /// Grants a vote to succeed the holder whose newest term record is at `position`,
    /// unless this daemon has heard of a later one, or it, or its former process, may have
    /// supported a holder whose orders are not over; returns whether it does.
    pub fn grant(&mut self, position: StorePosition, window: &LeaseWindow, now: MonoTime) -> bool {
        let free_since = self.supported.unwrap_or(self.started);
        let is_renewed = self.term.is_some_and(|term| term.newest > position);
        if is_renewed || now.since(free_since) < window.takeover_wait {
            return false;
        }
        self.granted = self.granted.max(Some(position));
        true
    }

    /// Time since this daemon last supported a holder; `None` if it never has.
    #[must_use]
    pub fn supported_ago(&self, now: MonoTime) -> Option<TimeSpan> {
        self.supported.map(|time| now.since(time))
    }
}
