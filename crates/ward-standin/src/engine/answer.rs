//! Answers to completions: single JSON bodies and event streams.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, stream};
use serde_json::{Value, json};
use tokio::sync::watch;
use viz::header::HeaderValue;
use viz::{Body, Response, StatusCode};
use ward_protocol::RequestId;

use super::generation::{AnswerForm, Generation, GenerationEnd, GenerationProgress};
use super::state::EngineState;
use super::text::{answer_text, answer_token};
use crate::server::{cut_answer, cut_error, json_answer, truncated_answer};

pub(super) const REQUEST_ID: &str = "x-request-id";
const OUTCOME: &str = "x-outcome";
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Builds the answer to a request that was not run because its replica is not ready.
pub(super) fn not_run_answer() -> Response {
    let body = json!({ "error": { "message": "the replica is not ready" } });
    let mut answer = json_answer(StatusCode::NOT_FOUND, &body);
    let outcome = HeaderValue::from_static("not_run");
    answer.headers_mut().insert(OUTCOME, outcome);
    answer
}

/// Waits for the end of the generation and answers with one JSON body.
pub(super) async fn complete_answer(state: &EngineState, generation: &Generation) -> Response {
    let mut progress = generation.subscribe();
    let ended = progress.wait_for(|progress| progress.end.is_some()).await;
    let Ok(end) = ended.map(|progress| progress.end) else {
        return cut_answer();
    };
    let id = answer_id(state, generation);
    if end != Some(GenerationEnd::Finished) {
        let body = json!({ "id": id, "error": { "message": "the request was cancelled" } });
        return with_id(json_answer(StatusCode::CONFLICT, &body), id);
    }
    if state.consume_fault(|faults| &mut faults.broken_answers) {
        return with_id(json_answer(StatusCode::OK, &"no completion"), id);
    }
    let answer = with_id(
        json_answer(StatusCode::OK, &complete_body(generation, id)),
        id,
    );
    if state.consume_fault(|faults| &mut faults.truncate_answers) {
        return truncated_answer(answer).await;
    }
    answer
}

/// Answers with an event stream of the tokens from a position on, as they are generated.
pub(super) fn stream_answer(
    state: &EngineState,
    generation: &Arc<Generation>,
    from: u64,
) -> Response {
    let id = answer_id(state, generation);
    let tokens_before_cut = state
        .consume_fault(|faults| &mut faults.cut_streams)
        .then(|| state.faults().cut_after);
    let cursor = EventCursor {
        progress: generation.subscribe(),
        generation: generation.clone(),
        id,
        next_position: Some(from),
        cut_position: tokens_before_cut.map(|tokens| from + tokens),
    };
    let mut answer = Response::new(Body::from_stream(events(cursor)));
    let content_type = HeaderValue::from_static("text/event-stream");
    answer
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, content_type);
    with_id(answer, id)
}

/// Read position in a generation's event stream.
struct EventCursor {
    progress: watch::Receiver<GenerationProgress>,
    generation: Arc<Generation>,
    id: RequestId,
    next_position: Option<u64>,
    cut_position: Option<u64>,
}

fn events(cursor: EventCursor) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::try_unfold(cursor, |mut cursor| async move {
        let Some(position) = cursor.next_position else {
            return Ok(None);
        };
        if cursor.cut_position.is_some_and(|cut| position >= cut) {
            return Err(cut_error().await);
        }
        if position >= cursor.generation.task.total {
            cursor.next_position = None;
            return Ok(Some((Bytes::from_static(DONE_EVENT), cursor)));
        }
        let reached = cursor
            .progress
            .wait_for(|progress| progress.position > position || progress.end.is_some())
            .await
            .map(|progress| progress.position > position);
        if !matches!(reached, Ok(true)) {
            return Err(cut_error().await);
        }
        let event = chunk_event(&cursor.generation, cursor.id, position);
        cursor.next_position = Some(position + 1);
        Ok(Some((event, cursor)))
    })
}

fn complete_body(generation: &Generation, id: RequestId) -> Value {
    let task = &generation.task;
    let text = answer_text(&task.prompt, task.total);
    let (object, choice) = match task.form {
        AnswerForm::Chat => (
            "chat.completion",
            json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" }),
        ),
        AnswerForm::Text => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": "stop" }),
        ),
    };
    json!({
        "id": id,
        "object": object,
        "model": task.key,
        "choices": [choice],
        "usage": { "completion_tokens": task.total },
    })
}

fn chunk_event(generation: &Generation, id: RequestId, position: u64) -> Bytes {
    let task = &generation.task;
    let token = answer_token(&task.prompt, position);
    let finish = (position + 1 == task.total).then_some("stop");
    let (object, choice) = match task.form {
        AnswerForm::Chat => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": token }, "finish_reason": finish }),
        ),
        AnswerForm::Text => (
            "text_completion",
            json!({ "index": 0, "text": token, "finish_reason": finish }),
        ),
    };
    let chunk = json!({
        "id": id,
        "object": object,
        "model": task.key,
        "position": position,
        "choices": [choice],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn answer_id(state: &EngineState, generation: &Generation) -> RequestId {
    if state.consume_fault(|faults| &mut faults.wrong_ids) {
        return RequestId(!generation.request.0);
    }
    generation.request
}

fn with_id(mut answer: Response, id: RequestId) -> Response {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
    answer
}
