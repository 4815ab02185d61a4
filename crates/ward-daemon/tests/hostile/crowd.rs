//! Crowds of connections that send what they are given and stay open.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::door::CrowdDoor;

/// Time after which a piece that the daemon does not take is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// What each caller of a crowd sends, in order.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendPlan {
    /// Bytes that are sent, each piece with its own write.
    pub(crate) pieces: Vec<Vec<u8>>,
    /// Time between two pieces.
    pub(crate) pause: Duration,
}

/// Connections of a crowd; all are closed when it is dropped.
pub(crate) struct OpenCrowd {
    callers: JoinSet<()>,
    sent: Arc<AtomicUsize>,
    size: usize,
}

impl OpenCrowd {
    /// Opens `size` connections to a door, each of which sends what `plan` gives it.
    pub(crate) fn open(
        door: &CrowdDoor,
        size: usize,
        plan: impl Fn(&CrowdDoor, usize) -> SendPlan,
    ) -> Self {
        let sent = Arc::new(AtomicUsize::new(0));
        let mut callers = JoinSet::new();
        for number in 0..size {
            let plan = plan(door, number);
            let (address, sent) = (door.address, Arc::clone(&sent));
            callers.spawn(async move {
                // The daemon may refuse the connection, or close it at any moment.
                let stream = TcpStream::connect(address).await.ok();
                let stream = match stream {
                    Some(stream) => send_all(stream, plan).await,
                    None => None,
                };
                sent.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
                drop(stream);
            });
        }
        Self {
            callers,
            sent,
            size,
        }
    }

    /// Whether each caller has sent all that the daemon takes from it.
    pub(crate) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed) == self.size
    }

    /// Closes all connections.
    pub(crate) async fn close(mut self) {
        self.callers.shutdown().await;
    }
}

/// Sends all pieces and reads nothing; returns the connection unless it broke.
async fn send_all(mut stream: TcpStream, plan: SendPlan) -> Option<TcpStream> {
    stream.set_nodelay(true).ok()?;
    for piece in &plan.pieces {
        match tokio::time::timeout(SEND_TIMEOUT, stream.write_all(piece)).await {
            Ok(written) => written.ok()?,
            Err(_) => return Some(stream),
        }
        if !plan.pause.is_zero() {
            tokio::time::sleep(plan.pause).await;
        }
    }
    Some(stream)
}
