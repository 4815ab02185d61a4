//! Signal handlers: graceful shutdown on SIGTERM or SIGINT, reload of the settings
//! on SIGHUP.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;
use ward_adapter::{parse_settings, settings_path};
use ward_fleet::StopPlan;

use crate::clock;
use crate::coordinator::release_term;
use crate::front::ConnectionTracker;
use crate::gateway::Gateway;
use crate::streams::persist_now;

/// Time for the last bytes of answers to be sent before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// Time between checks whether all connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT, then drains open connections; returns when the
/// process should exit.
pub(crate) async fn stop_on_signal(
    gateway: Rc<Gateway>,
    tracker: Rc<ConnectionTracker>,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let start = Instant::now();
    let grace = gateway.settings().bounds.stop_grace;
    info!(gateway.logger, "stop: begins"; "grace" => %grace, "connections" => tracker.open());
    let begun = clock::now();
    let plan = StopPlan { begun, grace };
    gateway.stop_plan.set(Some(plan));
    gateway.report_requested.notify_one();
    release_term(&gateway).await;
    persist_now(&gateway).await;
    let accept_time = plan.accept_end().since(begun);
    tokio::time::sleep_until(start + accept_time.duration()).await;
    info!(gateway.logger, "stop: takes no more"; "connections" => tracker.open());
    tracker.close_all();
    gateway.queue.close();
    let final_answers = start + plan.final_answer_time().since(begun).duration();
    drain(&tracker, final_answers).await;
    gateway.final_answers_due.send_replace(true);
    let deadline = start + plan.exit_time().since(begun).duration();
    drain(&tracker, deadline).await;
    tokio::time::sleep(FLUSH_TIME).await;
    info!(gateway.logger, "stop: ends"; "connections" => tracker.open());
    Ok(())
}

/// Waits until all connections have closed, or until the deadline.
async fn drain(tracker: &ConnectionTracker, deadline: Instant) {
    while Instant::now() < deadline && tracker.open() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Reloads the settings on SIGHUP; if they are invalid, the old ones stay.
pub(crate) async fn reload_on_signal(gateway: Rc<Gateway>) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        reload(&gateway);
    }
    Ok(())
}

fn reload(gateway: &Gateway) {
    let Some(path) = settings_path() else {
        warn!(gateway.logger, "settings: no file to reload");
        return;
    };
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(cause) => {
            warn!(gateway.logger, "settings: not reloaded, the file cannot be read"; "cause" => %cause);
            return;
        }
    };
    match parse_settings(&text) {
        Ok(settings) => {
            let changed = **gateway.settings.borrow() != settings;
            info!(gateway.logger, "settings: reloaded"; "changed" => changed);
            *gateway.settings.borrow_mut() = Rc::new(settings);
        }
        Err(cause) => {
            warn!(gateway.logger, "settings: not reloaded, the new settings are invalid"; "cause" => %cause);
        }
    }
}
