//! Which connections are closed when all together hold too much.

use std::cmp::Reverse;
use std::net::IpAddr;

use indexmap::IndexMap;
use ward_protocol::MonoTime;

use super::load::{CallerPhase, ConnectionLoad};

/// What must be freed; the choice ends when both are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct YieldNeed {
    /// Memory in bytes.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// Chooses connections to close, in order, by their keys; fewer than needed if the others
/// are being served. Lower keys are older.
pub fn choose_yielding<K: Copy + Ord>(
    loads: impl IntoIterator<Item = (K, ConnectionLoad)>,
    need: YieldNeed,
    now: MonoTime,
) -> Vec<K> {
    let loads: Vec<_> = loads.into_iter().collect();
    let holdings = source_holdings(&loads);
    let fair_share = loads.len().div_ceil(holdings.len().max(1));
    // Where memory is short, one that has just been opened is no help.
    let frees_nothing = |load: &ConnectionLoad| need.connections == 0 && load.is_bare();
    let mut candidates: Vec<_> = loads
        .iter()
        .filter(|(_, load)| load.phase != CallerPhase::Serving)
        .collect();
    candidates.sort_by_cached_key(|(key, load)| {
        let held = holdings.get(&load.source).copied().unwrap_or_default();
        let is_idle = load.phase == CallerPhase::Idle;
        // It holds little, and not for long; its caller would lose the refusal.
        let is_refused = load.phase == CallerPhase::Refused;
        let lag = Reverse(load.lag(now));
        let is_fair = held <= fair_share;
        (
            is_refused,
            is_fair,
            !is_idle,
            frees_nothing(load),
            lag,
            *key,
        )
    });
    let mut freed_bytes = 0;
    let mut chosen = Vec::new();
    for (key, load) in candidates {
        if freed_bytes >= need.bytes && chosen.len() >= need.connections {
            break;
        }
        freed_bytes += load.held_bytes();
        chosen.push(*key);
    }
    chosen
}

/// Number of connections by address.
fn source_holdings<K>(loads: &[(K, ConnectionLoad)]) -> IndexMap<IpAddr, usize> {
    let mut holdings = IndexMap::new();
    for (_, load) in loads {
        *holdings.entry(load.source).or_default() += 1;
    }
    holdings
}
