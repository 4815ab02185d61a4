//! Engines in need that name in their answers how many requests they take.
//!
//! A daemon reports each change of a limit to the coordinator, whose views tell it to all
//! daemons, and reports it again when a view does not know of it. Requests to a limited
//! engine need permits of the coordinator; without one, they are sent in turns.

use http::{HeaderMap, StatusCode};
use indexmap::IndexSet;
use slog::{Logger, info, warn};
use ward_adapter::header::{RateLimit, parse_rate_limit};
use ward_fleet::choice::LimitedEngines;
use ward_fleet::{
    EngineIncarnation, EngineInfo, LimitEvidence, LimitSighting, PermitBatch, TurnShare,
};
use ward_protocol::{BackendId, MonoTime, TimeSpan, WallTime};

use crate::clock;
use crate::gateway::Gateway;

/// Time without a coordinator after which a daemon sends in turns. Until then, the
/// coordinator may still count the daemon as connected and give its share to others.
const TURNS_DELAY: TimeSpan = TimeSpan::from_millis(1_500);

/// Records what an answer, known to be the request's own, says about its engine's limit.
pub(crate) fn record_limit(
    gateway: &Gateway,
    engine: &EngineInfo,
    status: StatusCode,
    headers: &HeaderMap,
    sent_at: MonoTime,
) {
    // Another engine may have the address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let rate = match parse_rate_limit(headers) {
        RateLimit::Absent => None,
        RateLimit::Rate(rate) => Some(rate),
        RateLimit::Garbled => {
            warn!(gateway.logger, "limits: not a number"; "engine" => %engine.id);
            return;
        }
    };
    let evidence = LimitEvidence {
        incarnation: EngineIncarnation::from(engine),
        rate,
        sent_at,
        answered_at: clock::now(),
    };
    let mut table = gateway.table.borrow_mut();
    if !table.limits.record(&evidence) {
        return;
    }
    let sighting = table.limits.sighting(&engine.id, evidence.answered_at);
    drop(table);
    if let Some(sighting) = sighting {
        log_change(&gateway.logger, &sighting, "answer");
    }
    report_limits(gateway, [engine.id.clone()]);
    // Requests that wait may now need a permit, or none any more.
    gateway.queue.notify_change();
}

/// Logs that the limit of an engine has begun, changed or ended.
pub(crate) fn log_change(logger: &Logger, sighting: &LimitSighting, source: &str) {
    let LimitSighting {
        incarnation,
        rate,
        age,
    } = sighting;
    info!(
        logger, "limits: changed"; "engine" => %incarnation.engine,
        "birth" => incarnation.birth.map(|birth| birth.0),
        "rate" => rate.map(|rate| rate.to_string()), "age" => age.millis(), "source" => source,
    );
}

fn report_limits(gateway: &Gateway, engines: impl IntoIterator<Item = BackendId>) {
    gateway.report_events.borrow_mut().limits.extend(engines);
    gateway.report_requested.notify_one();
}

/// What to report of the limits of engines.
pub(crate) fn limit_sightings(
    gateway: &Gateway,
    engines: &IndexSet<BackendId>,
) -> Vec<LimitSighting> {
    let table = gateway.table.borrow();
    let now = clock::now();
    let sightings = engines
        .iter()
        .filter_map(|engine| table.limits.sighting(engine, now));
    sightings.collect()
}

/// Records the limits that another daemon tells, and reports those that it does not know;
/// `complete` is whether it told all that it knows.
pub(crate) fn record_told_limits(gateway: &Gateway, told: &[LimitSighting], complete: bool) {
    let now = clock::now();
    let mut table = gateway.table.borrow_mut();
    for sighting in told {
        if table.limits.record_sighting(sighting, now) {
            log_change(&gateway.logger, sighting, "told");
        }
    }
    let unknown = table.limits.unknown_to(told, complete);
    drop(table);
    if !unknown.is_empty() {
        report_limits(gateway, unknown);
    }
}

/// Takes the permits that the coordinator has issued.
pub(crate) fn receive_permits(gateway: &Gateway, batch: &PermitBatch) {
    let mut table = gateway.table.borrow_mut();
    table.permits.receive(batch, clock::now());
    drop(table);
    gateway.queue.notify_change();
}

/// This daemon's turns at limited engines; `None` while a coordinator issues permits, or
/// may still do so.
pub(crate) fn own_turns(gateway: &Gateway) -> Option<TurnShare> {
    let since = gateway.unfollowed_since.get()?;
    if clock::now().since(since) < TURNS_DELAY {
        return None;
    }
    let own = &gateway.settings().daemon;
    let members = gateway.members.borrow();
    let rank = members.iter().filter(|member| member.daemon < *own).count();
    Some(TurnShare {
        daemons: gateway.budget_daemons(),
        rank,
        now: WallTime::now(),
    })
}

/// Expected time until the request with `ahead` others before it may be sent to one of
/// these engines; `None` if that is not known.
pub(crate) fn permit_wait(
    gateway: &Gateway,
    limited: &LimitedEngines,
    ahead: usize,
) -> Option<TimeSpan> {
    let now = clock::now();
    let turns = own_turns(gateway);
    let table = gateway.table.borrow();
    let waits = limited.engines.iter().filter_map(|id| {
        let Some(turns) = turns else {
            return table.permits.expected_wait(id, ahead, now);
        };
        let rate = table.limits.rate_of(&table.get(id)?.info)?;
        Some(turns.wait_for(rate, ahead))
    });
    waits.min()
}
