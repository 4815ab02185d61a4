//! Cancels a request at its engine, when the caller disconnects or before the request
//! is sent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::timeout;
use ward_protocol::RequestId;

use crate::core::TrafficCore;

/// Timeout for an engine to confirm a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);

/// Cancels its request at the engine when dropped, unless it is disarmed first.
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

    /// Cancels the request and waits for the confirmation, for `max_wait` or
    /// [`CANCEL_TIMEOUT`], whichever is shorter. If `max_wait` is zero, the request is
    /// cancelled when the guard is dropped.
    ///
    /// This must complete before the request is sent again under the same id;
    /// otherwise the second attempt would be cancelled instead of the first.
    pub(crate) async fn cancel(&mut self, max_wait: Duration) {
        if max_wait.is_zero() {
            return;
        }
        self.core.metrics.requests_cancelled.inc();
        let cancelled = self.core.client.cancel(self.address, self.request);
        // An engine that cannot be reached has lost the request anyway.
        let _ = timeout(max_wait.min(CANCEL_TIMEOUT), cancelled).await;
        self.disarm();
    }

    /// Prevents the cancellation, because the request has ended or must continue.
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
        self.core.metrics.requests_cancelled.inc();
        let client = self.core.client.clone();
        let (address, request) = (self.address, self.request);
        let active = self.core.active.enter();
        runtime.spawn(async move {
            // An engine that cannot be reached has lost the request anyway.
            let _ = client.cancel(address, request).await;
            drop(active);
        });
    }
}
