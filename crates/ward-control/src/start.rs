//! Getting the state at start.

use ward_protocol::{LogOffset, LogStream, MonoTime, RawRecord, TimeSpan};
use ward_state::ClusterState;

use crate::action::ControlAction;
use crate::core::ControlCore;

/// Time between attempts to read a snapshot.
const SNAPSHOT_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Time after which a read of a snapshot without an answer is repeated.
const SNAPSHOT_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Time between attempts to fetch state from a peer, with no state at all.
const PEER_RETRY_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Time between looks for newer state at peers while the log is down.
const PEER_REFRESH_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

/// How far the start has come.
#[derive(Debug, Default)]
pub(crate) struct StartState {
    /// Whether the log's snapshot was looked for with success.
    has_base: bool,
    /// Whether there is a state to route by.
    usable: bool,
    /// When the snapshot was last asked for, as long as no answer has come.
    snapshot_requested: Option<MonoTime>,
    snapshot_failed: Option<MonoTime>,
    last_fetch: Option<MonoTime>,
    next_peer: usize,
}

impl StartState {
    /// Whether there is a state to route by.
    pub(crate) const fn has_state(&self) -> bool {
        self.usable
    }

    /// Whether reading the streams may begin.
    pub(crate) const fn may_read(&self) -> bool {
        self.has_base
    }

    /// The state now comes from the log.
    pub(crate) fn mark_usable(&mut self) {
        self.usable = true;
    }

    /// The streams no longer reach back to the state: a snapshot is needed.
    pub(crate) fn request_snapshot(&mut self) {
        self.has_base = false;
    }
}

impl ControlCore {
    pub(crate) fn run_start(&mut self) {
        if self.start.has_base {
            return;
        }
        let waiting = self
            .start
            .snapshot_requested
            .is_some_and(|at| self.now.since(at) < SNAPSHOT_TIMEOUT);
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

    /// Asks the next peer for state; what it answers serves for routing only.
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
        // A peer's state serves for routing; reading on from it is as good as
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

    /// Notes that the log did not answer.
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

    /// Records that a peer passed on; they renew no lease.
    pub(crate) fn handle_peer_records(&mut self, stream: LogStream, records: Vec<RawRecord>) {
        // Offsets may skip, so a gap can't be told from a skip: only records
        // that follow at once are sure to be next.
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
