//! Hints about waiting requests and about the use of replicas, from this daemon's
//! traffic threads and from other daemons.

use ward_protocol::{DaemonId, MonoTime, PeerMessage, ReplicaKey, TimeSpan, WakeHint};

use super::WaitingHint;
use crate::core::ControlCore;

/// Time after which a hint about waiting requests expires unless it is repeated.
const HINT_TTL: TimeSpan = TimeSpan::from_secs(3);
/// Minimum time between reports of a key's use to other daemons.
const USE_REPORT_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Maximum number of members at which the use of a key is reported to all of them; with more,
/// only the model's owner is told.
const MAX_BROADCAST_MEMBERS: usize = 32;
/// Maximum number of keys with hints.
const MAX_HINTED_KEYS: usize = 65_536;

impl ControlCore {
    /// Records a hint of this daemon's traffic threads, or sends it to the model's owner.
    pub(crate) fn handle_wanted(&mut self, hint: WakeHint) {
        let owner = self.state.model_owner(&hint.key).cloned();
        let Some(owner) = owner else {
            return;
        };
        if owner == *self.own_id() {
            self.record_hint(owner, hint);
        } else {
            self.send(&owner, PeerMessage::Wake(hint));
        }
    }

    /// Handles a hint of another daemon: a report of use if no requests wait, a demand if
    /// this daemon owns the model, and otherwise a request to wake an engine.
    pub(crate) fn handle_wake(&mut self, sender: DaemonId, hint: WakeHint) {
        if hint.waiting == 0 {
            self.record_use(&hint.key);
        } else if self.owns_model(&hint.key) {
            self.record_hint(sender, hint);
        } else {
            self.wake_engine(&hint);
        }
    }

    /// Records a daemon's waiting requests, unless there are hints for too many other keys.
    fn record_hint(&mut self, sender: DaemonId, hint: WakeHint) {
        let full = self.models.hints.len() >= MAX_HINTED_KEYS;
        if full && !self.models.hints.contains_key(&hint.key) {
            return;
        }
        let entry = WaitingHint {
            waiting: hint.waiting,
            priority: hint.priority,
            deadline: hint.deadline,
            received: self.now,
        };
        let hints = self.models.hints.entry(hint.key).or_default();
        hints.insert(sender, entry);
    }

    pub(super) fn remove_expired_hints(&mut self) {
        let (now, wall) = (self.now, self.wall);
        self.models.hints.retain(|_, hints| {
            hints.retain(|_, hint| now.since(hint.received) < HINT_TTL && hint.deadline > wall);
            !hints.is_empty()
        });
    }

    /// Records the use of a key at this daemon and reports it to other daemons, at most once
    /// per [`USE_REPORT_INTERVAL`].
    pub(crate) fn handle_used(&mut self, hint: &WakeHint) {
        self.record_use(&hint.key);
        let now = self.now;
        let usage = self.models.usage.entry(hint.key.clone()).or_default();
        if usage
            .last_report
            .is_some_and(|at| now.since(at) < USE_REPORT_INTERVAL)
        {
            return;
        }
        usage.last_report = Some(now);
        let report = PeerMessage::Wake(WakeHint {
            waiting: 0,
            ..hint.clone()
        });
        for daemon in self.use_receivers(&hint.key) {
            self.send(&daemon, report.clone());
        }
    }

    /// Receivers of a report of use: all other members if they are few, since any of them may
    /// look for idle replicas to evict; otherwise the model's owner.
    fn use_receivers(&self, key: &ReplicaKey) -> Vec<DaemonId> {
        let members = self.state.members();
        if members.len() > MAX_BROADCAST_MEMBERS {
            return self.state.model_owner(key).cloned().into_iter().collect();
        }
        let others = members.keys().filter(|daemon| *daemon != self.own_id());
        others.cloned().collect()
    }

    /// Records a use of a key; the use of an adapter also counts as the last use of its base.
    fn record_use(&mut self, key: &ReplicaKey) {
        let now = self.now;
        let decay = self.config.policy.gap_decay;
        let usage = self.models.usage.entry(key.clone()).or_default();
        usage.gaps.observe(now, decay);
        usage.last_use = Some(now);
        if key.is_adapter() {
            let base = self.models.usage.entry(key.base()).or_default();
            base.last_use = Some(now);
        }
    }

    /// Keys that requests wait for, as far as reported to this daemon.
    pub(crate) fn wanted_keys(&self) -> Vec<ReplicaKey> {
        self.models.hints.keys().cloned().collect()
    }

    /// When a key was last used as far as this daemon knows, or `deciding_since` if that is
    /// later.
    pub(super) fn last_use(&self, key: &ReplicaKey) -> Option<MonoTime> {
        let last = self.models.usage.get(key).and_then(|usage| usage.last_use);
        last.max(self.models.deciding_since)
    }
}
