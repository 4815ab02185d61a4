//! Proposes records for changes of the platform's host list.
//!
//! The few daemons that hold this duty read the list, as do daemons cut off from
//! the log and owners of silent or leaving engines. Each holder waits longer than
//! the one ranked before it, so that normally only the first one proposes.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{
    BackendId, BackendKind, ControlRecord, HostEntry, HostState, MonoTime, TimeSpan,
};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::duty::SharedDuty;
use crate::proposer::ProposalSubject;

/// Interval between comparisons of the list with the state.
const COMPARE_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// Delay per rank before a daemon proposes a difference.
const RANK_DELAY: TimeSpan = TimeSpan::from_millis(700);
/// How long a service, or an engine marked as leaving, must be missing from the list
/// before it counts as gone. An engine must also have been silent for as long.
const GONE_AFTER: TimeSpan = TimeSpan::from_secs(2);
/// How long an engine not marked as leaving must be missing from the list before it
/// counts as gone: longer than the list lags. Also how long a backend server marked as
/// leaving must be listed as live before it counts as back in use.
const VANISHED_AFTER: TimeSpan = TimeSpan::from_secs(10);
/// Time after which an unanswered read of the list is retried.
const HOSTS_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// The host list as last read, and its differences from the state.
#[derive(Debug, Default)]
pub(crate) struct HostTracker {
    /// Start of the read in progress.
    read_started: Option<MonoTime>,
    /// Start of the last read, answered or not.
    last_read: Option<MonoTime>,
    entries: IndexMap<BackendId, HostEntry>,
    /// Backend servers that were listed as leaving and are no longer listed.
    departed: IndexSet<BackendId>,
    /// Since when the list and the state have differed, by backend server.
    differing_since: IndexMap<BackendId, MonoTime>,
    /// Whether the list has been read at least once.
    has_list: bool,
    last_compared: Option<MonoTime>,
}

impl HostTracker {
    pub(crate) fn record_read_failure(&mut self) {
        self.read_started = None;
    }

    /// Whether a backend server is missing from the list as last read.
    pub(crate) fn is_unlisted(&self, backend: &BackendId) -> bool {
        self.has_list && !self.entries.contains_key(backend)
    }

    /// Whether the list marks a backend server as leaving, or did so before it
    /// disappeared: one that is no longer listed is not back in use.
    pub(crate) fn is_marked_leaving(&self, backend: &BackendId) -> bool {
        match self.entries.get(backend) {
            Some(entry) => entry.state == HostState::Leaving,
            None => self.departed.contains(backend),
        }
    }

    /// Replaces the list and remembers leaving backend servers that are no longer on it.
    fn replace(&mut self, hosts: Vec<HostEntry>) {
        let hosts = hosts.into_iter();
        let entries: IndexMap<_, _> = hosts
            .map(|entry| (entry.info.backend.clone(), entry))
            .collect();
        let before = std::mem::replace(&mut self.entries, entries);
        let left = before
            .into_values()
            .filter(|entry| entry.state == HostState::Leaving);
        self.departed.extend(left.map(|entry| entry.info.backend));
        let entries = &self.entries;
        self.departed
            .retain(|backend| !entries.contains_key(backend));
    }
}

/// The record that would bring the state in line with the list for one backend server;
/// `None` if they agree. An engine that itself reports that it is leaving isn't brought back.
fn missing_record(core: &ControlCore, id: &BackendId) -> Option<ControlRecord> {
    let listed = core.hosts.entries.get(id);
    let known = core.state.backends().get(id);
    match (listed, known) {
        (Some(entry), None) => Some(ControlRecord::BackendSeen {
            info: entry.info.clone(),
        }),
        (Some(entry), Some(state)) => {
            if entry.state == HostState::Leaving {
                return (!state.leaving).then(|| ControlRecord::BackendLeaving {
                    backend: id.clone(),
                });
            }
            let back_in_use = state.leaving && !core.reports_leaving(id);
            (back_in_use || entry.info != state.info).then(|| ControlRecord::BackendSeen {
                info: entry.info.clone(),
            })
        }
        // The list marked it as leaving but the state doesn't, for example because the log
        // was down at that time.
        (None, Some(state)) if core.hosts.is_marked_leaving(id) && !state.leaving => {
            Some(ControlRecord::BackendLeaving {
                backend: id.clone(),
            })
        }
        (None, Some(_)) => Some(ControlRecord::BackendGone {
            backend: id.clone(),
        }),
        (None, None) => None,
    }
}

impl ControlCore {
    pub(crate) fn run_hosts(&mut self) {
        let rank = self.duty_rank(SharedDuty::Hosts);
        // Without the log no daemon learns from the others that a host is leaving, so each
        // reads the list itself. The owner of a silent or leaving engine reads it to find
        // out what happened to the host.
        let cut_off = self.start.has_state() && !self.has_authority();
        if rank.is_none() && !cut_off && !self.has_silent_or_leaving_engine() {
            return;
        }
        self.fetch_hosts();
        let compared_recently = self
            .hosts
            .last_compared
            .is_some_and(|at| self.now.since(at) < COMPARE_INTERVAL);
        if self.has_authority() && self.hosts.has_list && !compared_recently {
            self.hosts.last_compared = Some(self.now);
            self.propose_differences(rank);
        }
    }

    /// Reads the list if the interval has passed and no read is in progress.
    fn fetch_hosts(&mut self) {
        let waiting = self
            .hosts
            .read_started
            .is_some_and(|at| self.now.since(at) < HOSTS_TIMEOUT);
        let recent = self
            .hosts
            .last_read
            .is_some_and(|at| self.now.since(at) < self.config.lease.hosts_interval);
        if waiting || recent {
            return;
        }
        self.hosts.read_started = Some(self.now);
        self.hosts.last_read = Some(self.now);
        self.actions.push(ControlAction::FetchHosts);
    }

    pub(crate) fn handle_hosts(&mut self, hosts: Vec<HostEntry>) {
        self.hosts.read_started = None;
        self.hosts.has_list = true;
        let left_before = self.listed_leaving();
        self.hosts.replace(hosts);
        let state = &self.state;
        let departed = &mut self.hosts.departed;
        departed.retain(|backend| state.backends().contains_key(backend));
        self.changed |= left_before != self.listed_leaving();
    }

    /// Backend servers that the list marks as leaving, or did before they disappeared.
    fn listed_leaving(&self) -> Vec<BackendId> {
        let entries = self.hosts.entries.values();
        let leaving = entries.filter(|entry| entry.state == HostState::Leaving);
        let listed = leaving.map(|entry| entry.info.backend.clone());
        listed.chain(self.hosts.departed.iter().cloned()).collect()
    }

    fn propose_differences(&mut self, rank: Option<u32>) {
        let listed = self.hosts.entries.keys();
        let known = self.state.backends().keys();
        let ids: indexmap::IndexSet<_> = listed.chain(known).cloned().collect();
        self.hosts.differing_since.retain(|id, _| ids.contains(id));
        for id in ids {
            let Some(body) = missing_record(self, &id) else {
                self.hosts.differing_since.swap_remove(&id);
                continue;
            };
            let differs_since = *self
                .hosts
                .differing_since
                .entry(id.clone())
                .or_insert(self.now);
            if self.is_proposal_due(&body, differs_since, rank) {
                self.propose(ProposalSubject::Backend(id), body);
            }
        }
    }

    fn is_leaving_in_state(&self, backend: &BackendId) -> bool {
        let state = self.state.backends().get(backend);
        state.is_some_and(|state| state.leaving)
    }

    /// Whether this daemon has to propose a difference that has existed since
    /// `differs_since`.
    fn is_proposal_due(
        &self,
        body: &ControlRecord,
        differs_since: MonoTime,
        rank: Option<u32>,
    ) -> bool {
        let age = self.now.since(differs_since);
        let delay = rank.map(|rank| TimeSpan::from_millis(RANK_DELAY.millis() * u64::from(rank)));
        let backend = match body {
            ControlRecord::BackendGone { backend } => backend,
            ControlRecord::BackendSeen { info } if self.is_leaving_in_state(&info.backend) => {
                let reachable = self.is_reachable(&info.backend);
                let service = info.kind == BackendKind::Service && rank.is_some();
                return (reachable || service) && age >= VANISHED_AFTER;
            }
            _ => return delay.is_some_and(|delay| age >= delay),
        };
        let Some(state) = self.state.backends().get(backend) else {
            return false;
        };
        if state.info.kind == BackendKind::Service {
            return delay.is_some_and(|delay| age >= GONE_AFTER + delay);
        }
        // A host that is marked as leaving is expected to disappear. Another one that is
        // missing may only be too new for a list that lags.
        let minimum_age = if state.leaving {
            GONE_AFTER
        } else {
            VANISHED_AFTER
        };
        age >= minimum_age && self.is_silent_for(backend, GONE_AFTER)
    }
}
