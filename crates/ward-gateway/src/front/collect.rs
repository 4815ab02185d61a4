//! Buffers the answer of an engine until it is known to be whole.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;
use slog::warn;
use ward_adapter::AnswerMarks;
use ward_adapter::header::{closes_connection, keep_alive_timeout};
use ward_fleet::health::EngineSignal;

use super::answer::{AnswerBody, buffered_answer};
use crate::buffer::BufferError;
use crate::clock;
use crate::embedded::{HeadFinding, HeadScanner};
use crate::forward::{
    Attempt, AttemptRequest, EngineConnection, is_unframed, joined_end, unframed_end,
};
use crate::gateway::Gateway;
use crate::queue::{EngineSlot, RunState};

/// Maximum length of an answer that is buffered before it is forwarded, in bytes; a
/// faulty engine may never stop sending.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Why an answer cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CollectFailure {
    /// It did not end in time.
    Late,
    /// It could not be buffered.
    Unbuffered(BufferError),
    /// It ended early.
    Cut(&'static str),
    /// It ended early, and another answer completed it.
    Joined(&'static str),
}

impl CollectFailure {
    fn reason(self) -> String {
        match self {
            Self::Late => "the answer did not end in time".to_owned(),
            Self::Unbuffered(error) => error.to_string(),
            Self::Cut(reason) | Self::Joined(reason) => reason.to_owned(),
        }
    }
}

/// Buffers an answer and forwards it once it is complete; returns `None` if it is
/// incomplete, too long or does not end in time.
pub(super) async fn collect_answer(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    attempt: Attempt,
) -> Option<Response<AnswerBody>> {
    let Attempt {
        slot,
        connection,
        answer,
        ..
    } = attempt;
    slot.record_answer_began();
    let (head, body) = answer.into_parts();
    let collected = whole_body(gateway, request, (&slot, &connection), &head, body).await;
    let body = match collected {
        Ok(body) => body,
        Err(failure) => {
            record_incomplete(gateway, request, &slot, &head, failure);
            return None;
        }
    };
    let mut table = gateway.table.borrow_mut();
    table.record_signal(&slot.engine.id, EngineSignal::Answered, clock::now());
    drop(table);
    slot.set_run_state(if head.status.is_success() {
        RunState::Answered
    } else {
        RunState::Failed
    });
    let keep_alive = keep_alive_timeout(&head.headers);
    if head.status.is_success() && !closes_connection(&head.headers) {
        gateway
            .pool
            .put_back(&slot.engine.id, connection, keep_alive);
    }
    Some(buffered_answer(head.status, &head.headers, body))
}

/// Reads a body to its end, and makes sure that it ended where the engine ended it.
async fn whole_body(
    gateway: &Gateway,
    request: &AttemptRequest,
    (slot, connection): (&EngineSlot, &EngineConnection),
    head: &Parts,
    body: Incoming,
) -> Result<Bytes, CollectFailure> {
    let remaining = request.deadline.since(clock::now());
    let collected = gateway.buffers.collect(body, MAX_ANSWER_BYTES);
    let collected = tokio::time::timeout(remaining.duration(), collected).await;
    let collected = collected.map_err(|_| CollectFailure::Late)?;
    let body = collected.map_err(CollectFailure::Unbuffered)?;
    let is_unframed = is_unframed(&request.method, head);
    let finding = scan_body(head, &body, is_unframed);
    if let Some(reason) = joined_end(finding, connection, is_unframed).await {
        return Err(CollectFailure::Joined(reason));
    }
    if !is_unframed {
        return Ok(body);
    }
    if body.is_empty() && head.status.is_success() {
        return Err(CollectFailure::Cut("the connection ended after the head"));
    }
    // Not bounded by the deadline: a whole answer is forwarded, also if late.
    let cut = unframed_end(slot, connection).await;
    cut.map_or(Ok(body), |reason| Err(CollectFailure::Cut(reason)))
}

/// What a whole body shows of another answer. One without a length can't end within the head
/// of another: nothing cuts that one.
fn scan_body(head: &Parts, body: &[u8], is_unframed: bool) -> HeadFinding {
    let mut scanner = HeadScanner::new(AnswerMarks::of(&head.headers));
    let finding = scanner.advance(body);
    if is_unframed {
        finding
    } else {
        scanner.finding_at_end()
    }
}

fn record_incomplete(
    gateway: &Gateway,
    request: &AttemptRequest,
    slot: &EngineSlot,
    head: &Parts,
    failure: CollectFailure,
) {
    if failure != CollectFailure::Late {
        slot.set_run_state(RunState::BrokenOff);
    }
    if matches!(failure, CollectFailure::Joined(_)) {
        gateway.pool.record_unreliable(&slot.engine.id);
    }
    let mut table = gateway.table.borrow_mut();
    table.record_signal(&slot.engine.id, EngineSignal::Failed, clock::now());
    drop(table);
    warn!(
        gateway.logger, "send: answer incomplete"; "request" => &request.id_text,
        "engine" => %slot.engine.id, "status" => head.status.as_u16(),
        "why" => failure.reason(),
    );
}
