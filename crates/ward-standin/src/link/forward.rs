//! Forwards bytes in both directions, subject to the link's faults.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::LinkState;
use super::faults::LinkFaults;
use super::history::LinkHistory;
use crate::server::lock;

const CHUNK_BYTES: usize = 16 << 10;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// One direction of a connection: its hold fault and its byte counter.
struct LinkDirection {
    is_held: fn(&LinkFaults) -> bool,
    byte_counter: fn(&mut LinkHistory) -> &mut u64,
}

const REQUESTS: LinkDirection = LinkDirection {
    is_held: |faults| faults.hold_requests,
    byte_counter: |history| &mut history.request_bytes,
};
const ANSWERS: LinkDirection = LinkDirection {
    is_held: |faults| faults.hold_answers,
    byte_counter: |history| &mut history.answer_bytes,
};

/// Accepts connections until the link is stopped.
pub(super) async fn accept(
    state: Arc<LinkState>,
    listener: TcpListener,
    mut stopped: oneshot::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((client, _)) => {
                    connections.spawn(forward(state.clone(), client));
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            },
        }
    }
}

/// Forwards one connection until either side closes it or the link goes down.
async fn forward(state: Arc<LinkState>, client: TcpStream) {
    lock(&state.history).connections += 1;
    let mut faults = state.faults.subscribe();
    tokio::select! {
        biased;
        // Cannot fail: `state` keeps the sender alive.
        _ = faults.wait_for(|faults| faults.down) => lock(&state.history).cut += 1,
        // An I/O error on either side closes the connection, as a regular close does.
        _ = forward_both_ways(&state, client) => {}
    }
}

async fn forward_both_ways(state: &LinkState, client: TcpStream) -> io::Result<()> {
    let server = TcpStream::connect(state.target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::try_join!(
        copy_direction(state, &REQUESTS, client_read, server_write),
        copy_direction(state, &ANSWERS, server_read, client_write),
    )?;
    Ok(())
}

async fn copy_direction(
    state: &LinkState,
    direction: &LinkDirection,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> io::Result<()> {
    let mut faults = state.faults.subscribe();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let delay = faults.borrow().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        // Cannot fail: `state` keeps the sender alive.
        let _ = faults.wait_for(|faults| !(direction.is_held)(faults)).await;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
        *(direction.byte_counter)(&mut lock(&state.history)) += count as u64;
    }
}
