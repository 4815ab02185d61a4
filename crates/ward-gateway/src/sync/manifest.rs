//! The manifest, read as soon as it changes.
//!
//! A read waits at the store for the next record. It is given up early when
//! another daemon is heard to have a newer manifest and the read brings none,
//! since the connection may have gone silent. While the coordinator tells of new
//! manifests, a daemon whose read failed does not try again until it is told that
//! the store answers: hundreds of daemons would spend thousands of calls on an
//! outage.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use ward_adapter::{StoreClient, StoreError, StoreTail, StoreTopic, decode_manifest};
use ward_protocol::TimeSpan;

use crate::clock;
use crate::gateway::Gateway;
use crate::hub::request_briefing;

/// Wait at the store for a new manifest while the coordinator would tell of one.
const LONG_POLL_WAIT: TimeSpan = TimeSpan::from_millis(25_000);
/// Wait at the store otherwise; bounds how long a silent connection goes
/// unnoticed.
const SHORT_POLL_WAIT: TimeSpan = TimeSpan::from_millis(1_200);
/// Time between looks at whether the coordinator is heard.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a read to bring the manifest that was heard of.
const OWN_READ_GRACE: Duration = Duration::from_millis(250);
/// Longest pause after a failed read while the store is away for everyone.
const MAX_OUTAGE_WAIT: TimeSpan = TimeSpan::from_secs(5);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Keeps the manifest in force up to date.
pub(crate) async fn sync_manifest(gateway: Rc<Gateway>) {
    let mut next_offset = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let has_view = gateway.has_current_view() && !gateway.coordinator.is_active();
        let wait = if has_view {
            LONG_POLL_WAIT
        } else {
            SHORT_POLL_WAIT
        };
        let result = tokio::select! {
            result = read(&gateway, next_offset, wait) => result,
            () = wait_until_view_lost(&gateway, has_view) => continue,
            () = wait_until_outdated(&gateway) => {
                info!(
                    gateway.logger, "manifest: read anew";
                    "heard_of" => gateway.newest_manifest.get().0,
                );
                next_offset = None;
                continue;
            }
        };
        match result {
            Ok(tail) => {
                gateway.metrics.count_store_call(true);
                if std::mem::replace(&mut backoff, MIN_BACKOFF) != MIN_BACKOFF {
                    gateway.store_recovered.notify_waiters();
                }
                next_offset = Some(tail.end);
                adopt_newest(&gateway, &tail);
            }
            Err(cause) => {
                gateway.metrics.count_store_call(false);
                warn!(gateway.logger, "manifest: read failed"; "cause" => %cause);
                if matches!(cause, StoreError::Deleted(_)) {
                    next_offset = None;
                }
                if is_outdated(&gateway) {
                    request_briefing(&gateway).await;
                }
                tokio::time::sleep(backoff).await;
                wait_out_store_outage(&gateway).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        if next_offset == Some(0) {
            tokio::time::sleep(MIN_BACKOFF).await;
        }
    }
}

/// Waits until the coordinator, which was to tell of new manifests, is no longer
/// heard; for ever when it was not to.
async fn wait_until_view_lost(gateway: &Gateway, has_view: bool) {
    while !has_view || gateway.has_current_view() {
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
}

/// Waits until another daemon has a newer manifest and the read that runs had
/// time to bring it.
async fn wait_until_outdated(gateway: &Gateway) {
    loop {
        gateway.manifest_outdated.notified().await;
        tokio::time::sleep(OWN_READ_GRACE).await;
        if is_outdated(gateway) {
            return;
        }
    }
}

/// Waits while the coordinator tells that the store is away for everyone, unless
/// another daemon has a newer manifest.
async fn wait_out_store_outage(gateway: &Gateway) {
    let start = clock::now();
    while gateway.has_current_view()
        && gateway.store_outage.get()
        && !gateway.coordinator.is_active()
        && !is_outdated(gateway)
        && clock::now().since(start) < MAX_OUTAGE_WAIT
    {
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
}

/// Whether another daemon may have a manifest that this one has not.
fn is_outdated(gateway: &Gateway) -> bool {
    let own = gateway.manifest().map(|manifest| manifest.version);
    own.is_none_or(|own| own < gateway.newest_manifest.get())
}

async fn read(
    gateway: &Gateway,
    next_offset: Option<u64>,
    wait: TimeSpan,
) -> Result<StoreTail, StoreError> {
    match next_offset {
        Some(from) => gateway.store.read(StoreTopic::Manifest, from, wait).await,
        None => gateway.store.newest(StoreTopic::Manifest).await,
    }
}

fn adopt_newest(gateway: &Gateway, tail: &StoreTail) {
    let newest = tail
        .records
        .iter()
        .rfind(|record| StoreClient::is_manifest(record) && !record.value.is_empty());
    let Some(record) = newest else {
        return;
    };
    match decode_manifest(&record.value) {
        Ok(manifest) => gateway.adopt_manifest(manifest, &record.value),
        Err(cause) => {
            warn!(
                gateway.logger, "manifest: ignored";
                "cause" => %cause, "offset" => record.offset,
            );
        }
    }
}
