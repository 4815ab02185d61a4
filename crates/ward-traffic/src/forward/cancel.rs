//! Ends a request at its engine when the caller leaves.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::runtime::Handle;
use ward_protocol::RequestId;

use crate::core::TrafficCore;

/// Cancels its request at the engine unless it is disarmed first.
#[derive(Debug)]
pub(crate) struct CancelGuard {
    core: Arc<TrafficCore>,
    address: SocketAddr,
    request: RequestId,
    armed: bool,
}

impl CancelGuard {
    pub(crate) fn new(core: &Arc<TrafficCore>, address: SocketAddr, request: RequestId) -> Self {
        Self {
            core: Arc::clone(core),
            address,
            request,
            armed: true,
        }
    }

    /// The request ended; there is nothing to cancel.
    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        self.core.metrics.cancelled.inc();
        let client = self.core.client.clone();
        let (address, request) = (self.address, self.request);
        let work = self.core.work.enter();
        runtime.spawn(async move {
            // An engine that cannot be reached has lost the request anyway.
            let _ = client.cancel(address, request).await;
            drop(work);
        });
    }
}
