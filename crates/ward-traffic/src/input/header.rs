//! Parses the time limit, priority and idempotency key in a request's header.

use std::time::Duration;

use http::HeaderMap;
use tokio::time::Instant;
use ward_protocol::{IdempotencyKey, PriorityLevel, ResultCode, TimeSpan, TrafficLimits, WallTime};

use crate::problem::ProblemReport;

const REQUEST_TIMEOUT: &str = "request-timeout";
const PRIORITY: &str = "priority";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Time limit and priority of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTerms {
    /// Time of the request's arrival.
    pub arrived: Instant,
    /// Time after which the request is no longer sent to a backend server.
    pub deadline: Instant,
    /// The deadline by the host's clock, for comparison with times of other hosts.
    pub wall_deadline: WallTime,
    /// Priority that the caller named; `None` selects the row's priority.
    pub priority: Option<PriorityLevel>,
}

impl RequestTerms {
    /// Terms of a request that arrives now and has `limit` as its time limit.
    #[must_use]
    pub fn starting_now(limit: TimeSpan, priority: Option<PriorityLevel>) -> Self {
        let arrived = Instant::now();
        Self {
            arrived,
            deadline: arrived + limit.duration(),
            wall_deadline: WallTime::now() + limit,
            priority,
        }
    }

    /// Time left until the deadline; zero once it has passed.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Parses the time limit and priority in a request's header.
///
/// # Errors
///
/// The time limit is not a whole number of milliseconds within the allowed range.
pub fn read_terms(
    headers: &HeaderMap,
    limits: &TrafficLimits,
) -> Result<RequestTerms, ProblemReport> {
    let limit = read_time_limit(headers, limits)?;
    Ok(RequestTerms::starting_now(limit, read_priority(headers)))
}

fn read_time_limit(headers: &HeaderMap, limits: &TrafficLimits) -> Result<TimeSpan, ProblemReport> {
    let Some(value) = headers.get(REQUEST_TIMEOUT) else {
        return Ok(limits.default_deadline);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let span = millis.map(TimeSpan::from_millis);
    span.filter(|span| *span > TimeSpan::ZERO && *span <= limits.longest_deadline)
        .ok_or_else(|| {
            let detail = format!(
                "Request-Timeout must be whole milliseconds from 1 to {}",
                limits.longest_deadline.millis()
            );
            ProblemReport::refused(ResultCode::InvalidDeadline, detail)
        })
}

/// The urgency parameter of RFC 9218; a value that cannot be parsed is ignored, as
/// the RFC requires.
fn read_priority(headers: &HeaderMap) -> Option<PriorityLevel> {
    headers
        .get(PRIORITY)?
        .to_str()
        .ok()?
        .split(',')
        .find_map(|part| part.trim().strip_prefix("u="))
        .and_then(|level| level.parse().ok())
}

/// Parses the `Idempotency-Key` header; `None` if there is none.
///
/// # Errors
///
/// The key is empty, too long, or has characters that are not allowed.
pub fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ProblemReport> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let key = text.parse().map_err(|error| {
        ProblemReport::refused(
            ResultCode::MalformedRequest,
            format!("Idempotency-Key: {error}"),
        )
    })?;
    Ok(Some(key))
}
