//! Accepts connections until stopped; can simulate a crash and restart.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use viz::{Request, Responder, Response, Router, Tree};

use super::answer::CutMark;
use crate::error::StandinError;

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const REBIND_DELAY: Duration = Duration::from_millis(5);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);
const CRASH_QUEUE_CAPACITY: usize = 4;
const BACKLOG: u32 = 1_024;

quick_error! {
    #[derive(Debug)]
    enum ServeError {
        Cut {
            display("the connection is cut on purpose")
        }
        Never(cause: Infallible) {
            from()
            display("{cause}")
        }
    }
}

/// Handle of a running stand-in, which serves until the handle is stopped or dropped.
#[derive(Debug)]
pub struct RunningStandin {
    /// Address of the listener, with the port that was assigned.
    pub address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl RunningStandin {
    /// Closes the listener and drops every connection.
    pub fn stop(self) {
        // Fails only if the accept loop has already ended.
        let _ = self.stop.send(());
    }

    /// Waits until the stand-in has stopped.
    pub async fn ended(mut self) {
        self.stop.closed().await;
    }
}

/// Sender by which a handler crashes its own server.
#[derive(Debug, Clone)]
pub(crate) struct CrashSwitch {
    sender: mpsc::Sender<Duration>,
}

impl CrashSwitch {
    /// Drops every connection and refuses new ones for `downtime`.
    pub(crate) fn crash(&self, downtime: Duration) {
        // If the queue is full, enough crashes are already pending; this one is dropped.
        let _ = self.sender.try_send(downtime);
    }
}

/// Receiving side of a [`CrashSwitch`], held by the accept loop.
#[derive(Debug)]
pub(crate) struct ServerSignals {
    crash: mpsc::Receiver<Duration>,
}

/// What happens to a request whose client closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseRule {
    /// The handler is dropped at its current await point.
    Drop,
    /// The handler runs to completion.
    Finish,
}

/// Creates a crash switch and the signals that the server receives from it.
pub(crate) fn crash_switch() -> (CrashSwitch, ServerSignals) {
    let (sender, crash) = mpsc::channel(CRASH_QUEUE_CAPACITY);
    (CrashSwitch { sender }, ServerSignals { crash })
}

pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, StandinError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StandinError::Listen(address, cause))
}

/// Serves a router until stopped; `on_crash` runs after a crash has dropped all connections.
pub(crate) fn serve(
    listener: TcpListener,
    router: Router,
    rule: CloseRule,
    mut signals: ServerSignals,
    on_crash: impl Fn() + Send + 'static,
) -> io::Result<RunningStandin> {
    let address = listener.local_addr()?;
    let (stop, mut stopped) = oneshot::channel();
    let tree = Arc::new(Tree::from(router));
    tokio::spawn(async move {
        let mut listener = listener;
        loop {
            let accepted = accept(listener, &tree, rule, &mut signals, &mut stopped);
            let Some(downtime) = accepted.await else {
                return;
            };
            let socket = reserve_port(address).await;
            on_crash();
            tokio::time::sleep(downtime).await;
            listener = listen_again(socket, address).await;
        }
    });
    Ok(RunningStandin { address, stop })
}

/// Accepts connections until a crash, whose downtime it returns, or a stop (`None`).
async fn accept(
    listener: TcpListener,
    tree: &Arc<Tree>,
    rule: CloseRule,
    signals: &mut ServerSignals,
    stopped: &mut oneshot::Receiver<()>,
) -> Option<Duration> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            // A dropped handle closes the channel and stops the server, too.
            _ = &mut *stopped => return None,
            Some(downtime) = signals.crash.recv() => {
                connections.shutdown().await;
                return Some(downtime);
            }
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(serve_client(stream, peer, tree.clone(), rule));
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            },
        }
    }
}

/// Binds without listening: connections are refused and no other process gets the port.
async fn reserve_port(address: SocketAddr) -> TcpSocket {
    loop {
        match bind_socket(address) {
            Ok(socket) => return socket,
            Err(_) => tokio::time::sleep(REBIND_DELAY).await,
        }
    }
}

async fn listen_again(socket: TcpSocket, address: SocketAddr) -> TcpListener {
    let mut socket = socket;
    loop {
        match socket.listen(BACKLOG) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_DELAY).await,
        }
        socket = reserve_port(address).await;
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections closed a moment ago may still occupy the port (TIME_WAIT).
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn serve_client(stream: TcpStream, peer: SocketAddr, tree: Arc<Tree>, rule: CloseRule) {
    // With Nagle's algorithm, small answers would wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(peer));
    let service = service_fn(move |request: Request<Incoming>| {
        responder.call(request).map(|result| cut_if_marked(result?))
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .half_close(rule == CloseRule::Finish)
        .serve_connection(TokioIo::new(stream), service);
    // Errors of one connection concern only its client.
    let _ = served.await;
}

fn cut_if_marked(answer: Response) -> Result<Response, ServeError> {
    if answer.extensions().get::<CutMark>().is_some() {
        return Err(ServeError::Cut);
    }
    Ok(answer)
}
