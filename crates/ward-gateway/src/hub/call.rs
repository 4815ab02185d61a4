//! Single calls to other daemons, each on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use ward_fleet::{CoordinatorMessage, MemberMessage};

use super::frame::{PeerError, encode_frame, read_frame, read_paced, write_paced};

/// Maximum time until a daemon has accepted the connection, and between two parts of a long
/// answer.
const PART_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of daemons that are asked in one round, one after another.
pub(super) const MAX_QUERIED_DAEMONS: usize = 4;

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

/// Sends a request to a daemon; returns its answer, which may take long, as long as it goes
/// on.
pub(super) async fn query_daemon(
    address: SocketAddr,
    request: &MemberMessage,
) -> Result<CoordinatorMessage, PeerError> {
    let connect = tokio::time::timeout(PART_TIMEOUT, TcpStream::connect(address));
    let mut stream = connect.await.map_err(|_| PeerError::Timeout)??;
    write_paced(&mut stream, &encode_frame(request)?, PART_TIMEOUT).await?;
    read_paced(&mut stream, PART_TIMEOUT).await
}
