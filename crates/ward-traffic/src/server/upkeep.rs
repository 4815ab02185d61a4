//! What happens to waiting requests as views come and time passes.

use std::sync::{Arc, Weak};
use std::time::Duration;

use prometheus::IntGauge;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use ward_backend::request::BackendClient;
use ward_protocol::RoutingView;

use crate::waiting::WaitList;

/// Time between two hints for the same waiting requests.
const HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Looks at waiting requests at each view and repeats their hints.
pub(super) async fn keep_up(
    list: Weak<WaitList>,
    mut view: watch::Receiver<Arc<RoutingView>>,
    client: BackendClient,
    waiting: IntGauge,
) {
    let mut ticks = interval(HINT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut published = true;
    loop {
        let ticked = tokio::select! {
            _ = ticks.tick() => true,
            changed = view.changed(), if published => {
                published = changed.is_ok();
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
