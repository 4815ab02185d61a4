//! Which idle replicas of an engine are evicted to free memory for another.
//!
//! A base model and its adapters are evicted together, so the costs are compared
//! by group. An engine holds only a few groups. A single group that is large
//! enough is preferred; otherwise the largest groups are selected until their
//! memory suffices, and those that turn out not to be needed are deselected.

use ward_protocol::{MemorySize, ReservationId};

use super::view::{EngineView, HeldReplica, PlaceRequest};

/// Replicas of an engine whose eviction frees enough memory.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct EvictPlan {
    /// Reservations of the replicas to evict, adapters before their base model.
    pub(super) victims: Vec<ReservationId>,
    /// Total cost of loading the replicas again.
    pub(super) cost: f64,
}

/// An adapter, or a base model with its adapters.
struct EvictGroup {
    victims: Vec<ReservationId>,
    memory: MemorySize,
    cost: f64,
}

/// Selects cheap victims on an engine; `None` when not enough memory can be freed.
pub(super) fn plan_eviction(
    request: &PlaceRequest,
    engine: &EngineView,
    cost: &impl Fn(&EngineView, &HeldReplica) -> f64,
) -> Option<EvictPlan> {
    let need = request.memory.saturating_sub(engine.free());
    let mut groups = evictable_groups(request, engine, cost);
    if let Some(group) = cheapest_single(&groups, need) {
        return Some(merge_groups(std::slice::from_ref(group)));
    }
    groups.sort_by(|left, right| {
        let memory = right.memory.cmp(&left.memory);
        memory.then(left.cost.total_cmp(&right.cost))
    });
    let count = sufficient_count(&groups, need)?;
    groups.truncate(count);
    drop_unneeded(&mut groups, need);
    Some(merge_groups(&groups))
}

/// The cheapest group that alone frees enough memory.
fn cheapest_single(groups: &[EvictGroup], need: MemorySize) -> Option<&EvictGroup> {
    groups
        .iter()
        .filter(|group| group.memory >= need)
        .min_by(|left, right| {
            let count = left.victims.len().cmp(&right.victims.len());
            left.cost.total_cmp(&right.cost).then(count)
        })
}

/// Number of groups from the front whose memory reaches `need`; `None` when all are too small.
fn sufficient_count(groups: &[EvictGroup], need: MemorySize) -> Option<usize> {
    let sums = groups.iter().scan(MemorySize::ZERO, |sum, group| {
        *sum = sum.saturating_add(group.memory);
        Some(*sum)
    });
    sums.enumerate()
        .find(|(_, sum)| *sum >= need)
        .map(|(index, _)| index + 1)
}

/// Removes groups, the most expensive first, as long as the others free enough memory.
fn drop_unneeded(groups: &mut Vec<EvictGroup>, need: MemorySize) {
    groups.sort_by(|left, right| right.cost.total_cmp(&left.cost));
    let mut sum: MemorySize = groups.iter().map(|group| group.memory).sum();
    groups.retain(|group| {
        let remaining = sum.saturating_sub(group.memory);
        let unneeded = remaining >= need;
        if unneeded {
            sum = remaining;
        }
        !unneeded
    });
}

fn merge_groups(groups: &[EvictGroup]) -> EvictPlan {
    EvictPlan {
        victims: groups
            .iter()
            .flat_map(|group| group.victims.iter().copied())
            .collect(),
        cost: groups.iter().map(|group| group.cost).sum(),
    }
}

fn evictable_groups(
    request: &PlaceRequest,
    engine: &EngineView,
    cost: &impl Fn(&EngineView, &HeldReplica) -> f64,
) -> Vec<EvictGroup> {
    engine
        .held
        .iter()
        .filter_map(|replica| evict_group(request, engine, replica, cost))
        .collect()
}

/// The group of a replica and, for a base model, its adapters; `None` if one of them must not
/// be evicted.
fn evict_group(
    request: &PlaceRequest,
    engine: &EngineView,
    replica: &HeldReplica,
    cost: &impl Fn(&EngineView, &HeldReplica) -> f64,
) -> Option<EvictGroup> {
    if request.key.base() == replica.key {
        return None;
    }
    let is_own_adapter = |other: &&HeldReplica| {
        !replica.key.is_adapter() && other.key.is_adapter() && other.key.base() == replica.key
    };
    let adapters = engine.held.iter().filter(is_own_adapter);
    let members: Vec<&HeldReplica> = adapters.chain(std::iter::once(replica)).collect();
    if !members.iter().all(|member| is_evictable(request, member)) {
        return None;
    }
    let cost: f64 = members.iter().map(|member| cost(engine, member)).sum();
    cost.is_finite().then(|| EvictGroup {
        victims: members.iter().map(|member| member.reservation).collect(),
        memory: members.iter().map(|member| member.memory).sum(),
        cost,
    })
}

fn is_evictable(request: &PlaceRequest, replica: &HeldReplica) -> bool {
    // A lower priority level is more urgent.
    let outranks = replica.priority < request.priority;
    replica.ready && replica.idle.is_some() && !replica.wanted && !outranks
}
