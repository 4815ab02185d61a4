//! A network link between one client and one server.
//!
//! The other stand-ins fail for everybody. A link fails for those who connect
//! through it, so one daemon can lose the log while the others keep it.

mod faults;
mod history;
mod pump;
mod routes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::sync::{oneshot, watch};

use crate::error::StandinError;
use crate::server::{CloseRule, RunningStandin, bind, crash_switch, serve};

pub use faults::LinkFaults;
pub use history::LinkHistory;

/// What a link starts with.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Where clients connect; port 0 for any.
    pub listen: SocketAddr,
    /// Where faults and history are served; port 0 for any.
    pub control: SocketAddr,
    /// The server at the other end.
    pub target: SocketAddr,
    /// Faults from the start.
    pub faults: LinkFaults,
}

/// A link that carries connections until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningLink {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where faults and history are served.
    pub control: RunningStandin,
    /// Dropped, it ends the link.
    _stop: oneshot::Sender<()>,
}

impl RunningLink {
    /// Ends when the link's control address does.
    pub async fn ended(self) {
        self.control.ended().await;
    }
}

/// Starts links.
#[derive(Debug, Clone, Copy)]
pub struct LinkStandin;

impl LinkStandin {
    /// Starts a link in the present runtime.
    ///
    /// # Errors
    /// When an address cannot be used.
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
        tokio::spawn(pump::accept(state, listener, stopped));
        Ok(RunningLink {
            address,
            control,
            _stop: stop,
        })
    }
}

/// A link with its faults.
struct LinkState {
    target: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    history: Mutex<LinkHistory>,
}
