//! HTTP calls with limits on their time and the size of the answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use ward_protocol::TimeSpan;

use crate::connector::FairConnector;
use crate::error::CallError;
use crate::fair::HeadLimit;
use crate::reply::HttpReply;

/// Time after which an idle connection in the pool is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections to one address in the pool.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Limits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallBounds {
    /// Maximum time from the start of the call until the complete answer has arrived.
    pub timeout: TimeSpan,
    /// Maximum size of the answer's body in bytes.
    pub answer_bytes: usize,
}

/// Limits of an answer that may take as long as it makes progress.
#[derive(Debug, Clone, Copy)]
pub struct AnswerPace {
    /// Maximum time between two parts of the body.
    pub part_timeout: TimeSpan,
    /// Maximum time from the end of the answer's head until its body is complete.
    pub body_timeout: TimeSpan,
}

/// Tells whether the answer to a call has begun.
#[derive(Debug, Default)]
pub struct AnswerProgress(AtomicBool);

impl AnswerProgress {
    /// Whether the head of the answer has arrived.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record_begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// HTTP client with a connection pool; clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<FairConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::with_max_idle(MAX_IDLE_CONNECTIONS)
    }

    fn with_max_idle(max_idle: usize) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(FairConnector::new());
        Self { client }
    }

    /// Sends a request once and reads its complete answer, whatever its status.
    ///
    /// # Errors
    /// When no complete answer arrives within the limits; [`CallError::is_unsent`]
    /// says whether the call certainly had no effect.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        bounds: CallBounds,
    ) -> Result<HttpReply, CallError> {
        within(bounds.timeout, async {
            let answer = self.begin(request).await?;
            read_answer(answer, bounds.answer_bytes, bounds.timeout).await
        })
        .await
    }

    /// Like [`Self::call`], but the timeout ends with the head of the answer; the body may
    /// take longer, as long as it arrives at the pace.
    ///
    /// # Errors
    /// The same as of [`Self::call`].
    pub async fn call_paced(
        &self,
        request: Request<Full<Bytes>>,
        bounds: CallBounds,
        pace: AnswerPace,
        progress: &AnswerProgress,
    ) -> Result<HttpReply, CallError> {
        let answer = within(bounds.timeout, self.begin(request)).await?;
        progress.record_begin();
        let reply = read_answer(answer, bounds.answer_bytes, pace.part_timeout);
        within(pace.body_timeout, reply).await
    }

    /// Sends a request and waits for the head of its answer, without a timeout.
    async fn begin(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        let answer = self.client.request(request).await.map_err(|cause| {
            if cause.is_connect() {
                CallError::NotSent(Box::new(cause))
            } else {
                CallError::Lost(Box::new(cause))
            }
        })?;
        if let Some(head_limit) = answer.extensions().get::<HeadLimit>() {
            head_limit.lift();
        }
        Ok(answer)
    }
}

/// Bounds the time of a part of a call.
async fn within<T>(
    timeout: TimeSpan,
    part: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(timeout.duration(), part).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Timeout(timeout)),
    }
}

/// Reads an answer whose body has at most `limit` bytes, with at most `part_timeout` between
/// two parts.
async fn read_answer(
    answer: Response<Incoming>,
    limit: usize,
    part_timeout: TimeSpan,
) -> Result<HttpReply, CallError> {
    let (head, body) = answer.into_parts();
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    while let Some(frame) = within(part_timeout, async { Ok(body.frame().await) }).await? {
        let frame = frame.map_err(|cause| {
            if cause.is::<LengthLimitError>() {
                CallError::TooLong(limit)
            } else {
                CallError::Lost(cause)
            }
        })?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    // Another call may have taken the connection already; its limit is then in force
    // from its next write on.
    if let Some(head_limit) = head.extensions.get::<HeadLimit>() {
        head_limit.arm();
    }
    Ok(HttpReply {
        status: head.status,
        headers: head.headers,
        body: bytes.freeze(),
    })
}

/// HTTP client that sends each call on a connection of its own, for servers whose answers
/// don't name their request; clones may be used at the same time.
#[derive(Debug, Clone)]
pub struct UnpooledClient {
    client: HttpClient,
}

impl Default for UnpooledClient {
    fn default() -> Self {
        Self::new()
    }
}

impl UnpooledClient {
    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        Self {
            // Without idle connections, the library has no pool.
            client: HttpClient::with_max_idle(0),
        }
    }

    /// Sends a request once and reads its complete answer, whatever its status.
    ///
    /// # Errors
    /// The same as of [`HttpClient::call`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        bounds: CallBounds,
    ) -> Result<HttpReply, CallError> {
        self.client.call(request, bounds).await
    }
}

/// Builds a request with a JSON body to a path at an address.
///
/// # Errors
/// When the path is not valid in a URI.
pub fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, CallError> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))?;
    Ok(request)
}
