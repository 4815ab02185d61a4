//! Obtains the control state at start, and again when the log has dropped records
//! that this daemon has not read.

use ward_protocol::{LogOffset, LogStream, MonoTime, RawRecord, TimeSpan};
use ward_state::ClusterState;

use crate::action::ControlAction;
use crate::core::ControlCore;

/// Delay before a failed read of a snapshot is retried.
const SNAPSHOT_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Time after which an unanswered read of a snapshot is retried.
const SNAPSHOT_READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Interval between fetches from peers while this daemon has no state.
const PEER_RETRY_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Interval between fetches of newer state from peers while the log can't be read.
const PEER_REFRESH_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

/// Progress of obtaining the state.
#[derive(Debug, Default)]
pub(crate) struct StartState {
    /// Whether there is a base from which the streams can be read on: a snapshot, or the
    /// knowledge that the log has none.
    has_base: bool,
    /// Whether there is a state that requests can be routed by.
    usable: bool,
    /// When the snapshot was requested; `None` once the request is answered.
    snapshot_requested: Option<MonoTime>,
    /// When a snapshot last could not be read or decoded; `None` after a success.
    snapshot_failed: Option<MonoTime>,
    /// When state was last fetched from a peer.
    last_fetch: Option<MonoTime>,
    /// Counts fetches, to ask the peers in turn.
    next_peer: usize,
}

impl StartState {
    /// Whether there is a state that requests can be routed by.
    pub(crate) const fn has_state(&self) -> bool {
        self.usable
    }

    /// Whether reading the streams may begin.
    pub(crate) const fn may_read(&self) -> bool {
        self.has_base
    }

    /// Marks the state as usable; called when everything up to the end of the log is applied.
    pub(crate) fn mark_usable(&mut self) {
        self.usable = true;
    }

    /// Makes the next step request a snapshot: the log no longer keeps the records that follow
    /// this state.
    pub(crate) fn request_snapshot(&mut self) {
        self.has_base = false;
    }
}

impl ControlCore {
    /// Requests a snapshot while there is no base, and fetches state from peers too once a
    /// snapshot could not be read.
    pub(crate) fn run_start(&mut self) {
        if self.start.has_base {
            return;
        }
        let waiting = self
            .start
            .snapshot_requested
            .is_some_and(|at| self.now.since(at) < SNAPSHOT_READ_TIMEOUT);
        let backing_off = self
            .start
            .snapshot_failed
            .is_some_and(|at| self.now.since(at) < SNAPSHOT_RETRY_DELAY);
        if !waiting && !backing_off {
            self.start.snapshot_requested = Some(self.now);
            self.actions.push(ControlAction::ReadSnapshot);
        }
        if self.start.snapshot_failed.is_some() {
            self.fetch_from_peer();
        }
    }

    /// Fetches state from the next peer. Such state is used for routing but doesn't renew
    /// the lease.
    pub(crate) fn fetch_from_peer(&mut self) {
        let interval = if self.start.usable {
            PEER_REFRESH_INTERVAL
        } else {
            PEER_RETRY_INTERVAL
        };
        let recent = self
            .start
            .last_fetch
            .is_some_and(|at| self.now.since(at) < interval);
        let peers = self.peer_addresses();
        if recent || peers.is_empty() {
            return;
        }
        self.start.last_fetch = Some(self.now);
        let peer = peers[self.start.next_peer % peers.len()];
        self.start.next_peer += 1;
        self.actions.push(ControlAction::FetchState {
            peer,
            applied: self.state.applied(),
        });
    }

    /// Addresses of the configured peers and of all other members.
    fn peer_addresses(&self) -> Vec<std::net::SocketAddr> {
        let mut peers = self.config.peers.clone();
        let members = self.state.members().values();
        peers.extend(members.map(|member| member.info.peers));
        peers.retain(|peer| *peer != self.config.member.peers);
        let unique: indexmap::IndexSet<_> = peers.into_iter().collect();
        unique.into_iter().collect()
    }

    pub(crate) fn handle_snapshot(&mut self, bytes: &[u8]) {
        let requested = self.start.snapshot_requested.take().is_some();
        let Ok(state) = ClusterState::decode(bytes) else {
            self.start.snapshot_failed = Some(self.now);
            return;
        };
        let newer = state.applied() >= self.state.applied();
        if newer && state.plans().applied() >= self.state.plans().applied() {
            self.replace_state(state);
        }
        self.start.usable = true;
        // The state may come from a peer. The streams can be read on from it as well as
        // from a snapshot, since every daemon applies the same records.
        self.start.has_base =
            self.start.has_base || requested || self.state.applied() > LogOffset::ZERO;
        self.start.snapshot_failed = None;
    }

    pub(crate) fn handle_no_snapshot(&mut self) {
        self.start.snapshot_requested = None;
        self.start.snapshot_failed = None;
        self.start.has_base = true;
    }

    /// Starts the delay before the snapshot is requested again.
    pub(crate) fn handle_snapshot_failed(&mut self) {
        self.start.snapshot_requested = None;
        self.start.snapshot_failed = Some(self.now);
    }

    fn replace_state(&mut self, state: ClusterState) {
        self.state = state;
        self.views.reset();
        self.engines.reset();
        self.models.reset();
        self.duties.reset();
        self.probes.reset();
        self.changed = true;
    }

    /// Applies records received from a peer. They don't renew the read lease.
    pub(crate) fn handle_peer_records(&mut self, stream: LogStream, records: Vec<RawRecord>) {
        // Offsets need not be consecutive, so missing records can't be recognized by a
        // gap. Records are applied only if the first one directly follows what is known, or
        // is known already.
        let follows = |known: LogOffset| {
            records
                .first()
                .is_some_and(|record| record.offset.0 <= known.0 + 1)
        };
        match stream {
            LogStream::Plan if follows(self.state.plans().applied()) => self.apply_plans(records),
            LogStream::Control if follows(self.state.applied()) => self.apply_controls(records),
            LogStream::Plan | LogStream::Control | LogStream::Snapshot | LogStream::Requests(_) => {
            }
        }
    }
}
