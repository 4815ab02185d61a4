//! HTTP routes of the log service.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::time::Instant;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::streams::ReadSlice;
use super::{LogFaults, LogState};
use crate::server::{
    Answer, Refusal, control_routes, cut_answer, handler, json_answer, lock, read_json, refusal,
    truncated_answer,
};

const MAX_RECORDS: usize = 10_000;
const MAX_WAIT: Duration = Duration::from_secs(30);

#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AppendBody {
    #[serde_as(as = "Vec<Base64>")]
    records: Vec<Vec<u8>>,
}

#[derive(Serialize)]
struct AppendAnswer {
    first: u64,
    end: u64,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: Option<usize>,
    wait_ms: Option<u64>,
}

#[serde_as]
#[derive(Serialize)]
struct ReadRecord {
    offset: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Serialize)]
struct ReadAnswer {
    records: Vec<ReadRecord>,
    end: u64,
    start: u64,
}

/// Builds the router of a log service.
pub(super) fn router(state: &Arc<LogState>) -> Router {
    let router = Router::new()
        .post("/streams/:stream/records", handler(state, append))
        .get("/streams/:stream/records", handler(state, read));
    control_routes(
        router,
        state,
        |state| &state.faults,
        |state| lock(&state.streams).history(),
    )
}

async fn append(state: Arc<LogState>, request: Request) -> Answer {
    let name = stream_name(&request)?;
    let body: AppendBody = read_json(request).await?;
    let faults = wait_and_check(&state).await?;
    if body.records.is_empty() {
        return Err(refusal(StatusCode::BAD_REQUEST));
    }
    if !lock(&state.streams).admit(&name, faults.appends_per_second) {
        return Err(refusal(StatusCode::TOO_MANY_REQUESTS));
    }
    let loses_answer = consume_fault(&state, |faults| &mut faults.lose_answers);
    let truncates_answer =
        !loses_answer && consume_fault(&state, |faults| &mut faults.truncate_answers);
    let (first, end) = lock(&state.streams).append(
        &name,
        body.records,
        &faults,
        !loses_answer && !truncates_answer,
    );
    state.appended.notify_waiters();
    if loses_answer {
        return Ok(cut_answer());
    }
    let answer = json_answer(StatusCode::OK, &AppendAnswer { first, end });
    if truncates_answer {
        return Ok(truncated_answer(answer).await);
    }
    Ok(answer)
}

async fn read(state: Arc<LogState>, request: Request) -> Answer {
    let name = stream_name(&request)?;
    let query: ReadQuery = request
        .query()
        .map_err(|_| refusal(StatusCode::BAD_REQUEST))?;
    let limit = query.limit.unwrap_or(MAX_RECORDS).min(MAX_RECORDS);
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0)).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    wait_and_check(&state).await?;
    loop {
        let appended = state.appended.notified();
        tokio::pin!(appended);
        // Registered before the read, so that no append in between is missed.
        appended.as_mut().enable();
        let faults = check_faults(&state)?;
        let slice = lock(&state.streams).read(&name, query.from, limit, &faults);
        if !slice.records.is_empty() || Instant::now() >= deadline {
            lock(&state.streams).record_read(&name, &slice);
            return Ok(read_answer(slice));
        }
        // After a timeout the next iteration answers with what there is.
        let _ = tokio::time::timeout_at(deadline, appended).await;
    }
}

fn read_answer(slice: ReadSlice) -> Response {
    let records = slice
        .records
        .into_iter()
        .map(|record| ReadRecord {
            offset: record.offset,
            data: record.data,
        })
        .collect();
    let answer = ReadAnswer {
        records,
        end: slice.end,
        start: slice.start,
    };
    json_answer(StatusCode::OK, &answer)
}

fn stream_name(request: &Request) -> Result<String, Refusal> {
    request
        .param("stream")
        .map_err(|_| refusal(StatusCode::BAD_REQUEST))
}

/// Waits for `slow_ms`, then checks the faults that refuse or cut calls.
async fn wait_and_check(state: &LogState) -> Result<LogFaults, Refusal> {
    let slow_ms = state.faults().slow_ms;
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    check_faults(state)
}

fn check_faults(state: &LogState) -> Result<LogFaults, Refusal> {
    let faults = state.faults();
    if faults.down {
        return Err(Box::new(cut_answer()));
    }
    if faults.refuse {
        return Err(refusal(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(faults)
}

/// Decrements a counted fault; returns false if the counter is already 0.
fn consume_fault(state: &LogState, counter: fn(&mut LogFaults) -> &mut u32) -> bool {
    let mut faults = lock(&state.faults);
    let remaining = counter(&mut faults);
    let taken = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    taken
}
