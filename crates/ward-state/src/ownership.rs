//! Which daemon owns an engine or a model.
//!
//! Rendezvous hashing: every daemon ranks itself for every id, the highest rank
//! wins. For engines, daemons of the same availability zone come first.

use ward_protocol::{BackendId, BackendKind, DaemonId, FenceNumber, LogOffset, ReplicaKey};

use crate::backend::{BackendState, FormerOwner};
use crate::cluster::ClusterState;
use crate::member::MemberState;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why an engine lost its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MoveCause {
    /// The owner left and had ended its orders.
    Left,
    /// The owner may still have orders on their way.
    Other,
}

/// A well-mixed number for a text.
#[must_use]
pub fn hash_text(text: &str) -> u64 {
    let hash = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// The rank of a daemon for an item, both given as hashes.
#[must_use]
pub const fn rank_pair(daemon: u64, item: u64) -> u64 {
    mix(daemon ^ item.rotate_left(32))
}

const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rank for an engine, the owner's zone first; the id breaks ties.
fn rank_engine(member: &MemberState, backend: &BackendState, item: u64) -> (bool, u64) {
    let near = member.info.zone == backend.info.zone;
    let rank = rank_pair(member.hash, item);
    (near, rank)
}

impl ClusterState {
    /// The daemon that decides about a model and its adapters.
    #[must_use]
    pub fn model_owner(&self, key: &ReplicaKey) -> Option<&DaemonId> {
        let item = hash_text(&key.base().to_string());
        self.top_member(item)
    }

    /// The first daemons in hash order for a named duty.
    #[must_use]
    pub fn duty_holders(&self, duty: &str, count: usize) -> Vec<DaemonId> {
        let item = hash_text(duty);
        let mut ranked: Vec<_> = self
            .members
            .iter()
            .map(|(daemon, member)| (rank_pair(member.hash, item), daemon))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked
            .into_iter()
            .take(count)
            .map(|(_, daemon)| daemon.clone())
            .collect()
    }

    fn top_member(&self, item: u64) -> Option<&DaemonId> {
        let ranked = self
            .members
            .iter()
            .max_by_key(|(daemon, member)| (rank_pair(member.hash, item), *daemon));
        ranked.map(|(daemon, _)| daemon)
    }

    /// Gives the newcomer the engines where it ranks above the owner.
    pub(crate) fn win_engines(&mut self, newcomer: &DaemonId, offset: LogOffset) {
        let Some(member) = self.members.get(newcomer) else {
            return;
        };
        let mut won = Vec::new();
        for (backend, state) in &self.backends {
            if state.info.kind != BackendKind::Engine || state.yielded.contains(newcomer) {
                continue;
            }
            let item = hash_text(backend.as_str());
            let owner = state
                .owner
                .as_ref()
                .and_then(|owner| self.members.get(owner));
            let beaten = owner.is_none_or(|owner| {
                let theirs = (rank_engine(owner, state, item), &owner.info.daemon);
                (rank_engine(member, state, item), newcomer) > theirs
            });
            if beaten {
                won.push(backend.clone());
            }
        }
        for backend in won {
            self.move_engine(&backend, Some(newcomer.clone()), offset, MoveCause::Other);
        }
    }

    /// Moves all engines of a daemon that is no longer a member.
    pub(crate) fn lose_engines(&mut self, loser: &DaemonId, offset: LogOffset, cause: MoveCause) {
        let lost: Vec<_> = self
            .backends
            .iter()
            .filter(|(_, state)| state.owner.as_ref() == Some(loser))
            .map(|(backend, _)| backend.clone())
            .collect();
        for backend in lost {
            let owner = self.choose_owner(&backend);
            self.move_engine(&backend, owner, offset, cause);
        }
    }

    /// The member that ranks first for an engine.
    pub(crate) fn choose_owner(&mut self, backend: &BackendId) -> Option<DaemonId> {
        let members = &self.members;
        let state = self.backends.get_mut(backend)?;
        if state.info.kind != BackendKind::Engine {
            return None;
        }
        if members.keys().all(|daemon| state.yielded.contains(daemon)) {
            state.yielded.clear();
        }
        let item = hash_text(backend.as_str());
        members
            .values()
            .filter(|member| !state.yielded.contains(&member.info.daemon))
            .max_by_key(|member| (rank_engine(member, state, item), &member.info.daemon))
            .map(|member| member.info.daemon.clone())
    }

    /// Moves one engine and notes whom it came from.
    pub(crate) fn move_engine(
        &mut self,
        backend: &BackendId,
        owner: Option<DaemonId>,
        offset: LogOffset,
        cause: MoveCause,
    ) {
        self.owner_version += 1;
        let lives = &self.last_lives;
        let Some(state) = self.backends.get_mut(backend) else {
            return;
        };
        if let Some(daemon) = state.owner.take() {
            let incarnation = lives.get(&daemon).copied().unwrap_or_default();
            state.former = Some(FormerOwner {
                daemon,
                incarnation,
                fence: state.fence,
                clean: cause == MoveCause::Left && state.takeover_complete,
            });
        }
        // Without any owner before, there is no order to wait for.
        state.takeover_complete = state.former.is_none();
        state.owner = owner;
        state.fence = FenceNumber(offset.0);
    }
}
