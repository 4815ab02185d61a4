//! Single calls to other daemons, each on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use ward_fleet::CoordinatorMessage;

use super::frame::{PeerError, read_frame};

/// Sends an encoded message to a daemon; returns its answer.
pub(crate) async fn call_daemon(
    address: SocketAddr,
    frame: &[u8],
    timeout: Duration,
) -> Result<CoordinatorMessage, PeerError> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(frame).await?;
        read_frame(&mut stream).await?.ok_or(PeerError::Unexpected)
    };
    let answer = tokio::time::timeout(timeout, exchange).await;
    answer.unwrap_or(Err(PeerError::Timeout))
}
