//! Client that sends requests as callers do.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};
use ward_http::{CallBounds, CallError, HttpClient, HttpReply, json_request};
use ward_protocol::TimeSpan;

const BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_secs(60),
    answer_bytes: 64 << 20,
};
const EVENT_PREFIX: &str = "data: ";
const LAST_EVENT: &str = "[DONE]";

/// A streamed chat completion, reassembled from its events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamText {
    /// Concatenated text of all events.
    pub text: String,
    /// Whether the stream ended with the `[DONE]` event rather than being cut.
    pub complete: bool,
}

impl StreamText {
    /// Reassembles the events of an answer's body; events that are not JSON count as
    /// empty.
    #[must_use]
    pub fn from_body(body: &[u8]) -> Self {
        let mut stream = Self::default();
        let body = String::from_utf8_lossy(body);
        let events = body
            .lines()
            .filter_map(|line| line.strip_prefix(EVENT_PREFIX));
        for event in events {
            if event == LAST_EVENT {
                stream.complete = true;
                continue;
            }
            let event: Value = serde_json::from_str(event).unwrap_or_default();
            let piece = &event["choices"][0]["delta"]["content"];
            stream.text.push_str(piece.as_str().unwrap_or_default());
        }
        stream
    }
}

/// Client of one daemon.
#[derive(Debug, Clone)]
pub struct CallerClient {
    address: SocketAddr,
    client: HttpClient,
}

impl CallerClient {
    /// A client that sends all requests to `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::new(),
        }
    }

    /// Sends a chat completion request that names no deadline.
    ///
    /// # Errors
    /// When no complete answer arrives.
    pub async fn chat(
        &self,
        model: &str,
        prompt: &str,
        stream: bool,
    ) -> Result<HttpReply, CallError> {
        let request = self.chat_request(model, prompt, stream)?;
        self.client.call(request, BOUNDS).await
    }

    /// Sends a chat completion request with `limit` as its deadline, in the header
    /// `request-timeout`.
    ///
    /// # Errors
    /// When no complete answer arrives.
    pub async fn chat_within(
        &self,
        model: &str,
        prompt: &str,
        limit: TimeSpan,
    ) -> Result<HttpReply, CallError> {
        let mut request = self.chat_request(model, prompt, false)?;
        let millis = HeaderValue::from(limit.millis());
        request.headers_mut().insert("request-timeout", millis);
        self.client.call(request, BOUNDS).await
    }

    fn chat_request(
        &self,
        model: &str,
        prompt: &str,
        stream: bool,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let body = json!({
            "model": model,
            "stream": stream,
            "max_tokens": 16,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let body = Bytes::from(body.to_string());
        json_request(Method::POST, self.address, "/v1/chat/completions", body)
    }

    /// Calls a plain service; `key` is the idempotency key, which is required for
    /// services whose calls must not run twice.
    ///
    /// # Errors
    /// When no complete answer arrives.
    pub async fn call_service(
        &self,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<HttpReply, CallError> {
        let path = format!("/services/{path}");
        let mut request = json_request(Method::POST, self.address, &path, body.to_owned())?;
        let value = key.and_then(|key| key.parse().ok());
        if let Some(value) = value {
            request.headers_mut().insert("idempotency-key", value);
        }
        self.client.call(request, BOUNDS).await
    }

    /// Sends a GET request for a path.
    ///
    /// # Errors
    /// When no complete answer arrives.
    pub async fn get(&self, path: &str) -> Result<HttpReply, CallError> {
        let request = json_request(Method::GET, self.address, path, "")?;
        self.client.call(request, BOUNDS).await
    }
}
