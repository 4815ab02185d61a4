//! HTTP/1.1 connections to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::body::CallBody;
use super::gate::{GatedStream, WriteGate};

/// An open connection with the gate that guards its writes.
#[derive(Debug)]
pub(super) struct BackendConnection {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<CallBody>,
    pub(super) gate: Arc<WriteGate>,
    pub(super) idle_since: Instant,
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
    let (sender, driver) = Builder::new()
        .max_header_size(header_bytes)
        .handshake(TokioIo::new(gated))
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
    })
}
