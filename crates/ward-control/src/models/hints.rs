//! Hints of requests that wait or run.

use ward_protocol::{DaemonId, MonoTime, PeerMessage, ReplicaKey, TimeSpan, WakeHint};

use super::WaitingHint;
use crate::core::ControlCore;

/// How long a hint counts unless it is repeated.
const HINT_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// Time between reports of a key's use to other daemons.
const USE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Members up to which the use of a key is told to all.
const USE_FANOUT: usize = 32;
/// Keys with hints at a time.
const HINT_LIMIT: usize = 65_536;

impl ControlCore {
    pub(crate) fn take_wanted(&mut self, hint: WakeHint) {
        let owner = self.state.model_owner(&hint.key).cloned();
        let Some(owner) = owner else {
            return;
        };
        if owner == *self.me() {
            self.note_hint(owner, hint);
        } else {
            self.send(&owner, PeerMessage::Wake(hint));
        }
    }

    /// A hint of another daemon; one without waiting requests reports use.
    pub(crate) fn take_wake(&mut self, sender: DaemonId, hint: WakeHint) {
        if hint.waiting == 0 {
            self.note_use(&hint.key);
        } else if self.owns_model(&hint.key) {
            self.note_hint(sender, hint);
        } else {
            self.wake_engine(&hint);
        }
    }

    fn note_hint(&mut self, sender: DaemonId, hint: WakeHint) {
        let full = self.models.hints.len() >= HINT_LIMIT;
        if full && !self.models.hints.contains_key(&hint.key) {
            return;
        }
        let entry = WaitingHint {
            waiting: hint.waiting,
            priority: hint.priority,
            deadline: hint.deadline,
            seen: self.now,
        };
        let hints = self.models.hints.entry(hint.key).or_default();
        hints.insert(sender, entry);
    }

    pub(super) fn forget_hints(&mut self) {
        let (now, wall) = (self.now, self.wall);
        self.models.hints.retain(|_, hints| {
            hints.retain(|_, hint| now.since(hint.seen) < HINT_LIFE && hint.deadline > wall);
            !hints.is_empty()
        });
    }

    pub(crate) fn take_used(&mut self, hint: &WakeHint) {
        self.note_use(&hint.key);
        let now = self.now;
        let usage = self.models.usage.entry(hint.key.clone()).or_default();
        if usage.sent.is_some_and(|at| now.since(at) < USE_INTERVAL) {
            return;
        }
        usage.sent = Some(now);
        let report = PeerMessage::Wake(WakeHint {
            waiting: 0,
            ..hint.clone()
        });
        for daemon in self.use_listeners(&hint.key) {
            self.send(&daemon, report.clone());
        }
    }

    /// Who hears of a key's use: its model owner, and all others in a small fleet,
    /// since any of them may look for idle replicas to make room.
    fn use_listeners(&self, key: &ReplicaKey) -> Vec<DaemonId> {
        let members = self.state.members();
        if members.len() > USE_FANOUT {
            return self.state.model_owner(key).cloned().into_iter().collect();
        }
        let others = members.keys().filter(|daemon| *daemon != self.me());
        others.cloned().collect()
    }

    /// An adapter's use is also use of its base.
    fn note_use(&mut self, key: &ReplicaKey) {
        let now = self.now;
        let decay = self.config.policy.gap_decay;
        let usage = self.models.usage.entry(key.clone()).or_default();
        usage.gaps.observe(now, decay);
        usage.last = Some(now);
        if key.is_adapter() {
            let base = self.models.usage.entry(key.base()).or_default();
            base.last = Some(now);
        }
    }

    /// Keys that requests wait for, as told to this daemon.
    pub(crate) fn wanted_keys(&self) -> Vec<ReplicaKey> {
        self.models.hints.keys().cloned().collect()
    }

    /// When a key was last used, as far as this daemon can tell.
    pub(super) fn last_use(&self, key: &ReplicaKey) -> Option<MonoTime> {
        let last = self.models.usage.get(key).and_then(|usage| usage.last);
        last.max(self.models.since)
    }
}
