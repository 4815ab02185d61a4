//! Decides by which manifest a request is routed while a newer one is known.
//!
//! All that a manifest says (routes, services, time limits, keys, quotas) is subject to the
//! same rule. For some time after a newer manifest became known, requests may be decided by
//! the one in force. After that, and for a request that the one in force doesn't allow, the
//! newer one is awaited for a moment; if it doesn't come, the request is refused as not run.
//!
//! A daemon that is out of touch with the store, and with all that are in touch with it, goes
//! on with what it has: no later change can be expected to reach it.

use std::rc::Rc;

use tokio::time::Instant;
use ward_adapter::RequestFields;
use ward_fleet::{ManifestStanding, ServingManifest};
use ward_protocol::TimeSpan;

use super::refusal::{Refusal, not_run};
use super::route::{RoutedRequest, match_route};
use crate::clock;
use crate::gateway::Gateway;

/// Maximum time from the store's acknowledgement of a manifest until daemons in touch have
/// heard of it.
const MAX_ANNOUNCE_TIME: TimeSpan = TimeSpan::from_millis(800);
/// Maximum time for which a request awaits a newer manifest.
const MAX_WAIT: TimeSpan = TimeSpan::from_millis(400);
/// Age of a daemon's last read of the store up to which it is in touch with it.
const MAX_READ_AGE: TimeSpan = TimeSpan::from_secs(2);

/// Routes a request by the newest manifest that can be had in time; returns both.
///
/// # Errors
/// A refusal if no manifest is known, if a newer one is due, or if the request is not
/// allowed.
pub(super) async fn route_by_newest(
    gateway: &Gateway,
    fields: RequestFields,
    host: &str,
    path: &str,
) -> Result<(Rc<ServingManifest>, RoutedRequest), Refusal> {
    let manifest = current(gateway)?;
    if !is_replaced(gateway)
        && let Ok(matched) = match_route(&manifest, &fields, host, path)
    {
        record_outdated_routing(gateway);
        let routed = matched.assign(&manifest, fields);
        return Ok((manifest, routed));
    }
    await_newer(gateway).await;
    let manifest = current(gateway)?;
    if is_replaced(gateway) {
        return Err(not_run("its manifest was replaced by one not read yet"));
    }
    record_outdated_routing(gateway);
    let routed = match match_route(&manifest, &fields, host, path) {
        Ok(matched) => matched.assign(&manifest, fields),
        Err(_) if gateway.manifests.behind_for().is_some() => {
            return Err(not_run("a newer manifest, not read yet, may allow it"));
        }
        Err(refusal) => return Err(refusal),
    };
    Ok((manifest, routed))
}

/// Records for how long the manifest that routes a request has been known to be outdated.
fn record_outdated_routing(gateway: &Gateway) {
    if let Some(behind) = gateway.manifests.behind_for() {
        let seconds = behind.duration().as_secs_f64();
        gateway.metrics.outdated_routings.observe(seconds);
    }
}

fn current(gateway: &Gateway) -> Result<Rc<ServingManifest>, Refusal> {
    let manifest = gateway.manifest();
    manifest.ok_or_else(|| not_run("no manifest is known yet"))
}

/// Waits until no newer manifest than the one in force is known, at most for `MAX_WAIT`.
async fn await_newer(gateway: &Gateway) {
    let end = Instant::now() + MAX_WAIT.duration();
    while gateway.manifests.behind_for().is_some() {
        let changed = gateway.manifests.changed();
        if tokio::time::timeout_at(end, changed).await.is_err() {
            return;
        }
    }
}

/// Whether a newer manifest should be in force by now.
fn is_replaced(gateway: &Gateway) -> bool {
    let bound = gateway.settings().bounds.manifest_change;
    let bound = bound.saturating_sub(MAX_ANNOUNCE_TIME);
    gateway.manifests.standing(bound) == ManifestStanding::Replaced && is_in_touch(gateway)
}

/// Whether this daemon, or the coordinator that it follows, has read the store of late.
fn is_in_touch(gateway: &Gateway) -> bool {
    let follows = gateway.has_current_view() && !gateway.store_outage.get();
    let read_age = gateway.last_read.get().map(|time| clock::now().since(time));
    follows || read_age.is_some_and(|age| age <= MAX_READ_AGE)
}
