//! Decides when this daemon's streams and version list are written to the store, and lets
//! streams wait for it.
//!
//! Load pattern: streams begin all the time while two software versions serve, and all
//! daemons may lose power at any moment. A write per stream would be too many, so all
//! streams that begin during a write, or in the pause after it, share the next one.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use ward_fleet::streams::{LIST_INTERVAL, persist_interval};
use ward_protocol::{MonoTime, TimeSpan};

use super::StreamState;
use super::store::{WriteScope, WrittenState, restore_records, write_records};
use crate::clock;
use crate::gateway::Gateway;

/// Time between two looks whether anything must be written, without a request to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a failed write until the next one.
const WRITE_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(1_000);
/// Time within which a store that works acknowledges a write.
const MAX_ACK_TIME: Duration = Duration::from_millis(400);
/// Maximum time for which the sender of a stream waits until the store lists its software
/// version; shorter than the sender waits for an answer.
const MAX_LIST_WAIT: Duration = Duration::from_millis(150);

/// What a stream waits for before it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitScope {
    /// The version list.
    Versions,
    /// The version list and the streams.
    Streams,
}

/// Writes this daemon's streams and version list to the store as they change; never
/// returns.
pub(crate) async fn persist_streams(gateway: Rc<Gateway>) {
    let store = &gateway.streams.store;
    loop {
        // Waits for a request or until it is time for a look.
        drop(tokio::time::timeout(CHECK_INTERVAL, store.write_requested.notified()).await);
        if !persist_now(&gateway).await {
            continue;
        }
        let mut pause = write_interval(&gateway);
        if store.has_failed.get() {
            pause = pause.max(WRITE_RETRY_DELAY);
        }
        tokio::time::sleep(pause.duration()).await;
    }
}

/// Writes what the store doesn't hold yet: the version list, and the streams while a
/// service has several software versions. Returns false if nothing was due.
pub(crate) async fn persist_now(gateway: &Gateway) -> bool {
    let state = &gateway.streams;
    if due_scope(state, current_state(gateway)).is_none() {
        return false;
    }
    // May change what is to be written, so the state that is written is taken after it.
    restore_records(gateway).await;
    let current = current_state(gateway);
    let Some(scope) = due_scope(state, current) else {
        return false;
    };
    match write_records(gateway, scope).await {
        Ok(()) => {
            state.store.has_failed.set(false);
            let written = state.store.written.get();
            state
                .store
                .written
                .set(merged_state(written, current, scope));
        }
        Err(cause) => {
            state.store.has_failed.set(true);
            if cause.may_take_effect() {
                state.store.leave_slot(gateway);
            }
            warn!(gateway.logger, "stream: streams not written"; "cause" => %cause);
        }
    }
    state.store.write_ended.notify_waiters();
    true
}

fn write_interval(gateway: &Gateway) -> TimeSpan {
    let writes = gateway.settings().bounds.store_writes;
    persist_interval(gateway.daemon_count(), writes)
}

/// Waits until the store lists the versions of this daemon's streams, `MAX_LIST_WAIT` at
/// most.
pub(crate) async fn wait_until_listed(gateway: &Gateway) {
    let written = wait_until_written(gateway, WaitScope::Versions);
    if tokio::time::timeout(MAX_LIST_WAIT, written).await.is_err() {
        info!(
            gateway.logger,
            "stream: versions of another daemon's streams not listed in time"
        );
    }
}

/// Waits until the store holds what must outlive all daemons before a stream begins; at
/// least as long as a store that works needs, and longer as long as the stream is still on
/// time. Returns false if the store has not acknowledged the last write, or does not
/// acknowledge this one in time: then the stream begins without.
pub(super) async fn wait_until_stored(
    gateway: &Gateway,
    scope: WaitScope,
    on_time_until: MonoTime,
) -> bool {
    let needed = current_state(gateway);
    let usual_wait = write_interval(gateway).duration() + MAX_ACK_TIME;
    let timeout = usual_wait.max(on_time_until.since(clock::now()).duration());
    let written = wait_until_written(gateway, scope);
    let Ok(is_written) = tokio::time::timeout(timeout, written).await else {
        let store = &gateway.streams.store;
        if is_written(store.written.get(), needed, scope) {
            return true;
        }
        // Later streams don't wait until the store has acknowledged a write again.
        store.has_failed.set(true);
        info!(
            gateway.logger,
            "stream: the store did not acknowledge in time"
        );
        return false;
    };
    is_written
}

/// Waits until the next write that contains what was recorded before this call; returns
/// false if the store fails.
async fn wait_until_written(gateway: &Gateway, scope: WaitScope) -> bool {
    let store = &gateway.streams.store;
    let needed = current_state(gateway);
    loop {
        let ended = store.write_ended.notified();
        if is_written(store.written.get(), needed, scope) {
            return true;
        }
        if store.has_failed.get() {
            return false;
        }
        store.request_write();
        ended.await;
    }
}

/// Whether the store holds at least what is needed, in the same era or a later one.
fn is_written(written: WrittenState, needed: WrittenState, scope: WaitScope) -> bool {
    let has_streams = scope == WaitScope::Versions || written.streams >= needed.streams;
    written.era >= needed.era && written.versions >= needed.versions && has_streams
}

/// What a write that begins now contains.
fn current_state(gateway: &Gateway) -> WrittenState {
    let state = &gateway.streams;
    WrittenState {
        era: gateway.store.era(),
        streams: state.register.borrow().own_revision(),
        versions: state.own_versions.borrow().revision(),
        listed_at: clock::now(),
    }
}

/// The records that must be written; `None` if the store holds what it should. A store
/// that came back from a copy since the last write may have forgotten everything.
fn due_scope(state: &StreamState, current: WrittenState) -> Option<WriteScope> {
    let written = state.store.written.get();
    let is_other_era = written.era != current.era;
    let is_list_old = current.listed_at.since(written.listed_at) >= LIST_INTERVAL;
    let has_new_versions = written.versions != current.versions;
    let has_new_streams = written.streams != current.streams;
    let has_versions = state.has_own_versions();
    let scope = WriteScope {
        has_versions: has_versions && (has_new_versions || is_other_era || is_list_old),
        has_streams: current.streams > 0
            && (has_new_streams || is_other_era)
            && state.versions.borrow().any_has_several(),
    };
    (scope.has_versions || scope.has_streams).then_some(scope)
}

/// What the store holds after a write of these records. Of an earlier era it holds nothing
/// for sure.
fn merged_state(written: WrittenState, current: WrittenState, scope: WriteScope) -> WrittenState {
    let mut merged = if written.era == current.era {
        written
    } else {
        WrittenState::default()
    };
    merged.era = current.era;
    if scope.has_streams {
        merged.streams = current.streams;
    }
    if scope.has_versions {
        merged.versions = current.versions;
        merged.listed_at = current.listed_at;
    }
    merged
}
