//! HTTP/1.1 connections to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use ward_http::{FairStream, HeadLimit};
use ward_protocol::RequestId;

use super::body::CallBody;
use super::gate::{GatedStream, WriteGate};

/// Maximum number of requests on a connection, which keeps their ids.
const MAX_REQUESTS: usize = 256;

/// An open connection with the gate that guards its writes.
#[derive(Debug)]
pub(super) struct BackendConnection {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<CallBody>,
    pub(super) gate: Arc<WriteGate>,
    pub(super) idle_since: Instant,
    /// Ids of the requests sent on the connection.
    carried: Vec<RequestId>,
    /// Armed for each request, and lifted when the header of its answer is complete.
    pub(super) head_limit: HeadLimit,
}

impl BackendConnection {
    /// Whether a request with this id was sent on the connection. A late copy of its
    /// answer would bear the right id when the request comes again.
    pub(super) fn has_carried(&self, request: RequestId) -> bool {
        self.carried.contains(&request)
    }

    /// Records a request that is about to be sent.
    pub(super) fn record_request(&mut self, request: RequestId) {
        self.carried.push(request);
        self.head_limit.arm();
    }

    /// Whether the connection can carry another request.
    pub(super) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.carried.len() < MAX_REQUESTS
    }
}

/// Opens a connection and starts the task that drives it.
pub(super) async fn open_connection(
    address: SocketAddr,
    header_bytes: usize,
) -> io::Result<BackendConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let gate = Arc::new(WriteGate::new());
    let gated = GatedStream::new(stream, Arc::clone(&gate));
    let head_limit = HeadLimit::default();
    let stream = FairStream::new(gated, head_limit.clone());
    let (sender, driver) = Builder::new()
        .max_header_size(header_bytes)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // The future of the request on this connection reports the error.
        let _ = driver.await;
    });
    Ok(BackendConnection {
        address,
        sender,
        gate,
        idle_since: Instant::now(),
        carried: Vec::new(),
        head_limit,
    })
}
