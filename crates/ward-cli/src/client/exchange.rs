//! One request to one daemon and its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::Serialize;
use tokio::time::timeout;

use crate::error::CliError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Most bytes of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

quick_error! {
    /// Why a daemon gave no usable answer.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No connection came about, so nothing was sent.
        NotSent(cause: hyper_util::client::legacy::Error) {
            display("no connection ({})", root_cause(cause))
            source(cause)
        }
        /// The request cannot be written, so nothing was sent.
        Request(cause: http::Error) {
            from()
            display("the request cannot be written ({cause})")
            source(cause)
        }
        /// The connection broke before the answer came.
        ConnectionLost(cause: hyper_util::client::legacy::Error) {
            display("no answer ({})", root_cause(cause))
            source(cause)
        }
        /// The answer broke off or is too long.
        IncompleteAnswer(cause: Box<dyn std::error::Error + Send + Sync>) {
            display("the answer broke off ({cause})")
        }
        /// No answer came in time.
        Timeout {
            display("no answer in time")
        }
        /// The answer cannot be understood.
        MalformedAnswer(cause: serde_json::Error) {
            from()
            display("the answer cannot be read ({cause})")
            source(cause)
        }
        /// The daemon cannot answer now.
        Unavailable(title: String) {
            display("{title}")
        }
    }
}

impl ExchangeError {
    /// Whether the daemon certainly saw nothing of the request.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Request(_))
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// Method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiMethod {
    /// Reads.
    Get,
    /// Checks or changes.
    Post,
}

/// A request, the same for every daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiExchange {
    /// Method.
    pub method: ApiMethod,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// An answer of any status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiReply {
    /// Whether the status is one of success.
    pub success: bool,
    /// Body.
    pub body: Bytes,
}

impl ApiExchange {
    /// A request that reads.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: ApiMethod::Get,
            path: path.to_owned(),
            body: Bytes::new(),
        }
    }

    /// A request that reads, with a query.
    ///
    /// # Errors
    /// When the query cannot be written.
    pub fn get_with(path: &str, query: &impl Serialize) -> Result<Self, CliError> {
        Ok(Self {
            method: ApiMethod::Get,
            path: with_query(path, query)?,
            body: Bytes::new(),
        })
    }

    /// A request with a query and a body.
    ///
    /// # Errors
    /// When the query cannot be written.
    pub fn post(
        path: &str,
        query: &impl Serialize,
        body: impl Into<Bytes>,
    ) -> Result<Self, CliError> {
        Ok(Self {
            method: ApiMethod::Post,
            path: with_query(path, query)?,
            body: body.into(),
        })
    }

    /// Sends the request once, over a connection of its own.
    ///
    /// # Errors
    /// When no whole answer came in the time limit.
    pub async fn send(
        &self,
        daemon: SocketAddr,
        token: Option<&str>,
        time_limit: Duration,
    ) -> Result<ApiReply, ExchangeError> {
        let request = self.request(daemon, token)?;
        match timeout(time_limit, send_request(request)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::Timeout),
        }
    }

    fn request(
        &self,
        daemon: SocketAddr,
        token: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let method = match self.method {
            ApiMethod::Get => Method::GET,
            ApiMethod::Post => Method::POST,
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{daemon}{}", self.path));
        if let Some(token) = token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        builder.body(Full::new(self.body.clone()))
    }
}

fn with_query(path: &str, query: &impl Serialize) -> Result<String, CliError> {
    let query = serde_urlencoded::to_string(query)?;
    if query.is_empty() {
        return Ok(path.to_owned());
    }
    Ok(format!("{path}?{query}"))
}

async fn send_request(request: Request<Full<Bytes>>) -> Result<ApiReply, ExchangeError> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // The library must not repeat a request on its own: one may submit a plan.
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector);
    let response = client.request(request).await.map_err(|error| {
        if error.is_connect() {
            ExchangeError::NotSent(error)
        } else {
            ExchangeError::ConnectionLost(error)
        }
    })?;
    let success = response.status().is_success();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(ExchangeError::IncompleteAnswer)?
        .to_bytes();
    Ok(ApiReply { success, body })
}
