//! Orders to an engine: touch, load, unload, change of role.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use viz::{Request, StatusCode};
use ward_protocol::{
    BackendOrder, EngineRole, FencingSupport, MemorySize, OrderKind, OrderRefusal, ReplicaKey,
    ResidentPhase, WallTime,
};

use super::history::{OrderCause, OrderEntry};
use super::holding::{EngineHolding, HeldReplica, OrderResult};
use super::load::spawn_load;
use super::settings::MemoryRule;
use super::state::EngineState;
use crate::server::{Answer, cut_answer, json_answer, lock, read_json};

#[derive(Serialize)]
struct TakenAnswer {
    taken: bool,
}

/// Answers `POST /orders`.
pub(super) async fn order(state: Arc<EngineState>, request: Request) -> Answer {
    let order: BackendOrder = read_json(request).await?;
    state.wait_while_hanging().await;
    let result = accept(&state, &order);
    if state.consume_fault(|faults| &mut faults.lose_order_answers) {
        return Ok(cut_answer());
    }
    Ok(match result {
        Ok(()) => json_answer(StatusCode::OK, &TakenAnswer { taken: true }),
        Err(refusal) => json_answer(StatusCode::CONFLICT, &refusal),
    })
}

/// Executes an order, now or, if a fault says so, later or twice.
///
/// A delayed order counts as accepted before it is executed.
fn accept(state: &Arc<EngineState>, order: &BackendOrder) -> OrderResult {
    if let Some(result) = find_or_mark_seen(state, order) {
        record_order(state, order, OrderCause::Again, &result);
        return result;
    }
    let faults = state.faults();
    if let Some(delay) = faults.order_repeat_ms {
        execute_later(state, order, delay, OrderCause::Repeated);
    }
    if faults.order_delay_ms > 0 {
        execute_later(state, order, faults.order_delay_ms, OrderCause::Delayed);
        return Ok(());
    }
    let result = execute(state, order, OrderCause::Received);
    lock(&state.holding)
        .orders
        .insert(order.order, result.clone());
    result
}

/// Returns the result if the order was received before; otherwise marks it as received.
fn find_or_mark_seen(state: &EngineState, order: &BackendOrder) -> Option<OrderResult> {
    let mut holding = lock(&state.holding);
    let known = holding.orders.get(&order.order).cloned();
    if known.is_none() {
        holding.orders.insert(order.order, Ok(()));
    }
    known
}

fn execute_later(state: &Arc<EngineState>, order: &BackendOrder, delay_ms: u64, cause: OrderCause) {
    let state = state.clone();
    let order = order.clone();
    let boot = lock(&state.holding).boot;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if lock(&state.holding).boot == boot {
            // The sender was already answered.
            let _ = execute(&state, &order, cause);
        }
    });
}

fn execute(state: &Arc<EngineState>, order: &BackendOrder, cause: OrderCause) -> OrderResult {
    let result = apply(state, order);
    record_order(state, order, cause, &result);
    result
}

fn record_order(
    state: &EngineState,
    order: &BackendOrder,
    cause: OrderCause,
    result: &OrderResult,
) {
    let mut holding = lock(&state.holding);
    let entry = OrderEntry {
        at: WallTime::now(),
        boot: holding.boot,
        order: order.clone(),
        cause,
        refusal: result.clone().err(),
    };
    holding.history.orders.push(entry);
}

fn apply(state: &Arc<EngineState>, order: &BackendOrder) -> OrderResult {
    let leaving = state.faults().leaving;
    let mut holding = lock(&state.holding);
    if state.settings.fencing == FencingSupport::Checks && order.fence < holding.fence {
        return Err(OrderRefusal::Fenced {
            newest: holding.fence,
        });
    }
    holding.fence = holding.fence.max(order.fence);
    match &order.kind {
        OrderKind::Touch => Ok(()),
        OrderKind::Load { .. } if leaving => Err(OrderRefusal::Leaving),
        OrderKind::Load { key, memory } => load(state, &mut holding, key, *memory),
        OrderKind::Unload { key } => {
            unload(&mut holding, key);
            Ok(())
        }
        OrderKind::Role { role } => {
            change_role(&mut holding, *role);
            Ok(())
        }
    }
}

fn load(
    state: &Arc<EngineState>,
    holding: &mut EngineHolding,
    key: &ReplicaKey,
    memory: MemorySize,
) -> OrderResult {
    if let Some(held) = holding.replicas.get(key) {
        match held.phase {
            ResidentPhase::Loading | ResidentPhase::Ready => return Ok(()),
            ResidentPhase::Unloading | ResidentPhase::Failed => {}
        }
    }
    if holding.role == EngineRole::Standby {
        return Err(OrderRefusal::Memory);
    }
    if key.is_adapter() && !holding.is_ready(&key.base()) {
        return Err(OrderRefusal::NoBase);
    }
    let held = holding.replicas.get(key).map(|held| held.memory);
    let others = holding
        .used_memory()
        .saturating_sub(held.unwrap_or_default());
    let fits = others.saturating_add(memory) <= holding.total_memory;
    if !fits && state.settings.memory_rule == MemoryRule::Refuse {
        return Err(OrderRefusal::Memory);
    }
    let running = holding.replicas.get(key).map_or(0, |held| held.running);
    let task = spawn_load(state, holding.boot, key, memory);
    let replica = HeldReplica {
        phase: ResidentPhase::Loading,
        memory,
        running,
        load: Some(task),
    };
    holding.replicas.insert(key.clone(), replica);
    holding.record_holding();
    Ok(())
}

/// Drains a replica and, if it is a base model, its adapters.
fn unload(holding: &mut EngineHolding, key: &ReplicaKey) {
    let affected = |held: &ReplicaKey| held == key || held.base() == *key;
    for (_, replica) in holding
        .replicas
        .iter_mut()
        .filter(|(held, _)| affected(held))
    {
        if let Some(load) = replica.load.take() {
            load.abort();
        }
        replica.phase = ResidentPhase::Unloading;
    }
    holding.record_holding();
    holding.remove_drained();
}

fn change_role(holding: &mut EngineHolding, role: EngineRole) {
    holding.role = role;
    if role != EngineRole::Standby {
        return;
    }
    let keys: Vec<_> = holding.replicas.keys().cloned().collect();
    for key in keys {
        unload(holding, &key);
    }
}
