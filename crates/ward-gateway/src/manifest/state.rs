//! The manifest in force, and what is known of newer ones.

use std::cell::RefCell;
use std::rc::Rc;

use slog::{info, warn};
use tokio::sync::Notify;
use ward_adapter::decode_manifest;
use ward_fleet::{ManifestStanding, ManifestVersion, ServingManifest, VersionTracker};
use ward_protocol::{MonoTime, TimeSpan};

use crate::clock;
use crate::gateway::Gateway;
use crate::quota::adopt_quotas;

/// The manifest of one daemon.
#[derive(Default)]
pub(crate) struct ManifestState {
    current: RefCell<Option<Rc<ServingManifest>>>,
    /// The manifest in force, byte for byte as the operator wrote it.
    text: RefCell<Vec<u8>>,
    versions: RefCell<VersionTracker>,
    /// Wakes the reader when a newer version becomes known.
    pub(super) outdated: Notify,
    /// Notified when a manifest comes into force.
    adopted: Notify,
}

/// Where a manifest was read.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ManifestOrigin {
    Store,
    Peer,
}

impl ManifestOrigin {
    const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

impl ManifestState {
    /// The manifest in force; `None` until a first one is known.
    pub(crate) fn current(&self) -> Option<Rc<ServingManifest>> {
        self.current.borrow().clone()
    }

    /// Whether a manifest is in force.
    pub(crate) fn is_known(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// The manifest in force, byte for byte as the operator wrote it.
    pub(crate) fn text(&self) -> Option<Vec<u8>> {
        self.is_known().then(|| self.text.borrow().clone())
    }

    /// The version in force, zero if there is none.
    pub(crate) fn version(&self) -> ManifestVersion {
        let current = self.current.borrow();
        current
            .as_ref()
            .map_or_else(ManifestVersion::default, |current| current.version)
    }

    /// The newest version that any daemon is known to have.
    pub(crate) fn newest_version(&self) -> ManifestVersion {
        self.versions.borrow().newest()
    }

    /// Whether there is no manifest, or another daemon has a newer one.
    pub(crate) fn is_outdated(&self) -> bool {
        !self.is_known() || self.behind_for().is_some()
    }

    /// Time for which a newer version than the one in force has been known; `None` if none
    /// is.
    pub(crate) fn behind_for(&self) -> Option<TimeSpan> {
        let since = self.versions.borrow().behind_since()?;
        Some(clock::now().since(since))
    }

    /// How the manifest in force relates to the newest known one, if a newer one must be in
    /// force `bound` after it became known.
    pub(crate) fn standing(&self, bound: TimeSpan) -> ManifestStanding {
        self.versions.borrow().standing(clock::now(), bound)
    }

    /// Forgets versions that became known by a time and that nobody can give; returns the
    /// newest of them.
    pub(super) fn lapse(&self, until: MonoTime) -> Option<ManifestVersion> {
        self.versions.borrow_mut().lapse(until)
    }

    /// Waits until another manifest comes into force.
    pub(crate) async fn changed(&self) {
        self.adopted.notified().await;
    }

    /// Records a version that another daemon has, and wakes the reader if it is newer than
    /// all known ones.
    pub(crate) fn record_version(&self, version: ManifestVersion) {
        let is_newer = self.versions.borrow_mut().record(version, clock::now());
        if is_newer {
            self.outdated.notify_one();
        }
    }
}

/// Puts the manifest with a text in force, unless it is invalid, or the same or a newer
/// version already is.
pub(crate) fn adopt_manifest(gateway: &Gateway, text: &[u8], origin: ManifestOrigin) {
    match decode_manifest(text) {
        Ok(manifest) => adopt_decoded(gateway, manifest, text, origin),
        Err(cause) => {
            warn!(
                gateway.logger, "manifest: invalid record ignored";
                "cause" => %cause, "from" => origin.label(),
            );
        }
    }
}

fn adopt_decoded(
    gateway: &Gateway,
    manifest: ServingManifest,
    text: &[u8],
    origin: ManifestOrigin,
) {
    let state = &gateway.manifests;
    let version = manifest.version;
    let current = state.current().map(|current| current.version);
    if current.is_some_and(|current| current >= version) {
        return;
    }
    let delay = state.behind_for();
    info!(
        gateway.logger, "manifest: in force";
        "version" => version.0, "former" => current.map(|current| current.0),
        "routes" => manifest.routes.len(), "services" => manifest.services.len(),
        "bytes" => text.len(), "from" => origin.label(),
        "behind_ms" => delay.map(TimeSpan::millis),
    );
    let metrics = &gateway.metrics;
    metrics
        .manifest
        .set(i64::try_from(version.0).unwrap_or(i64::MAX));
    if let Some(delay) = delay {
        metrics
            .manifest_delay
            .observe(delay.duration().as_secs_f64());
    }
    adopt_quotas(gateway, &manifest);
    text.clone_into(&mut state.text.borrow_mut());
    *state.current.borrow_mut() = Some(Rc::new(manifest));
    state.versions.borrow_mut().adopt(version);
    state.adopted.notify_waiters();
    gateway.queue.notify_change();
}
