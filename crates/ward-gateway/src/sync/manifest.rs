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
use crate::hub::ask_daemons;

/// Wait at the store for a new manifest while the coordinator would tell of one.
const LONG_WAIT: TimeSpan = TimeSpan::from_millis(25_000);
/// Wait at the store otherwise; bounds how long a silent connection goes
/// unnoticed.
const SHORT_WAIT: TimeSpan = TimeSpan::from_millis(1_200);
/// Time between looks at whether the coordinator is heard.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Time for a read to bring the manifest that was heard of.
const OWN_READ_TIME: Duration = Duration::from_millis(250);
/// Longest pause after a failed read while the store is away for everyone.
const OUTAGE_PAUSE: TimeSpan = TimeSpan::from_secs(5);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Keeps the manifest in force up to date.
pub(crate) async fn sync_manifest(gateway: Rc<Gateway>) {
    let mut next = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let told = gateway.hears_view() && !gateway.coordinator.is_active();
        let wait = if told { LONG_WAIT } else { SHORT_WAIT };
        let result = tokio::select! {
            result = read(&gateway, next, wait) => result,
            () = wait_until_lone(&gateway, told) => continue,
            () = wait_until_behind(&gateway) => {
                info!(
                    gateway.logger, "manifest: read anew";
                    "heard_of" => gateway.manifest_heard.get().0,
                );
                next = None;
                continue;
            }
        };
        match result {
            Ok(tail) => {
                gateway.metrics.note_store_call(true);
                if std::mem::replace(&mut pause, FIRST_PAUSE) != FIRST_PAUSE {
                    gateway.store_regained.notify_waiters();
                }
                next = Some(tail.end);
                adopt(&gateway, &tail);
            }
            Err(cause) => {
                gateway.metrics.note_store_call(false);
                warn!(gateway.logger, "manifest: read failed"; "cause" => %cause);
                if matches!(cause, StoreError::Deleted(_)) {
                    next = None;
                }
                if lacks_manifest(&gateway) {
                    ask_daemons(&gateway).await;
                }
                tokio::time::sleep(pause).await;
                wait_until_useful(&gateway).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        if next == Some(0) {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
    }
}

/// Waits until the coordinator, which was to tell of new manifests, is no longer
/// heard; for ever when it was not to.
async fn wait_until_lone(gateway: &Gateway, told: bool) {
    while !told || gateway.hears_view() {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Waits until another daemon has a newer manifest and the read that runs had
/// time to bring it.
async fn wait_until_behind(gateway: &Gateway) {
    loop {
        gateway.manifest_wanted.notified().await;
        tokio::time::sleep(OWN_READ_TIME).await;
        if lacks_manifest(gateway) {
            return;
        }
    }
}

/// Waits while the coordinator tells that the store is away for everyone, unless
/// another daemon has a newer manifest.
async fn wait_until_useful(gateway: &Gateway) {
    let begun = clock::now();
    while gateway.hears_view()
        && gateway.told_away.get()
        && !gateway.coordinator.is_active()
        && !lacks_manifest(gateway)
        && clock::now().since(begun) < OUTAGE_PAUSE
    {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Whether another daemon may have a manifest that this one has not.
fn lacks_manifest(gateway: &Gateway) -> bool {
    let own = gateway.manifest().map(|manifest| manifest.version);
    own.is_none_or(|own| own < gateway.manifest_heard.get())
}

async fn read(
    gateway: &Gateway,
    next: Option<u64>,
    wait: TimeSpan,
) -> Result<StoreTail, StoreError> {
    match next {
        Some(from) => gateway.store.read(StoreTopic::Manifest, from, wait).await,
        None => gateway.store.newest(StoreTopic::Manifest).await,
    }
}

fn adopt(gateway: &Gateway, tail: &StoreTail) {
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
