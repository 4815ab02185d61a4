//! Sends one request to one daemon and reads the answer.

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

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

quick_error! {
    /// Why a daemon gave no usable answer.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The connection was not established, so nothing was sent.
        NotSent(cause: hyper_util::client::legacy::Error) {
            display("no connection ({})", root_cause(cause))
            source(cause)
        }
        /// The request cannot be encoded, so nothing was sent.
        Request(cause: http::Error) {
            from()
            display("the request cannot be encoded ({cause})")
            source(cause)
        }
        /// The connection was lost before the answer arrived.
        ConnectionLost(cause: hyper_util::client::legacy::Error) {
            display("no answer ({})", root_cause(cause))
            source(cause)
        }
        /// The body was cut off or is too long.
        IncompleteAnswer(cause: Box<dyn std::error::Error + Send + Sync>) {
            display("the answer is incomplete ({cause})")
        }
        /// No complete answer arrived within the time limit.
        Timeout {
            display("no answer in time")
        }
        /// The answer is not the expected JSON.
        MalformedAnswer(cause: serde_json::Error) {
            from()
            display("the answer cannot be read ({cause})")
            source(cause)
        }
        /// The daemon cannot process the request in its current state.
        Unavailable(title: String) {
            display("{title}")
        }
    }
}

impl ExchangeError {
    /// Whether it is certain that the daemon received nothing of the request.
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

/// HTTP method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiMethod {
    /// For requests that only read.
    Get,
    /// For requests that check a sheet or change the plan.
    Post,
}

/// A request that can be sent to any daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: ApiMethod,
    /// Path with the query string.
    pub path: String,
    /// Body, empty for requests that only read.
    pub body: Bytes,
}

/// An answer with any HTTP status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiReply {
    /// Whether the status is 2xx.
    pub success: bool,
    /// Body, JSON for all routes that the program calls.
    pub body: Bytes,
}

impl ApiRequest {
    /// Creates a `GET` request without a query.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: ApiMethod::Get,
            path: path.to_owned(),
            body: Bytes::new(),
        }
    }

    /// Creates a `GET` request with a query.
    ///
    /// # Errors
    /// Fails when the query cannot be encoded.
    pub fn get_with(path: &str, query: &impl Serialize) -> Result<Self, CliError> {
        Ok(Self {
            method: ApiMethod::Get,
            path: with_query(path, query)?,
            body: Bytes::new(),
        })
    }

    /// Creates a `POST` request with a query and a body.
    ///
    /// # Errors
    /// Fails when the query cannot be encoded.
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

    /// Sends the request once, over a new connection.
    ///
    /// # Errors
    /// Fails when no complete answer arrives within the time limit.
    pub async fn send(
        &self,
        daemon: SocketAddr,
        token: Option<&str>,
        time_limit: Duration,
    ) -> Result<ApiReply, ExchangeError> {
        let request = self.http_request(daemon, token)?;
        match timeout(time_limit, send_request(request)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::Timeout),
        }
    }

    fn http_request(
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
    // The library must not retry a request by itself: it may submit a plan.
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
