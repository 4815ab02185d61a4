//! HTTP routes of the host list and the weight store.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use viz::{Request, RequestExt, Router, StatusCode};
use ward_protocol::{BackendId, HostEntry};

use super::HostsState;
use super::store::LoadRequest;
use crate::server::{
    Answer, Refusal, control_routes, cut_answer, handler, json_answer, lock, read_json, refusal,
    status_answer,
};

#[derive(Serialize)]
struct HostsAnswer {
    hosts: Vec<HostEntry>,
}

#[derive(Serialize)]
struct LoadAnswer {
    arrived: bool,
}

/// Builds the router of a host list and weight store.
pub(super) fn router(state: &Arc<HostsState>) -> Router {
    let router = Router::new()
        .get("/hosts", handler(state, list))
        .put("/hosts/:id", handler(state, put))
        .delete("/hosts/:id", handler(state, remove))
        .post("/hosts/:id/leave", handler(state, leave))
        .post("/loads", handler(state, load));
    control_routes(
        router,
        state,
        |state| &state.faults,
        |state| state.store.history(),
    )
}

async fn list(state: Arc<HostsState>, _: Request) -> Answer {
    let faults = state.faults();
    if faults.down {
        return Ok(cut_answer());
    }
    let lag = Duration::from_millis(faults.lag_ms);
    let hosts = lock(&state.list).entries_after_lag(lag);
    Ok(json_answer(StatusCode::OK, &HostsAnswer { hosts }))
}

async fn put(state: Arc<HostsState>, request: Request) -> Answer {
    let backend = backend_id(&request)?;
    let entry: HostEntry = read_json(request).await?;
    if entry.info.backend != backend {
        return Err(refusal(StatusCode::BAD_REQUEST));
    }
    lock(&state.list).put(entry);
    Ok(status_answer(StatusCode::NO_CONTENT))
}

async fn leave(state: Arc<HostsState>, request: Request) -> Answer {
    let backend = backend_id(&request)?;
    existence_answer(lock(&state.list).leave(&backend))
}

async fn remove(state: Arc<HostsState>, request: Request) -> Answer {
    let backend = backend_id(&request)?;
    existence_answer(lock(&state.list).remove(&backend))
}

fn existence_answer(exists: bool) -> Answer {
    if exists {
        return Ok(status_answer(StatusCode::NO_CONTENT));
    }
    Err(refusal(StatusCode::NOT_FOUND))
}

async fn load(state: Arc<HostsState>, request: Request) -> Answer {
    let load_request: LoadRequest = read_json(request).await?;
    if state.faults().store_down {
        return Ok(cut_answer());
    }
    let arrived = state.store.load(load_request, || state.faults()).await;
    if !arrived {
        return Ok(cut_answer());
    }
    Ok(json_answer(StatusCode::OK, &LoadAnswer { arrived }))
}

fn backend_id(request: &Request) -> Result<BackendId, Refusal> {
    request
        .param("id")
        .map_err(|_| refusal(StatusCode::BAD_REQUEST))
}
