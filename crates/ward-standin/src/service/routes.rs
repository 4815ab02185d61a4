//! HTTP routes of a plain service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use viz::header::HeaderValue;
use viz::{Request, RequestExt, Response, Router, StatusCode};
use ward_protocol::{RequestId, ServiceName, WallTime};

use super::ServiceState;
use super::history::CallEntry;
use crate::server::{
    Answer, Refusal, control_routes, cut_answer, handler, json_answer, lock, read_bytes, refusal,
    truncated_answer,
};

const REQUEST_ID: &str = "x-request-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Builds the router of a plain service.
pub(super) fn router(state: &Arc<ServiceState>) -> Router {
    let router = Router::new()
        .any("/services/:name", handler(state, call))
        .any("/services/:name/*", handler(state, call));
    control_routes(
        router,
        state,
        |state| &state.faults,
        |state| lock(&state.history).clone(),
    )
}

async fn call(state: Arc<ServiceState>, request: Request) -> Answer {
    let name: ServiceName = request
        .param("name")
        .map_err(|_| refusal(StatusCode::NOT_FOUND))?;
    if !state.settings.services.contains(&name) {
        return Err(refusal(StatusCode::NOT_FOUND));
    }
    let mut entry = call_entry(&request);
    let body = read_bytes(request).await?;
    entry.bytes = body.len() as u64;
    before_effect(&state).await?;
    let (index, run_count) = record_effect(&state, entry.clone());
    after_effect(&state).await?;
    let answer = echo_answer(&state, &entry, &body, run_count);
    if state.consume_fault(|faults| &mut faults.truncate_answers) {
        return Ok(truncated_answer(answer).await);
    }
    if let Some(entry) = lock(&state.history).calls.get_mut(index) {
        entry.answered = true;
    }
    Ok(answer)
}

fn call_entry(request: &Request) -> CallEntry {
    CallEntry {
        at: WallTime::now(),
        call: format!("{} {}", request.method(), request.uri()),
        request: request
            .header::<_, String>(REQUEST_ID)
            .and_then(|text| text.parse().ok()),
        key: request.header(IDEMPOTENCY_KEY),
        bytes: 0,
        answered: false,
    }
}

async fn before_effect(state: &ServiceState) -> Result<(), Refusal> {
    if state.faults().down {
        return Err(Box::new(cut_answer()));
    }
    if state.consume_fault(|faults| &mut faults.crash_before_effect) {
        return crash(state).await;
    }
    Ok(())
}

/// Records the call; returns its index and how often its id or key has run, whichever is more.
fn record_effect(state: &ServiceState, entry: CallEntry) -> (usize, u32) {
    let mut history = lock(&state.history);
    let mut run_count = 1;
    if let Some(request) = entry.request {
        let runs = history.runs_by_request.entry(request).or_default();
        *runs += 1;
        run_count = run_count.max(*runs);
    }
    if let Some(key) = &entry.key {
        let runs = history.runs_by_key.entry(key.clone()).or_default();
        *runs += 1;
        run_count = run_count.max(*runs);
    }
    history.calls.push(entry);
    (history.calls.len() - 1, run_count)
}

async fn after_effect(state: &ServiceState) -> Result<(), Refusal> {
    if state.consume_fault(|faults| &mut faults.crash_after_effect) {
        return crash(state).await;
    }
    tokio::time::sleep(Duration::from_millis(state.faults().slow_ms)).await;
    if state.consume_fault(|faults| &mut faults.lose_answers) {
        return Err(Box::new(cut_answer()));
    }
    if state.consume_fault(|faults| &mut faults.fail_answers) {
        return Err(refusal(StatusCode::INTERNAL_SERVER_ERROR));
    }
    Ok(())
}

/// Crashes the service; never returns, since the crash drops the connection.
async fn crash(state: &ServiceState) -> Result<(), Refusal> {
    state
        .switch
        .crash(Duration::from_millis(state.faults().downtime_ms));
    std::future::pending().await
}

fn echo_answer(state: &ServiceState, entry: &CallEntry, body: &Bytes, run_count: u32) -> Response {
    let mut request = entry.request;
    if state.consume_fault(|faults| &mut faults.wrong_ids) {
        request = request.map(|id| RequestId(!id.0));
    }
    let digest = blake3::hash(body).to_hex();
    let content = json!({
        "request": request,
        "call": entry.call,
        "key": entry.key,
        "run": run_count,
        "body": digest.as_str(),
    });
    let mut answer = json_answer(StatusCode::OK, &content);
    let id_value = request.and_then(|id| HeaderValue::from_str(&id.to_string()).ok());
    if let Some(id_value) = id_value {
        answer.headers_mut().insert(REQUEST_ID, id_value);
    }
    answer
}
