//! Accepts connections from callers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use viz::Tree;

use super::connection::{refuse_connection, serve_connection};
use crate::core::{ServerPhase, TrafficCore};

/// Delay after a failed accept, which avoids a busy loop while the process is out of
/// file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of surplus connections that get a refusal at the same time;
/// further ones are closed without an answer.
const MAX_REFUSALS: usize = 64;

/// Accepts connections until the server is in the closing phase.
pub(super) async fn accept_callers(listener: TcpListener, tree: Arc<Tree>, core: Arc<TrafficCore>) {
    let slots = Arc::new(Semaphore::new(core.limits.connections as usize));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let mut phase = core.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == ServerPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &tree, &core, &slots, &refusals),
            Err(error) => back_off(&core, &error).await,
        }
    }
}

fn admit(
    stream: TcpStream,
    tree: &Arc<Tree>,
    core: &Arc<TrafficCore>,
    slots: &Arc<Semaphore>,
    refusals: &Arc<Semaphore>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(core.logger, "traffic: TCP_NODELAY not set"; "cause" => %error);
    }
    if let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
        let (tree, core) = (Arc::clone(tree), Arc::clone(core));
        tokio::spawn(async move {
            serve_connection(stream, tree, &core).await;
            drop(slot);
        });
        return;
    }
    if let Ok(slot) = Arc::clone(refusals).try_acquire_owned() {
        let core = Arc::clone(core);
        tokio::spawn(async move {
            refuse_connection(stream, &core).await;
            drop(slot);
        });
    }
}

async fn back_off(core: &TrafficCore, error: &io::Error) {
    warn!(core.logger, "traffic: accept failed"; "cause" => %error);
    sleep(ACCEPT_BACKOFF).await;
}
