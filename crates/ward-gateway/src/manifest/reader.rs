//! Reads the manifest as soon as it changes.
//!
//! A read is a long poll: the store holds it until there is a next record. It is
//! abandoned early when another daemon has a newer manifest and the read does not
//! return it, since the connection may be dead; and when there is no current view any
//! more, so that a shorter read follows. While views announce new manifests and report
//! a store outage, a daemon whose read failed waits for the end of the outage before it
//! reads again: hundreds of daemons would otherwise make thousands of calls during one
//! outage.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use ward_adapter::{StoreClient, StoreError, StoreTail, StoreTopic, decode_manifest};
use ward_fleet::{ManifestVersion, StoreEra, StorePosition};
use ward_protocol::TimeSpan;

use crate::clock;
use crate::gateway::Gateway;
use crate::hub::request_snapshot;

use super::state::{ManifestOrigin, adopt_manifest};

/// Duration of a long poll while views would announce a new manifest.
const LONG_POLL_WAIT: TimeSpan = TimeSpan::from_millis(25_000);
/// Duration of a long poll otherwise; bounds how long a dead connection goes
/// unnoticed.
const SHORT_POLL_WAIT: TimeSpan = TimeSpan::from_millis(1_200);
/// Time between checks whether the view is still current.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for the running read to return a manifest that another daemon announced.
const OWN_READ_GRACE: Duration = Duration::from_millis(250);
/// Maximum wait after a failed read during a store outage.
const MAX_OUTAGE_WAIT: TimeSpan = TimeSpan::from_secs(5);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Keeps the manifest in force up to date.
pub(crate) async fn sync_manifest(gateway: Rc<Gateway>) {
    let mut next_position = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let has_view = gateway.has_current_view() && !gateway.coordinator.is_active();
        let wait = if has_view {
            LONG_POLL_WAIT
        } else {
            SHORT_POLL_WAIT
        };
        let result = tokio::select! {
            result = read_manifest(&gateway, next_position, wait) => result,
            () = wait_until_view_lost(&gateway, has_view) => continue,
            () = wait_until_later_era(&gateway, next_position) => {
                next_position = None;
                continue;
            }
            () = wait_until_outdated(&gateway) => {
                gateway.metrics.count_manifest_read("abandoned");
                info!(
                    gateway.logger, "manifest: read restarted";
                    "heard_of" => gateway.manifests.newest_version().0,
                );
                next_position = None;
                continue;
            }
        };
        match result {
            Ok(tail) => {
                gateway.metrics.count_store_call(true);
                gateway.metrics.count_manifest_read("whole");
                if std::mem::replace(&mut backoff, MIN_BACKOFF) != MIN_BACKOFF {
                    gateway.store_recovered.notify_waiters();
                }
                next_position = Some(tail.end);
                let is_first = gateway.manifest().is_none();
                adopt_newest(&gateway, &tail);
                if is_store_outdated(&gateway) || (is_first && may_store_be_outdated(&gateway)) {
                    request_snapshot(&gateway).await;
                }
            }
            Err(cause) => {
                gateway.metrics.count_store_call(false);
                gateway.metrics.count_manifest_read("failed");
                warn!(gateway.logger, "manifest: read failed"; "cause" => %cause);
                if cause.is_position_lost() {
                    next_position = None;
                }
                if gateway.manifests.is_outdated() {
                    request_snapshot(&gateway).await;
                }
                tokio::time::sleep(backoff).await;
                wait_out_store_outage(&gateway).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        if next_position.is_some_and(|position| position.offset == 0) {
            tokio::time::sleep(MIN_BACKOFF).await;
        }
    }
}

/// Waits until there is no current view any more; never returns if `has_view` is false,
/// since the read is short then.
async fn wait_until_view_lost(gateway: &Gateway, has_view: bool) {
    while !has_view || gateway.has_current_view() {
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
}

/// Waits until the store is known to have come back from a copy since a position was
/// read, so that a read from there may wait for a record that has another offset now.
async fn wait_until_later_era(gateway: &Gateway, position: Option<StorePosition>) {
    let Some(position) = position else {
        return std::future::pending().await;
    };
    let mut eras = gateway.store.era_changes();
    let is_later = |era: &Option<StoreEra>| era.is_some_and(|era| era > position.era);
    // It fails only once the store client is gone, when there are no more eras to wait for.
    if eras.wait_for(is_later).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until another daemon has a newer manifest that the running read has had time
/// to return but did not.
async fn wait_until_outdated(gateway: &Gateway) {
    loop {
        gateway.manifests.outdated.notified().await;
        tokio::time::sleep(OWN_READ_GRACE).await;
        if gateway.manifests.is_outdated() {
            return;
        }
    }
}

/// Waits while views report a store outage, at most for `MAX_OUTAGE_WAIT`; returns
/// early if another daemon has a newer manifest.
async fn wait_out_store_outage(gateway: &Gateway) {
    let start = clock::now();
    while gateway.has_current_view()
        && gateway.store_outage.get()
        && !gateway.coordinator.is_active()
        && !gateway.manifests.is_outdated()
        && clock::now().since(start) < MAX_OUTAGE_WAIT
    {
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
}

/// Whether the store has just given an older manifest than another daemon has: it came back
/// from a copy, and the operator has not written again yet.
fn is_store_outdated(gateway: &Gateway) -> bool {
    gateway.manifests.newest_version() > ManifestVersion::default()
        && gateway.manifests.is_outdated()
}

/// Whether the store has come back from a copy at some time, and no coordinator tells
/// whether other daemons have a newer manifest.
fn may_store_be_outdated(gateway: &Gateway) -> bool {
    gateway.store.era() > StoreEra::default() && !gateway.has_current_view()
}

async fn read_manifest(
    gateway: &Gateway,
    next_position: Option<StorePosition>,
    wait: TimeSpan,
) -> Result<StoreTail, StoreError> {
    match next_position {
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
        Ok(manifest) => adopt_manifest(gateway, manifest, &record.value, ManifestOrigin::Store),
        Err(cause) => {
            warn!(
                gateway.logger, "manifest: invalid record ignored";
                "cause" => %cause, "offset" => record.offset,
            );
        }
    }
}
