//! Loads of replicas into the engine's memory.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use tokio::task::AbortHandle;
use ward_http::{CallBounds, json_request};
use ward_protocol::{BackendId, CacheTier, MemorySize, ReplicaKey, ResidentPhase, TimeSpan};

use super::state::EngineState;
use crate::server::lock;

const STORE_BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_secs(600),
    answer_bytes: 64 << 10,
};

#[derive(Serialize)]
struct StoreRequest<'a> {
    key: &'a ReplicaKey,
    engine: &'a BackendId,
    memory: MemorySize,
}

/// Starts a load in the background.
pub(super) fn spawn_load(
    state: &Arc<EngineState>,
    boot: u64,
    key: &ReplicaKey,
    memory: MemorySize,
) -> AbortHandle {
    let state = state.clone();
    let key = key.clone();
    let task = tokio::spawn(async move {
        let tier = lock(&state.holding).cached.get(&key).copied();
        let tier = tier.unwrap_or(CacheTier::Remote);
        let arrived = tokio::select! {
            arrived = fetch(&state, &key, memory, tier) => arrived,
            () = crash_during_load(&state, &key) => return state.crash(),
        };
        let failing = state.faults().failing_loads.contains(&key);
        finish_load(&state, boot, &key, arrived && !failing);
    });
    task.abort_handle()
}

async fn fetch(state: &EngineState, key: &ReplicaKey, memory: MemorySize, tier: CacheTier) -> bool {
    let settings = &state.settings;
    let load_time = match (tier, settings.store) {
        (CacheTier::Memory, _) => settings.load_memory,
        (CacheTier::Disk, _) => settings.load_disk,
        (CacheTier::Remote, None) => settings.load_remote,
        (CacheTier::Remote, Some(_)) => return fetch_remote(state, key, memory).await,
    };
    tokio::time::sleep(load_time.duration()).await;
    true
}

async fn fetch_remote(state: &EngineState, key: &ReplicaKey, memory: MemorySize) -> bool {
    let Some(store) = state.settings.store else {
        return false;
    };
    let store_request = StoreRequest {
        key,
        engine: &state.settings.id,
        memory,
    };
    let Ok(body) = serde_json::to_vec(&store_request) else {
        return false;
    };
    let Ok(request) = json_request(Method::POST, store, "/loads", Bytes::from(body)) else {
        return false;
    };
    match state.client.call(request, STORE_BOUNDS).await {
        Ok(reply) => reply.status.is_success(),
        Err(_) => false,
    }
}

/// Waits until the engine is to crash during this load; never returns without that fault.
async fn crash_during_load(state: &EngineState, key: &ReplicaKey) {
    let delay = {
        let mut faults = lock(&state.faults);
        let crashes = faults
            .die_in_load
            .take_if(|crashing| crashing == key)
            .is_some();
        crashes.then(|| Duration::from_millis(faults.die_after_ms))
    };
    match delay {
        Some(delay) => tokio::time::sleep(delay).await,
        None => future::pending().await,
    }
}

fn finish_load(state: &EngineState, boot: u64, key: &ReplicaKey, loaded: bool) {
    let mut holding = lock(&state.holding);
    if holding.boot != boot {
        return;
    }
    if loaded {
        holding
            .cached
            .entry(key.clone())
            .and_modify(|tier| *tier = CacheTier::Memory)
            .or_insert(CacheTier::Disk);
    }
    let Some(replica) = holding.replicas.get_mut(key) else {
        return;
    };
    replica.load = None;
    if loaded {
        replica.phase = ResidentPhase::Ready;
    } else {
        replica.phase = ResidentPhase::Failed;
        replica.memory = MemorySize::ZERO;
    }
    holding.record_holding();
}
