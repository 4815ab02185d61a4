//! The life cycle of a term: taking it over, renewing its lease, planning, and
//! releasing it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use ward_adapter::{NewRecord, StoreClient, StoreError, StoreTopic, decode_entry};
use ward_fleet::pace::plan_pause;
use ward_fleet::placement::{plan_tasks, slow_models};
use ward_fleet::{
    CoordinatorLease, EngineEntry, FleetRecord, LeaseWindow, StoreEra, StorePosition, StoredFleet,
    TermRecord, VoterSet,
};
use ward_protocol::codec::encode;
use ward_protocol::{DaemonId, FenceNumber, WallTime};

use super::active::{ActiveCoordinator, FleetKnowledge};
use super::outage::monitor_store;
use super::permits::issue_permits;
use super::publish::{ViewInputs, current_members, publish};
use super::quotas::issue_credit;
use super::record::newest_term;
use super::worker::spawn_task;
use crate::clock;
use crate::gateway::Gateway;
use crate::sync::has_departed;

/// Time in which daemons that join are collected, to be written as voters together.
const JOIN_DELAY: Duration = Duration::from_millis(50);
/// Delay after a failed renewal, in addition to the renewal interval.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Begins a term, unless another daemon has begun one since the store was read up
/// to `expected`; returns this daemon's address for other daemons, or `None`
/// if the append failed. The `former` holder of the term is not listed until it
/// connects.
pub(crate) async fn take_over(
    gateway: &Rc<Gateway>,
    former: Option<&DaemonId>,
    expected: StorePosition,
) -> Option<SocketAddr> {
    let request_time = clock::now();
    let record = term_record(gateway, FenceNumber(0), expected.era, false);
    let first = match append_term(gateway, record, Vec::new(), expected).await {
        Ok(first) => first,
        Err(cause) => {
            info!(gateway.logger, "coordinator: takeover failed"; "cause" => %cause);
            return None;
        }
    };
    let settings = gateway.settings();
    let window = LeaseWindow::new(settings.bounds.lease);
    let lease = CoordinatorLease::begin(first, request_time);
    let mut members = gateway.members.borrow().clone();
    members.retain(|member| Some(&member.daemon) != former);
    let logger = gateway.logger.clone();
    let knowledge = FleetKnowledge {
        crashes: gateway.crashes.borrow().clone(),
        limits: gateway.table.borrow().limits.clone(),
    };
    let coordinator = ActiveCoordinator::new(lease, window, members, knowledge, logger);
    let coordinator = Rc::new(coordinator);
    info!(gateway.logger, "coordinator: term begins"; "fence" => lease.fence.0);
    gateway.metrics.coordinates.set(1);
    coordinator.init_load_limit(gateway.load_limit.get(), clock::now());
    read_engines(gateway, &coordinator).await;
    gateway.coordinator.set(Some(Rc::clone(&coordinator)));
    tokio::task::spawn_local(run_term(Rc::clone(gateway), coordinator));
    Some(settings.peers)
}

/// Reads all engines from the store, and adds the adapters that this daemon knew
/// the same incarnations to hold.
async fn read_engines(gateway: &Gateway, coordinator: &ActiveCoordinator) {
    let snapshot = match gateway.store.newest(StoreTopic::Engines).await {
        Ok(snapshot) => snapshot,
        Err(cause) => {
            let known = keep_known_engines(gateway, coordinator);
            warn!(
                gateway.logger, "coordinator: engines cannot be read";
                "cause" => %cause, "known" => known,
            );
            return;
        }
    };
    let now = clock::now();
    coordinator.record_store_read(snapshot.cursor(), now);
    for record in snapshot
        .records
        .iter()
        .filter(|record| !record.value.is_empty())
    {
        let Ok(mut entry) = decode_entry(&record.key, &record.value) else {
            // `sync_engines` logs invalid entries.
            continue;
        };
        if has_departed(gateway, &entry) {
            continue;
        }
        let table = gateway.table.borrow();
        let known = table
            .get(&entry.id)
            .filter(|engine| engine.info.birth == entry.birth);
        for held in known.iter().flat_map(|engine| &engine.info.holding) {
            let model = entry
                .models
                .iter_mut()
                .find(|model| model.model == held.model);
            if let Some(model) = model {
                model.adapters.extend(held.adapters.iter().cloned());
            }
        }
        coordinator.state.borrow_mut().apply_entry(&entry, now);
    }
}

/// Takes the engines that this daemon knows for those of the fleet, until they are read:
/// a view without them would take them from all daemons. Returns their number.
fn keep_known_engines(gateway: &Gateway, coordinator: &ActiveCoordinator) -> usize {
    let now = clock::now();
    let table = gateway.table.borrow();
    let known = table.iter().filter(|engine| !engine.info.ended);
    let entries: Vec<_> = known
        .map(|engine| EngineEntry::from(&engine.info))
        .collect();
    let mut state = coordinator.state.borrow_mut();
    for entry in &entries {
        state.apply_entry(entry, now);
    }
    entries.len()
}

async fn run_term(gateway: Rc<Gateway>, coordinator: Rc<ActiveCoordinator>) {
    tokio::select! {
        () = renew_lease(&gateway, &coordinator) => {}
        () = run_planner(&gateway, &coordinator) => {}
        () = monitor_store(&gateway, &coordinator) => {}
        () = coordinator.ended() => {}
    }
    coordinator.end("renewal or planning stopped");
    gateway.coordinator.set(None);
    gateway.metrics.coordinates.set(0);
}

fn term_record(gateway: &Gateway, fence: FenceNumber, era: StoreEra, released: bool) -> TermRecord {
    let settings = gateway.settings();
    TermRecord {
        daemon: settings.daemon.clone(),
        incarnation: gateway.incarnation,
        peers: settings.peers,
        fence,
        released,
        era,
    }
}

/// Appends `records` and then the term, if the log still ends at `end`; returns the
/// position of the term.
async fn append_term(
    gateway: &Gateway,
    term: TermRecord,
    mut records: Vec<NewRecord>,
    end: StorePosition,
) -> Result<StorePosition, StoreError> {
    let value = encode(&term).map_err(|_| StoreError::Format("a term cannot be encoded"))?;
    let key = StoreClient::coordinator_key().into();
    records.push(NewRecord { key, value });
    let topic = StoreTopic::Coordinator;
    gateway.store.append_at(topic, &records, end).await
}

/// Appends a term record of the current holder, preceded by the fleet record if
/// that has changed.
async fn append_own_term(
    gateway: &Gateway,
    coordinator: &ActiveCoordinator,
    lease: &CoordinatorLease,
    released: bool,
) -> Result<StorePosition, StoreError> {
    coordinator.crashes.borrow_mut().refresh_parts(clock::now());
    let voters = current_voters(gateway, coordinator);
    let fleet = StoredFleet {
        daemons: gateway.budget_daemons(),
        blocks: coordinator.crashes.borrow().block_revision(),
        versions: gateway.streams.version_revision(),
        voters: coordinator.quorum.borrow_mut().begin_write(voters),
    };
    let records = if coordinator.stored_fleet.borrow().as_ref() == Some(&fleet) {
        Vec::new()
    } else {
        vec![fleet_record(gateway, coordinator, &fleet)?]
    };
    let term = term_record(gateway, lease.fence, lease.next.era, released);
    let position = append_term(gateway, term, records, lease.next).await?;
    let voter_count = fleet.voters.0.len();
    coordinator.stored_fleet.replace(Some(fleet));
    if coordinator.quorum.borrow_mut().record_stored() {
        info!(gateway.logger, "coordinator: voters stored"; "voters" => voter_count);
    }
    Ok(position)
}

/// Voters of the term: the connected daemons, and those that were until recently.
fn current_voters(gateway: &Gateway, coordinator: &ActiveCoordinator) -> VoterSet {
    let now = clock::now();
    let members = current_members(coordinator, now);
    let mut roll = coordinator.voter_roll.borrow_mut();
    roll.record(&members, &coordinator.window, now);
    roll.voters(&gateway.settings().daemon)
}

fn fleet_record(
    gateway: &Gateway,
    coordinator: &ActiveCoordinator,
    fleet: &StoredFleet,
) -> Result<NewRecord, StoreError> {
    let record = FleetRecord {
        written: WallTime::now(),
        daemons: fleet.daemons,
        crashes: coordinator.crashes.borrow().blocked_reports(clock::now()),
        versions: gateway.streams.sightings(),
        voters: fleet.voters.clone(),
    };
    let value = encode(&record).map_err(|_| StoreError::Format("the fleet cannot be encoded"))?;
    let key = StoreClient::fleet_key().into();
    Ok(NewRecord { key, value })
}

/// Renews the lease periodically; returns when this daemon no longer holds the term.
async fn renew_lease(gateway: &Gateway, coordinator: &ActiveCoordinator) {
    loop {
        let joined = coordinator.voter_joined.notified();
        let interval = coordinator.window.renewal_interval.duration();
        if tokio::time::timeout(interval, joined).await.is_ok() {
            tokio::time::sleep(JOIN_DELAY).await;
        }
        if coordinator.is_resigned() {
            // `release_term` ends the term.
            continue;
        }
        let lease = *coordinator.lease.borrow();
        let request_time = clock::now();
        match append_own_term(gateway, coordinator, &lease, false).await {
            Ok(position) => {
                coordinator.lease.borrow_mut().renew(position, request_time);
                let members = current_members(coordinator, request_time);
                coordinator.members_at_renewal.replace(members);
            }
            Err(cause) => {
                warn!(
                    gateway.logger, "coordinator: renewal failed";
                    "fence" => lease.fence.0, "cause" => %cause,
                );
                if !check_term(gateway, coordinator, &lease).await {
                    return;
                }
                tokio::time::sleep(RENEWAL_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the store after a failed renewal; returns whether this daemon still holds the
/// term, or true if the store cannot be read. A renewal that was stored although its
/// answer was lost does not extend the lease, which counts from the last confirmed
/// renewal.
async fn check_term(
    gateway: &Gateway,
    coordinator: &ActiveCoordinator,
    lease: &CoordinatorLease,
) -> bool {
    let snapshot = match gateway.store.newest(StoreTopic::Coordinator).await {
        Ok(snapshot) => snapshot,
        Err(cause) => {
            // Another daemon may have taken over; the lease window bounds how long orders
            // are sent.
            warn!(gateway.logger, "coordinator: term cannot be verified"; "cause" => %cause);
            return true;
        }
    };
    let newest = newest_term(&snapshot, &gateway.logger).and_then(|stored| stored.term);
    let is_own = newest.as_ref().is_some_and(|term| {
        term.incarnation == gateway.incarnation && term.daemon == gateway.settings().daemon
    });
    let era = snapshot.end.era;
    let window = &coordinator.window;
    if lease.is_held(newest.as_ref(), is_own, era, window, clock::now()) {
        if era != lease.next.era {
            info!(
                gateway.logger, "coordinator: the store forgot the term, which goes on";
                "fence" => lease.fence.0, "era" => era.0,
            );
            // The fleet record may be forgotten, too.
            coordinator.stored_fleet.replace(None);
            coordinator.quorum.borrow_mut().forget();
        }
        coordinator.lease.borrow_mut().next = snapshot.end;
        return true;
    }
    coordinator.end("another daemon took over");
    false
}

/// Plans tasks, starts them and publishes views until the term ends.
async fn run_planner(gateway: &Rc<Gateway>, coordinator: &Rc<ActiveCoordinator>) {
    let mut pause = plan_pause(Duration::ZERO);
    loop {
        // Waits for the interval or until a plan is requested.
        drop(tokio::time::timeout(pause.regular, coordinator.plan_requested.notified()).await);
        tokio::time::sleep(pause.requested).await;
        if coordinator.is_ended() {
            return;
        }
        let started = Instant::now();
        let now = clock::now();
        let manifest = gateway.manifest();
        coordinator.state.borrow_mut().recompute(now);
        if let (Some(manifest), true) = (&manifest, coordinator.may_order()) {
            let window = gateway.settings().bounds.load_window;
            let tasks = plan_tasks(&mut coordinator.state.borrow_mut(), manifest, window, now);
            for task in tasks {
                spawn_task(gateway, coordinator, task);
            }
        }
        let slow = manifest.map_or_else(Vec::new, |manifest| {
            slow_models(&coordinator.state.borrow(), &manifest, now)
        });
        let inputs = ViewInputs {
            manifest: gateway.manifests.newest_version(),
            slow,
            versions: gateway.streams.sightings(),
            store_era: gateway.store.era(),
            link: gateway.settings().capacity.link,
        };
        publish(coordinator, inputs, &gateway.logger);
        issue_permits(gateway, coordinator);
        issue_credit(gateway, coordinator);
        pause = plan_pause(started.elapsed());
    }
}

/// Releases the term, if this daemon holds it, so that another can take over
/// without waiting for the lease to expire.
pub(crate) async fn release_term(gateway: &Gateway) {
    let Some(coordinator) = gateway.coordinator.active() else {
        return;
    };
    // The record is written first: daemons read it as soon as their connection to
    // the coordinator ends.
    coordinator.resign();
    let lease = *coordinator.lease.borrow();
    if let Err(cause) = append_own_term(gateway, &coordinator, &lease, true).await {
        warn!(gateway.logger, "coordinator: release failed"; "cause" => %cause);
    }
    coordinator.end("the daemon is shutting down");
}
