//! Accepts operators' connections and serves the API on them.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use viz::{Responder, Router, Tree};

/// Maximum number of open connections from operators.
pub const MAX_CONNECTIONS: usize = 128;

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the API until `stop` completes, then lets open calls finish.
///
/// Operators' calls are short, so the drain has a fixed timeout. A client that
/// reads slowly cannot delay the daemon's stop.
pub async fn serve_operators(
    listener: TcpListener,
    router: Router,
    stop: impl Future<Output = ()> + Send,
    logger: Logger,
) {
    let tree = Arc::new(Tree::from(router));
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = stop.as_mut() => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        let connection = match accepted {
            Ok(connection) => connection,
            Err(cause) => {
                warn!(logger, "operators: accept failed"; "cause" => %cause);
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let permit = connection.permit;
        let tree = Arc::clone(&tree);
        let serving =
            serve_connection(connection.stream, connection.peer, tree, graceful.watcher());
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    drop(listener);
    if timeout(DRAIN_TIMEOUT, graceful.shutdown()).await.is_err() {
        info!(logger, "operators: drain timed out with calls open");
    }
}

/// An accepted connection and the permit that it holds until it is closed.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

/// Acquires a permit before it accepts, so that surplus connections stay in the backlog.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<AcceptedConnection> {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.map_err(std::io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    Ok(AcceptedConnection {
        stream,
        peer,
        permit,
    })
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, tree: Arc<Tree>, watcher: Watcher) {
    // With Nagle's algorithm, small answers would wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let responder = Responder::new(tree, Some(peer));
    let connection = builder.serve_connection(TokioIo::new(stream), responder);
    let connection = watcher.watch(connection.into_owned());
    // A connection error affects only this client, so it is ignored.
    let _ = connection.await;
}
