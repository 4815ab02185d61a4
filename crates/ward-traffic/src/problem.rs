//! Error answers to callers: refusals and failures.
//!
//! The body is a problem document (RFC 9457). It also has an `error` object,
//! because the callers' client libraries read the message from there.

use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use viz::Body;
use ward_protocol::{RequestId, RequestOutcome, ResultCode, TimeSpan};

use crate::REQUEST_ID;

const PROBLEM_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Refusal or failure of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProblemReport {
    /// Numbered result code; it also sets the HTTP status.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// Text that describes this error.
    pub detail: String,
    /// Value of `Retry-After`; `None` leaves the header out.
    pub retry_after: Option<TimeSpan>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    code: u16,
    name: &'static str,
    help: &'static str,
    outcome: RequestOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<RequestId>,
    error: ProblemError<'a>,
}

#[derive(Serialize)]
struct ProblemError<'a> {
    message: &'a str,
    r#type: &'static str,
    code: String,
}

impl ProblemReport {
    /// Refusal of a request that did not run; a code with status 503 gets a
    /// `Retry-After` of one second.
    #[must_use]
    pub fn refused(code: ResultCode, detail: impl Into<String>) -> Self {
        let retry_after = (code.status() == StatusCode::SERVICE_UNAVAILABLE.as_u16())
            .then_some(DEFAULT_RETRY_AFTER);
        Self {
            code,
            outcome: RequestOutcome::NotRun,
            detail: detail.into(),
            retry_after,
        }
    }

    /// Failure of a request that ran or began to run.
    #[must_use]
    pub fn failed(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::Failed,
            ..Self::refused(code, detail)
        }
    }

    /// Report for a request that may or may not have run.
    #[must_use]
    pub fn in_doubt(detail: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::InDoubt,
            ..Self::refused(ResultCode::InDoubt, detail)
        }
    }

    /// The same report with a `Retry-After`.
    #[must_use]
    pub fn with_retry_after(self, span: TimeSpan) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }

    /// The report as the body of a problem document.
    #[must_use]
    pub fn to_json(&self, request: Option<RequestId>) -> Vec<u8> {
        let body = ProblemBody {
            r#type: "about:blank",
            title: self.code.title(),
            status: self.code.status(),
            detail: &self.detail,
            code: self.code.number(),
            name: self.code.name(),
            help: self.code.help(),
            outcome: self.outcome,
            request_id: request,
            error: ProblemError {
                message: &self.detail,
                r#type: self.code.name(),
                code: self.code.number().to_string(),
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// The report as the HTTP response to the caller.
    #[must_use]
    pub fn response(&self, request: Option<RequestId>) -> Response<Body> {
        let mut response = Response::new(Body::Full(self.to_json(request).into()));
        let status = StatusCode::from_u16(self.code.status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, PROBLEM_TYPE);
        if let Some(span) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(span)));
        }
        if let Some(value) = request.and_then(id_value) {
            headers.insert(REQUEST_ID, value);
        }
        if matches!(
            self.code,
            ResultCode::Stopping | ResultCode::TooManyConnections
        ) {
            headers.insert(CONNECTION, CLOSE);
        }
        response
    }
}

/// A request id as a header value.
#[must_use]
pub(crate) fn id_value(request: RequestId) -> Option<HeaderValue> {
    HeaderValue::from_str(&request.to_string()).ok()
}

/// Seconds rounded up, one at least.
fn whole_seconds(span: TimeSpan) -> u64 {
    span.millis().div_ceil(1_000).max(1)
}
