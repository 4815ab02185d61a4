//! Background task that checks the queue for each new view and periodically.

use std::sync::{Arc, Weak};
use std::time::Duration;

use prometheus::IntGauge;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use ward_backend::request::BackendClient;
use ward_protocol::RoutingView;

use crate::waiting::WaitList;

/// Interval at which the queue is checked without a new view, and wake hints are sent
/// to the control thread again.
const HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Checks the waiting requests for each new view and at each tick. Also sends wake
/// hints for them and prunes idle connections to backend servers at each tick. Ends
/// when the queue is dropped.
pub(super) async fn maintain_queue(
    list: Weak<WaitList>,
    mut view: watch::Receiver<Arc<RoutingView>>,
    client: BackendClient,
    waiting: IntGauge,
) {
    let mut ticks = interval(HINT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut publisher_alive = true;
    loop {
        let ticked = tokio::select! {
            _ = ticks.tick() => true,
            changed = view.changed(), if publisher_alive => {
                publisher_alive = changed.is_ok();
                false
            }
        };
        let Some(list) = list.upgrade() else {
            return;
        };
        list.sweep();
        waiting.set(i64::try_from(list.waiting_count()).unwrap_or(i64::MAX));
        if ticked {
            list.send_notices();
            client.prune();
        }
    }
}
