//! Reads the manifest as soon as it changes.
//!
//! A daemon that is up to date polls: the store holds the read until there is a next
//! record. A poll whose answer has not begun is given up when another daemon has a newer
//! manifest, since the connection may be dead; when the store came back from a copy; and
//! when there is no current view any more, so that a shorter poll follows. While views
//! announce new manifests and report a store outage, a daemon whose read failed waits for
//! the end of the outage before it reads again: hundreds of daemons would otherwise make
//! thousands of calls during one outage.
//!
//! A daemon that knows of a newer manifest reads the newest one. Such a read is never given
//! up for one that is newer still. The same goes for a daemon whose poll the store has cut:
//! of the manifests that have come, only the newest is of use, which the answer leaves out.
//! So a poll asks for no more than a manifest of maximum length.
//!
//! Load pattern: a large manifest, a narrow link or many hosts make a read take longer than
//! the time between two changes. A read that ends a little late is then in force sooner
//! than one that begins anew, and leaves the bandwidth to others.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use ward_adapter::{
    PollBounds, StoreChanges, StoreClient, StoreError, StoreRecord, StoreSnapshot, StoreTopic,
};
use ward_fleet::{ManifestVersion, ReadCursor, StoreEra};
use ward_http::AnswerProgress;
use ward_protocol::{MonoTime, TimeSpan};

use super::state::{ManifestOrigin, adopt_manifest};
use crate::clock;
use crate::gateway::Gateway;
use crate::hub::{PeerOrder, fetch_manifest, request_snapshot};
use crate::sync::record_cut_read;

/// Duration of a poll while views would announce a new manifest.
const LONG_POLL_WAIT: TimeSpan = TimeSpan::from_millis(25_000);
/// Duration of a poll otherwise; bounds how long a dead connection goes unnoticed.
const SHORT_POLL_WAIT: TimeSpan = TimeSpan::from_millis(900);
/// Time after the end of such a poll for its answer to begin, before other daemons are asked.
const POLL_GRACE: TimeSpan = TimeSpan::from_millis(400);
/// Time between checks whether the view is still current.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for the running poll to return a manifest that another daemon announced.
const OWN_READ_GRACE: Duration = Duration::from_millis(500);
/// Time for the store to begin its answer before other daemons are asked as well.
const STORE_GRACE: Duration = Duration::from_millis(500);
/// Maximum time for which the store may answer reads with what it held before.
const MAX_STORE_LAG: TimeSpan = TimeSpan::from_secs(5);
/// Maximum wait after a failed read during a store outage.
const MAX_OUTAGE_WAIT: TimeSpan = TimeSpan::from_secs(5);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Keeps the manifest in force up to date; never returns.
pub(crate) async fn sync_manifest(gateway: Rc<Gateway>) {
    let mut reader = ManifestReader {
        gateway,
        cursor: None,
        read_begun: clock::now(),
        known_version: ManifestVersion::default(),
        backoff: MIN_BACKOFF,
    };
    loop {
        match reader.read_next().await {
            ReadEnd::Newest(newest) => reader.apply(&newest.records, newest.cursor()).await,
            ReadEnd::Changes(changes) => reader.apply_changes(&changes).await,
            ReadEnd::Failed(cause) => reader.recover(&cause).await,
            ReadEnd::Abandoned(reason) => reader.begin_anew(reason),
        }
    }
}

/// How a read of the manifest ended.
enum ReadEnd {
    Newest(StoreSnapshot),
    Changes(StoreChanges),
    Failed(StoreError),
    Abandoned(AbandonReason),
}

/// Why a poll was given up before its answer began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AbandonReason {
    ViewLost,
    LaterEra,
    Outdated,
}

struct ManifestReader {
    gateway: Rc<Gateway>,
    /// Where to poll from; `None` if the newest manifest must be read.
    cursor: Option<ReadCursor>,
    /// When the running read began.
    read_begun: MonoTime,
    /// Newest version that was known then.
    known_version: ManifestVersion,
    /// Time until the next read after one that failed or was of no use.
    backoff: Duration,
}

impl ManifestReader {
    async fn read_next(&mut self) -> ReadEnd {
        self.read_begun = clock::now();
        self.known_version = self.gateway.manifests.newest_version();
        match self.cursor {
            Some(cursor) => self.poll(cursor).await,
            None => match self.read_newest().await {
                Ok(newest) => ReadEnd::Newest(newest),
                Err(cause) => ReadEnd::Failed(cause),
            },
        }
    }

    /// Reads the newest manifest. While the store doesn't begin to answer, other daemons are
    /// asked for one that is known to exist.
    async fn read_newest(&self) -> Result<StoreSnapshot, StoreError> {
        let gateway = &*self.gateway;
        let progress = AnswerProgress::default();
        let read = gateway
            .store
            .newest_watched(StoreTopic::Manifest, &progress);
        let has_asked = Cell::new(false);
        let from_peers = async {
            tokio::time::sleep(STORE_GRACE).await;
            if !progress.has_begun() && gateway.manifests.behind_for().is_some() {
                has_asked.set(true);
                fetch_manifest(gateway, PeerOrder::Nearest).await;
            }
        };
        tokio::pin!(read, from_peers);
        tokio::select! {
            biased;
            result = &mut read => {
                if result.is_err() && has_asked.get() {
                    from_peers.await;
                }
                result
            }
            () = &mut from_peers => read.await,
        }
    }

    /// Waits for the next record.
    async fn poll(&self, cursor: ReadCursor) -> ReadEnd {
        let gateway = &*self.gateway;
        let has_view = gateway.has_current_view() && !gateway.coordinator.is_active();
        let wait = if has_view {
            LONG_POLL_WAIT
        } else {
            SHORT_POLL_WAIT
        };
        let progress = AnswerProgress::default();
        let store = &gateway.store;
        let bounds = PollBounds {
            wait,
            records: gateway.settings().bounds.store_record,
        };
        let poll = store.poll(StoreTopic::Manifest, cursor, bounds, &progress);
        let useless = async {
            let reason = tokio::select! {
                () = wait_until_view_lost(gateway, has_view) => AbandonReason::ViewLost,
                () = wait_until_later_era(gateway, cursor) => AbandonReason::LaterEra,
                () = wait_until_outdated(gateway) => AbandonReason::Outdated,
            };
            if progress.has_begun() {
                std::future::pending::<()>().await;
            }
            reason
        };
        // Nobody announces a manifest to a daemon without a view. Never ends the poll.
        let from_peers = async {
            tokio::time::sleep((wait + POLL_GRACE).duration()).await;
            if !has_view && !progress.has_begun() {
                fetch_manifest(gateway, PeerOrder::Random).await;
            }
            std::future::pending::<ReadEnd>().await
        };
        tokio::select! {
            biased;
            result = poll => result.map_or_else(ReadEnd::Failed, ReadEnd::Changes),
            reason = useless => ReadEnd::Abandoned(reason),
            end = from_peers => end,
        }
    }

    fn begin_anew(&mut self, reason: AbandonReason) {
        let gateway = &self.gateway;
        gateway.metrics.count_manifest_read("abandoned");
        if reason == AbandonReason::ViewLost {
            return;
        }
        info!(
            gateway.logger, "manifest: read restarted"; "why" => ?reason,
            "heard_of" => gateway.manifests.newest_version().0,
        );
        self.cursor = None;
    }

    /// Applies what a poll returned. If records were left out, the newest manifest is one of
    /// those, so it is read next.
    async fn apply_changes(&mut self, changes: &StoreChanges) {
        if changes.left_out() == 0 {
            self.apply(&changes.records, changes.next).await;
            return;
        }
        let gateway = &*self.gateway;
        record_cut_read(gateway, StoreTopic::Manifest, changes);
        gateway.metrics.count_store_call(true);
        gateway.metrics.count_manifest_read("cut");
        adopt_newest(gateway, &changes.records);
        self.cursor = None;
    }

    /// Puts the newest manifest among `records` in force, and goes on reading at `next`.
    async fn apply(&mut self, records: &[StoreRecord], next: ReadCursor) {
        let gateway = Rc::clone(&self.gateway);
        gateway.metrics.count_store_call(true);
        gateway.metrics.count_manifest_read("whole");
        if !records.is_empty() {
            info!(
                gateway.logger, "manifest: read"; "records" => records.len(),
                "next" => next.0.offset,
            );
        }
        let is_first = !gateway.manifests.is_known();
        adopt_newest(&gateway, records);
        let is_behind = gateway.manifests.behind_for().is_some();
        self.cursor = (!is_behind).then_some(next);
        // The store came back from a copy, and the operator has not written again yet.
        let is_store_older = gateway.manifests.version() < self.known_version;
        if is_first && (is_store_older || may_store_be_outdated(&gateway)) {
            request_snapshot(&gateway).await;
        } else if is_store_older {
            fetch_manifest(&gateway, PeerOrder::Random).await;
            self.drop_lost_versions();
        }
        if is_store_older {
            self.pause().await;
            return;
        }
        if std::mem::replace(&mut self.backoff, MIN_BACKOFF) != MIN_BACKOFF {
            gateway.store_recovered.notify_waiters();
        }
        if next.0.offset == 0 {
            tokio::time::sleep(MIN_BACKOFF).await;
        }
    }

    /// Forgets versions that neither the store nor a peer has had for `MAX_STORE_LAG`.
    fn drop_lost_versions(&self) {
        let until = self.read_begun - MAX_STORE_LAG;
        if let Some(version) = self.gateway.manifests.lapse(until) {
            warn!(
                self.gateway.logger, "manifest: announced version is not to be had";
                "version" => version.0, "in_force" => self.gateway.manifests.version().0,
            );
        }
    }

    async fn recover(&mut self, cause: &StoreError) {
        let gateway = Rc::clone(&self.gateway);
        gateway.metrics.count_store_call(false);
        gateway.metrics.count_manifest_read("failed");
        warn!(gateway.logger, "manifest: read failed"; "cause" => %cause);
        if cause.is_position_lost() {
            self.cursor = None;
        }
        // Another daemon may reach the store, also if no coordinator tells so.
        catch_up(&gateway).await;
        self.pause().await;
        wait_out_store_outage(&gateway).await;
    }

    /// Waits after a read that failed or was of no use, longer each time.
    async fn pause(&mut self) {
        tokio::time::sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Asks other daemons for a newer manifest, or for all that they know if this daemon can't
/// serve yet.
async fn catch_up(gateway: &Rc<Gateway>) {
    if gateway.manifests.is_known() && gateway.engines_known.get() {
        fetch_manifest(gateway, PeerOrder::Random).await;
    } else {
        request_snapshot(gateway).await;
    }
}

/// Waits until there is no current view any more; never returns if `has_view` is false,
/// since the poll is short then.
async fn wait_until_view_lost(gateway: &Gateway, has_view: bool) {
    while !has_view || gateway.has_current_view() {
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
}

/// Waits until the store is known to have come back from a copy since a cursor was
/// read, so that a read from there may wait for a record that has another offset now.
async fn wait_until_later_era(gateway: &Gateway, cursor: ReadCursor) {
    let mut eras = gateway.store.era_changes();
    let is_later = |era: &Option<StoreEra>| era.is_some_and(|era| era > cursor.0.era);
    // It fails only once the store client is gone, when there are no more eras to wait for.
    if eras.wait_for(is_later).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until another daemon has a newer manifest that the running poll has had time
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

/// Whether the store has come back from a copy at some time, and no coordinator tells
/// whether other daemons have a newer manifest.
fn may_store_be_outdated(gateway: &Gateway) -> bool {
    gateway.store.era() > StoreEra::default() && !gateway.has_current_view()
}

fn adopt_newest(gateway: &Gateway, records: &[StoreRecord]) {
    let newest = records
        .iter()
        .rfind(|record| StoreClient::is_manifest(record) && !record.value.is_empty());
    if let Some(record) = newest {
        adopt_manifest(gateway, &record.value, ManifestOrigin::Store);
    }
}
