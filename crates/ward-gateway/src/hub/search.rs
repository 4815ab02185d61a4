//! The search for a coordinator, and takeover of the term when there is none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::warn;
use ward_adapter::StoreTopic;
use ward_fleet::{FleetRecord, LeaseWindow, TermObserver, VoterSet};
use ward_protocol::{MonoTime, TimeSpan, WallTime};

use super::vote::win_votes;
use crate::clock;
use crate::coordinator::{StoredTerm, newest_term, stored_fleet, take_over};
use crate::crash::record_news;
use crate::gateway::Gateway;

/// Time between searches for a coordinator on a host that is not among the largest;
/// each search reads the store.
const SMALL_HOST_POLL_INTERVAL: Duration = Duration::from_millis(1_600);
/// Minimum time between searches for a coordinator on a large host.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time between these searches. After the loss of a connection that lasted
/// longer and delivered views, a host of any size searches at once.
pub(super) const MAX_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Additional delay before a host that is not among the largest takes over.
const SMALL_HOST_DELAY: TimeSpan = TimeSpan::from_millis(2_000);
/// A host counts as large if it has at least this fraction of the size of the
/// largest one.
const LARGE_HOST_NUMERATOR: u64 = 3;
const LARGE_HOST_DENOMINATOR: u64 = 4;
/// Assumed size of the largest host while no daemons are known.
const DEFAULT_LARGEST_SIZE: u64 = 250;
/// Upper bound of the random delay that keeps hosts of one size from taking over at
/// the same moment.
const MAX_JITTER_MILLIS: u64 = 150;
/// Additional takeover delay of a daemon that a rolling restart has yet to reach.
const PENDING_RESTART_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Difference up to which two start times count as simultaneous.
const SIMULTANEOUS_START_MILLIS: u64 = 1_000;

/// What a search for a coordinator found.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SearchOutcome {
    /// Address of the coordinator; `None` if none is known.
    pub(super) coordinator: Option<SocketAddr>,
    /// Whether this daemon could take over but for the votes of others.
    pub(super) has_lost_vote: bool,
}

impl SearchOutcome {
    const fn found(coordinator: Option<SocketAddr>) -> Self {
        Self {
            coordinator,
            has_lost_vote: false,
        }
    }
}

/// Time until the next search for a coordinator; a large host searches when it may
/// take over.
pub(super) fn poll_interval(
    gateway: &Gateway,
    observer: &TermObserver,
    has_lost_vote: bool,
) -> Duration {
    if !is_large_host(gateway) {
        return SMALL_HOST_POLL_INTERVAL;
    }
    if observer.is_empty() || has_lost_vote {
        return MAX_POLL_INTERVAL;
    }
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let delay = observer.take_over_in(&window, clock::now());
    delay.duration().clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

/// Whether this host is among the largest known ones, which are preferred as
/// coordinators: the coordinator's network link carries the views to all daemons.
fn is_large_host(gateway: &Gateway) -> bool {
    let members = gateway.members.borrow();
    let largest = members.iter().map(|member| member.capacity.size()).max();
    let own = gateway.settings().capacity.size();
    own * LARGE_HOST_DENOMINATOR >= largest.unwrap_or(DEFAULT_LARGEST_SIZE) * LARGE_HOST_NUMERATOR
}

/// Delay before this daemon may take over. Larger hosts take over first; a random
/// part separates hosts of the same size.
fn takeover_delay(gateway: &Gateway) -> TimeSpan {
    let size_delay = if is_large_host(gateway) {
        TimeSpan::ZERO
    } else {
        SMALL_HOST_DELAY
    };
    size_delay + TimeSpan::from_millis(rand::random_range(0..MAX_JITTER_MILLIS))
}

/// Additional delay before taking over a released term. In a rolling restart,
/// daemons that have already been restarted take over first, since they are likely
/// to stay up.
fn pending_restart_delay(gateway: &Gateway, stored: &StoredTerm) -> TimeSpan {
    let Some(term) = stored.current() else {
        return TimeSpan::ZERO;
    };
    let has_restarted = gateway.incarnation.0 > term.incarnation.0 + SIMULTANEOUS_START_MILLIS;
    if term.released && !has_restarted {
        PENDING_RESTART_DELAY
    } else {
        TimeSpan::ZERO
    }
}

/// Finds the coordinator's address in the store. Takes over the term if its holder has
/// let it lapse or released it, or was an earlier incarnation of this daemon. While the
/// store is unavailable, returns the last known address.
pub(super) async fn find_or_become_coordinator(
    gateway: &Rc<Gateway>,
    observer: &mut TermObserver,
    started: MonoTime,
) -> SearchOutcome {
    let snapshot = match gateway.store.newest(StoreTopic::Coordinator).await {
        Ok(snapshot) => snapshot,
        Err(cause) => {
            observer.record_outage();
            warn!(gateway.logger, "coordinator: term record cannot be read"; "cause" => %cause);
            return SearchOutcome::found(gateway.coordinator_address.get());
        }
    };
    gateway.term_voter.borrow_mut().record_log_end(snapshot.end);
    let fleet = stored_fleet(&snapshot, &gateway.logger);
    let mut voters = VoterSet::default();
    if let Some(fleet) = fleet {
        voters = fleet.voters.clone();
        apply_fleet_record(gateway, fleet);
    }
    gateway.streams.complete_history();
    let stored = newest_term(&snapshot, &gateway.logger);
    let now = clock::now();
    if let Some(stored) = &stored {
        observer.record(stored.position, stored.is_released(), now);
    }
    let is_candidate = !gateway.is_stopping() && !gateway.coordinator.is_active();
    let settings = gateway.settings();
    let holds_term = stored
        .as_ref()
        .and_then(StoredTerm::current)
        .is_some_and(|term| term.is_held_by(&settings.daemon, settings.peers));
    let must_ask = is_candidate && !holds_term;
    let may_ask = must_ask && has_waited(gateway, observer, stored.as_ref(), started);
    let has_won = may_ask && has_votes(gateway, observer, stored.as_ref(), &voters).await;
    if is_candidate && (holds_term || has_won) {
        let former = stored.as_ref().and_then(|stored| stored.term.as_ref());
        let former = former.map(|term| &term.daemon);
        return SearchOutcome::found(take_over(gateway, former, snapshot.end).await);
    }
    let term = stored.and_then(|stored| stored.term);
    SearchOutcome {
        coordinator: term.filter(|term| !term.released).map(|term| term.peers),
        has_lost_vote: may_ask && !has_won,
    }
}

/// Whether this daemon, which started at `started`, has waited for as long as a successor
/// must.
fn has_waited(
    gateway: &Gateway,
    observer: &TermObserver,
    stored: Option<&StoredTerm>,
    started: MonoTime,
) -> bool {
    let now = clock::now();
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let restart_delay = stored.map_or(TimeSpan::ZERO, |stored| {
        pending_restart_delay(gateway, stored)
    });
    let delay = takeover_delay(gateway);
    now.since(started) >= delay && observer.may_take_over(&window, now - (delay + restart_delay))
}

/// Whether this daemon has the votes to take over, or needs none: there has never been a
/// holder, or even one that extended its lease has stopped.
async fn has_votes(
    gateway: &Gateway,
    observer: &TermObserver,
    stored: Option<&StoredTerm>,
    voters: &VoterSet,
) -> bool {
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    match stored {
        Some(stored) if !observer.may_take_over_voteless(&window, clock::now()) => {
            win_votes(gateway, voters, stored.position).await
        }
        _ => true,
    }
}

/// Applies the fleet record that an earlier coordinator wrote to the store.
fn apply_fleet_record(gateway: &Gateway, fleet: FleetRecord) {
    gateway.record_daemon_count(fleet.daemons);
    gateway.streams.record_sightings(&fleet.sightings());
    record_news(gateway, &fleet.into_crashes(WallTime::now()), &[]);
}
