//! Client that sends calls to backend servers over pooled connections.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use ward_protocol::{RequestId, TimeSpan};

use super::answer::{AnswerBody, BackendAnswer};
use super::body::CallBody;
use super::call::{BackendCall, CallError, ConnectionUse};
use super::connection::{BackendConnection, open_connection};
use super::pool::ConnectionPool;

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time in which an idle connection must accept the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_IDLE_PER_BACKEND: usize = 256;

/// Limits on connections to backend servers.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Time allowed for opening a connection.
    pub connect_timeout: TimeSpan,
    /// Time after which an idle connection is dropped.
    pub idle_timeout: TimeSpan,
    /// Size limit of an answer's header in bytes.
    pub max_header_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: TimeSpan::from_millis(1_000),
            // Common servers close an idle connection after 5 s; requests must not be sent on a
            // connection that is about to close.
            idle_timeout: TimeSpan::from_secs(4),
            max_header_bytes: 32 << 10,
        }
    }
}

/// HTTP client for all backend servers; clones share the connection pool.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pool: Arc<ConnectionPool>,
    limits: ClientLimits,
}

impl BackendClient {
    /// Creates a client with an empty pool.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        let pool = ConnectionPool::new(MAX_IDLE_PER_BACKEND, limits.idle_timeout.duration());
        Self {
            pool: Arc::new(pool),
            limits,
        }
    }

    /// Drops pooled connections that have been idle for longer than the idle timeout.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Sends a call and waits for the header of its answer.
    ///
    /// # Errors
    ///
    /// The call was not sent, its connection was lost, or the answer carries another request id;
    /// [`CallError::is_unsent`] distinguishes the first case from the others.
    pub async fn send(&self, call: BackendCall) -> Result<BackendAnswer, CallError> {
        let request = build_request(&call)?;
        if call.connection == ConnectionUse::Pooled
            && let Some(connection) = self.pool.take(call.address, call.request)
        {
            match self.attempt(connection, &call, request).await {
                Err(CallError::NotSent) => {}
                result => return result,
            }
            let connection = self.connect(&call).await?;
            return self.attempt(connection, &call, build_request(&call)?).await;
        }
        let connection = self.connect(&call).await?;
        self.attempt(connection, &call, request).await
    }

    async fn connect(&self, call: &BackendCall) -> Result<BackendConnection, CallError> {
        let limit = Instant::now() + self.limits.connect_timeout.duration();
        let open = open_connection(call.address, self.limits.max_header_bytes);
        match timeout_at(limit.min(call.send_by), open).await {
            Ok(result) => result.map_err(CallError::Connect),
            Err(_) if call.send_by <= limit => Err(CallError::Expired),
            Err(_) => Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        }
    }

    async fn attempt(
        &self,
        mut connection: BackendConnection,
        call: &BackendCall,
        request: Request<CallBody>,
    ) -> Result<BackendAnswer, CallError> {
        let ready_by = call.send_by.min(Instant::now() + READY_TIMEOUT);
        let ready = timeout_at(ready_by, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return Err(CallError::NotSent);
        }
        if Instant::now() >= call.send_by {
            self.pool.put(connection);
            return Err(CallError::Expired);
        }
        connection.record_request(call.request);
        connection.gate.arm(call.send_by);
        let answer = timeout_at(call.answer_by, connection.sender.try_send_request(request));
        let response = match answer.await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                return Err(classify_failure(&connection, || {
                    CallError::Lost(error.into_error())
                }));
            }
            Err(_) => return Err(classify_failure(&connection, || CallError::TimedOut)),
        };
        connection.head_limit.lift();
        self.check_answer(response, connection, call)
    }

    fn check_answer(
        &self,
        response: Response<Incoming>,
        connection: BackendConnection,
        call: &BackendCall,
    ) -> Result<BackendAnswer, CallError> {
        let (parts, incoming) = response.into_parts();
        if !has_request_id(&parts.headers, call.request) {
            return Err(CallError::WrongId);
        }
        if !is_framed(&call.method, parts.status, &parts.headers) {
            return Err(CallError::Unframed);
        }
        Ok(BackendAnswer {
            status: parts.status,
            headers: parts.headers,
            body: AnswerBody::new(incoming, connection, Arc::clone(&self.pool)),
        })
    }
}

fn classify_failure(
    connection: &BackendConnection,
    if_sent: impl FnOnce() -> CallError,
) -> CallError {
    let unsent = connection.gate.shut();
    if connection.gate.is_expired() {
        return CallError::Expired;
    }
    if unsent {
        return CallError::NotSent;
    }
    if_sent()
}

fn build_request(call: &BackendCall) -> Result<Request<CallBody>, CallError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.clone())
        .body(call.body.clone())
        .map_err(CallError::Malformed)?;
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    headers.insert(HOST, header_value(&call.address.to_string())?);
    headers.insert(REQUEST_ID, header_value(&call.request.to_string())?);
    Ok(request)
}

fn header_value(text: &str) -> Result<HeaderValue, CallError> {
    HeaderValue::from_str(text).map_err(|error| CallError::Malformed(error.into()))
}

fn has_request_id(headers: &HeaderMap, request: RequestId) -> bool {
    let mut values = headers.get_all(REQUEST_ID).iter();
    let Some(value) = values.next() else {
        return false;
    };
    let found = value.to_str().ok().and_then(|text| text.parse().ok());
    values.next().is_none() && found == Some(request)
}

fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let encoding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    // With an encoding other than chunked, a length does not count.
    bodiless || encoding.map_or_else(|| headers.contains_key(CONTENT_LENGTH), ends_chunked)
}

/// Whether the last encoding that is named is `chunked`.
fn ends_chunked(encodings: &HeaderValue) -> bool {
    let text = encodings.to_str().unwrap_or_default();
    let last = text.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// Time allowed for a control call (resume, cancel, KV cache), for sending and for its answer.
pub(super) const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
