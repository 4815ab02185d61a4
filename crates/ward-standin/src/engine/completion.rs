//! `POST /v1/chat/completions` and `POST /v1/completions`.

use std::sync::Arc;

use serde::Deserialize;
use viz::{Request, RequestExt, StatusCode};
use ward_protocol::{PriorityLevel, ReplicaKey, RequestId};

use super::answer::{REQUEST_ID, complete_answer, not_run_answer, stream_answer};
use super::generation::{
    AnswerForm, Generation, GenerationStart, GenerationTask, RequestAdmission,
};
use super::state::EngineState;
use crate::server::{Answer, lock, read_bytes, refusal};

const DEFAULT_TOKENS: u64 = 16;
const MAX_TOKENS: u64 = 100_000;

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// Answers `POST /v1/chat/completions`.
pub(super) async fn chat(state: Arc<EngineState>, request: Request) -> Answer {
    complete(state, request, AnswerForm::Chat).await
}

/// Answers `POST /v1/completions`.
pub(super) async fn text(state: Arc<EngineState>, request: Request) -> Answer {
    complete(state, request, AnswerForm::Text).await
}

async fn complete(state: Arc<EngineState>, request: Request, form: AnswerForm) -> Answer {
    state.wait_while_hanging().await;
    let id = request
        .header::<_, String>(REQUEST_ID)
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(RequestId::random);
    let priority = request
        .header::<_, String>("priority")
        .and_then(|text| urgency(&text))
        .unwrap_or_default();
    let bytes = read_bytes(request).await?;
    let body: CompletionBody =
        serde_json::from_slice(&bytes).map_err(|_| refusal(StatusCode::BAD_REQUEST))?;
    let Ok(key) = body.model.parse::<ReplicaKey>() else {
        return Ok(not_run_answer());
    };
    let Some(boot) = lock(&state.holding).admit(id, &key) else {
        return Ok(not_run_answer());
    };
    let admission = RequestAdmission { request: id, boot };
    let marker = state.faults().crash_marker;
    let start = match marker {
        Some(marker) if contains(&bytes, &marker) => GenerationStart::Crash,
        _ => GenerationStart::Run,
    };
    let task = GenerationTask {
        key,
        prompt: prompt(&body, form),
        total: body.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS),
        position: 0,
        form,
        priority,
    };
    let generation = Generation::start(&state, admission, task, start);
    if body.stream {
        return Ok(stream_answer(&state, &generation, 0));
    }
    Ok(complete_answer(&state, &generation).await)
}

fn prompt(body: &CompletionBody, form: AnswerForm) -> String {
    match form {
        AnswerForm::Text => body.prompt.clone(),
        AnswerForm::Chat => {
            let contents: Vec<_> = body
                .messages
                .iter()
                .map(|message| message.content.as_str())
                .collect();
            contents.join("\n")
        }
    }
}

fn contains(bytes: &[u8], marker: &str) -> bool {
    bytes
        .windows(marker.len().max(1))
        .any(|window| window == marker.as_bytes())
}

/// Parses the urgency (`u=`) in a `Priority` header of RFC 9218.
fn urgency(text: &str) -> Option<PriorityLevel> {
    text.split(',')
        .find_map(|part| part.trim().strip_prefix("u="))
        .and_then(|level| level.parse().ok())
}
