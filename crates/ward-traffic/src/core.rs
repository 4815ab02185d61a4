//! State shared by all requests of the server.

use std::sync::Arc;

use slog::Logger;
use tokio::sync::watch;
use ward_backend::request::BackendClient;
use ward_protocol::{DaemonId, RoutingView, TrafficLimits};

use crate::forward::RetryBudget;
use crate::input::BodyMemory;
use crate::metrics::TrafficMetrics;
use crate::notice::NoticeSink;
use crate::once::OnceCalls;
use crate::waiting::WaitList;

/// Phase of the server's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ServerPhase {
    /// Accepts all requests.
    Open,
    /// Removed from the address list, but still accepts all requests.
    Leaving,
    /// Refuses new requests and finishes the others.
    Refusing,
    /// Closes each connection as soon as it is idle.
    Closing,
}

/// State shared by all requests of the server.
#[derive(Debug)]
pub(crate) struct TrafficCore {
    pub(crate) daemon: DaemonId,
    pub(crate) limits: TrafficLimits,
    pub(crate) wait_list: Arc<WaitList>,
    pub(crate) views: watch::Receiver<Arc<RoutingView>>,
    pub(crate) client: BackendClient,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) body_memory: BodyMemory,
    pub(crate) once: OnceCalls,
    pub(crate) notice: NoticeHolder,
    pub(crate) metrics: TrafficMetrics,
    pub(crate) logger: Logger,
    pub(crate) phase: watch::Sender<ServerPhase>,
    pub(crate) active: ActiveCount,
}

impl TrafficCore {
    /// The newest published routing view.
    pub(crate) fn view(&self) -> Arc<RoutingView> {
        self.wait_list.view()
    }

    /// A receiver that is notified of new views.
    pub(crate) fn view_receiver(&self) -> watch::Receiver<Arc<RoutingView>> {
        self.views.clone()
    }

    /// Whether new requests are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::Refusing
    }
}

/// Wraps the notice closure, which has no `Debug` of its own.
#[derive(Clone)]
pub(crate) struct NoticeHolder(pub(crate) NoticeSink);

impl std::fmt::Debug for NoticeHolder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("NoticeHolder")
    }
}

/// Counts connections and tasks that a stop must wait for.
#[derive(Debug, Clone)]
pub(crate) struct ActiveCount(Arc<watch::Sender<usize>>);

impl ActiveCount {
    pub(crate) fn new() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }

    /// Counts one connection or task until the guard is dropped.
    pub(crate) fn enter(&self) -> ActiveGuard {
        self.0.send_modify(|count| *count += 1);
        ActiveGuard(Arc::clone(&self.0))
    }

    /// Waits until nothing is counted.
    pub(crate) async fn wait_idle(&self) {
        let mut count = self.0.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

/// One counted connection or task.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Arc<watch::Sender<usize>>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
