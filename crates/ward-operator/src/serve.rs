//! Accepting operators' connections.

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

/// Most connections from operators.
pub const MAX_CONNECTIONS: usize = 128;

const HEADER_TIME: Duration = Duration::from_secs(5);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const DRAIN_TIME: Duration = Duration::from_secs(10);

/// Serves the API until `stop` is done, then lets open calls finish.
///
/// Operators' calls are short, so the drain has a fixed longest time; a caller
/// that keeps reading slowly cannot hold up the daemon's stop.
pub async fn serve_operators(
    listener: TcpListener,
    router: Router,
    stop: impl Future<Output = ()> + Send,
    log: Logger,
) {
    let tree = Arc::new(Tree::from(router));
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = stop.as_mut() => break,
            accepted = accept(&listener, &places) => accepted,
        };
        let caller = match accepted {
            Ok(caller) => caller,
            Err(cause) => {
                warn!(log, "operators: accept failed"; "cause" => %cause);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let place = caller.place;
        let tree = Arc::clone(&tree);
        let connection = connection(caller.stream, caller.peer, tree, graceful.watcher());
        tokio::spawn(async move {
            connection.await;
            drop(place);
        });
    }
    drop(listener);
    if timeout(DRAIN_TIME, graceful.shutdown()).await.is_err() {
        info!(log, "operators: stopped with calls open");
    }
}

/// A caller that was accepted, with its place among all.
struct AcceptedCaller {
    stream: TcpStream,
    peer: SocketAddr,
    place: OwnedSemaphorePermit,
}

/// Waits for a free place first, so that surplus connections stay in the backlog.
async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> std::io::Result<AcceptedCaller> {
    let place = Arc::clone(places).acquire_owned().await;
    let place = place.map_err(std::io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    Ok(AcceptedCaller {
        stream,
        peer,
        place,
    })
}

async fn connection(stream: TcpStream, peer: SocketAddr, tree: Arc<Tree>, watcher: Watcher) {
    // Without the option small answers wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIME);
    let responder = Responder::new(tree, Some(peer));
    let connection = builder.serve_connection(TokioIo::new(stream), responder);
    let connection = watcher.watch(connection.into_owned());
    // A broken connection concerns only its caller.
    let _ = connection.await;
}
