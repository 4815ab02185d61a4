//! Calls that act on a request already sent to an engine: resume, cancel, KV cache transfer.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::time::Instant;
use ward_protocol::RequestId;

use super::answer::BackendAnswer;
use super::body::CallBody;
use super::call::{BackendCall, CallError, ConnectionUse};
use super::client::{BackendClient, CONTROL_TIMEOUT};

impl BackendClient {
    /// Resumes the stream of a request from token `from`.
    ///
    /// # Errors
    ///
    /// The engine cannot be reached or its answer is not valid.
    pub async fn resume(
        &self,
        address: SocketAddr,
        request: RequestId,
        from: u64,
    ) -> Result<BackendAnswer, CallError> {
        let path = format!("/v1/requests/{request}/resume?from={from}");
        self.send_control(address, Method::POST, &path, request, Bytes::new())
            .await
    }

    /// Cancels a request; returns whether the engine knew it.
    ///
    /// # Errors
    ///
    /// The engine cannot be reached or its answer is not valid.
    pub async fn cancel(&self, address: SocketAddr, request: RequestId) -> Result<bool, CallError> {
        let path = format!("/v1/requests/{request}");
        let answer = self
            .send_control(address, Method::DELETE, &path, request, Bytes::new())
            .await?;
        Ok(answer.status.is_success())
    }

    /// Reads the KV cache of a request, at most `limit` bytes; `None` when the engine has none.
    ///
    /// # Errors
    ///
    /// The engine cannot be reached, its answer is not valid, or the cache is larger.
    pub async fn export_kv(
        &self,
        address: SocketAddr,
        request: RequestId,
        limit: usize,
    ) -> Result<Option<Bytes>, CallError> {
        let path = format!("/v1/requests/{request}/kv");
        let answer = self
            .send_control(address, Method::GET, &path, request, Bytes::new())
            .await?;
        if answer.status != StatusCode::OK {
            return Ok(None);
        }
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        answer.body.read_all(limit, deadline).await.map(Some)
    }

    /// Sends the KV cache of a request to another engine; returns whether that engine accepted it.
    ///
    /// # Errors
    ///
    /// The engine cannot be reached or its answer is not valid.
    pub async fn import_kv(
        &self,
        address: SocketAddr,
        request: RequestId,
        cache: Bytes,
    ) -> Result<bool, CallError> {
        let path = format!("/v1/requests/{request}/kv");
        let answer = self
            .send_control(address, Method::PUT, &path, request, cache)
            .await?;
        Ok(answer.status.is_success())
    }

    async fn send_control(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        request: RequestId,
        body: Bytes,
    ) -> Result<BackendAnswer, CallError> {
        let target = path
            .parse::<Uri>()
            .map_err(|error| CallError::Malformed(error.into()))?;
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        self.send(BackendCall {
            address,
            method,
            target,
            headers: HeaderMap::new(),
            body: CallBody::from(body),
            request,
            send_by: deadline,
            answer_by: deadline,
            connection: ConnectionUse::Pooled,
        })
        .await
    }
}
