//! A network link between one client and one server.
//!
//! Faults of the other stand-ins affect all of their clients. Faults of a link
//! affect only clients that connect through it, so that one daemon can lose its
//! connection to the log while the others keep theirs.

mod faults;
mod forward;
mod history;
mod routes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::sync::{oneshot, watch};

use crate::error::StandinError;
use crate::server::{CloseRule, RunningStandin, bind, crash_switch, serve};

pub use faults::LinkFaults;
pub use history::LinkHistory;

/// Start settings of a link.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Address that clients connect to; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Address that serves faults and history; port 0 takes any free port.
    pub control: SocketAddr,
    /// Address of the server that the link forwards to.
    pub target: SocketAddr,
    /// Faults that are active from the start.
    pub faults: LinkFaults,
}

/// Handle of a running link, which forwards connections until the handle is dropped.
#[derive(Debug)]
pub struct RunningLink {
    /// Address that clients connect to, with the port that was assigned.
    pub address: SocketAddr,
    /// Server of the control address, which serves faults and history.
    pub control: RunningStandin,
    /// Stops the link when dropped.
    _stop: oneshot::Sender<()>,
}

impl RunningLink {
    /// Waits until the server of the control address has stopped.
    pub async fn ended(self) {
        self.control.ended().await;
    }
}

/// Starts links.
#[derive(Debug, Clone, Copy)]
pub struct LinkStandin;

impl LinkStandin {
    /// Starts a link in the current Tokio runtime.
    ///
    /// # Errors
    /// If one of the two addresses cannot be bound.
    pub async fn start(settings: LinkSettings) -> Result<RunningLink, StandinError> {
        let listen_error = |address| move |cause| StandinError::Listen(address, cause);
        let listener = bind(settings.listen).await?;
        let control = bind(settings.control).await?;
        let address = listener
            .local_addr()
            .map_err(listen_error(settings.listen))?;
        let state = Arc::new(LinkState {
            target: settings.target,
            faults: watch::Sender::new(settings.faults),
            history: Mutex::default(),
        });
        let (_, signals) = crash_switch();
        let control = serve(
            control,
            routes::router(&state),
            CloseRule::Drop,
            signals,
            || {},
        )
        .map_err(listen_error(settings.control))?;
        let (stop, stopped) = oneshot::channel();
        tokio::spawn(forward::accept(state, listener, stopped));
        Ok(RunningLink {
            address,
            control,
            _stop: stop,
        })
    }
}

/// State shared by the forwarding tasks and the control routes of a link.
struct LinkState {
    target: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    history: Mutex<LinkHistory>,
}
