//! Resumes and cancels requests, and exports and imports their KV caches.

use std::sync::Arc;

use serde::Deserialize;
use viz::{Request, RequestExt, StatusCode};
use ward_protocol::RequestId;

use super::answer::{not_run_answer, stream_answer};
use super::generation::{Generation, GenerationStart, GenerationTask, RequestAdmission};
use super::state::EngineState;
use crate::server::{Answer, Refusal, json_answer, lock, read_json, refusal, status_answer};

#[derive(Deserialize)]
struct ResumeQuery {
    from: u64,
}

/// Answers `POST /v1/requests/{id}/resume`.
pub(super) async fn resume(state: Arc<EngineState>, request: Request) -> Answer {
    state.wait_while_hanging().await;
    let query: ResumeQuery = request
        .query()
        .map_err(|_| refusal(StatusCode::BAD_REQUEST))?;
    match find_generation(&state, &request)? {
        Some(generation) => Ok(stream_answer(&state, &generation, query.from)),
        None => Ok(not_run_answer()),
    }
}

/// Answers `DELETE /v1/requests/{id}`.
pub(super) async fn cancel(state: Arc<EngineState>, request: Request) -> Answer {
    state.wait_while_hanging().await;
    let Some(generation) = find_generation(&state, &request)? else {
        return Err(refusal(StatusCode::NOT_FOUND));
    };
    if generation.cancel() {
        let key = &generation.task.key;
        lock(&state.holding)
            .run_entry(generation.request, key)
            .cancelled = true;
    }
    Ok(status_answer(StatusCode::NO_CONTENT))
}

/// Answers `GET /v1/requests/{id}/kv`.
pub(super) async fn export(state: Arc<EngineState>, request: Request) -> Answer {
    state.wait_while_hanging().await;
    match find_generation(&state, &request)? {
        Some(generation) => Ok(json_answer(StatusCode::OK, &generation.snapshot())),
        None => Err(refusal(StatusCode::NOT_FOUND)),
    }
}

/// Answers `PUT /v1/requests/{id}/kv`.
pub(super) async fn import(state: Arc<EngineState>, request: Request) -> Answer {
    state.wait_while_hanging().await;
    let id = request_id(&request)?;
    let task: GenerationTask = read_json(request).await?;
    let Some(boot) = lock(&state.holding).admit(id, &task.key) else {
        return Ok(not_run_answer());
    };
    let admission = RequestAdmission { request: id, boot };
    Generation::start(&state, admission, task, GenerationStart::Import);
    Ok(status_answer(StatusCode::NO_CONTENT))
}

fn find_generation(
    state: &EngineState,
    request: &Request,
) -> Result<Option<Arc<Generation>>, Refusal> {
    let id = request_id(request)?;
    Ok(lock(&state.requests).get(&id).cloned())
}

fn request_id(request: &Request) -> Result<RequestId, Refusal> {
    request
        .param("id")
        .map_err(|_| refusal(StatusCode::BAD_REQUEST))
}
