//! Selects the engine for a request.
//!
//! Load pattern: a few models take most requests, each model is held by several
//! engines, and every daemon knows only its own requests plus fleet-wide totals
//! that are a few tenths of a second old. Choosing the least loaded of a few
//! randomly sampled engines spreads load well and keeps daemons with the same
//! stale totals from all choosing the same engine. Between two updates of the
//! totals, a daemon takes no more than its share of an engine's free slots;
//! otherwise all daemons would take the last slot at the same time. Requests
//! with the same long prompt prefix go to the same engine, which has already
//! processed it, unless that engine is much busier than the others.

use indexmap::IndexSet;
use ward_protocol::{
    AdapterName, BackendId, ModelName, MonoTime, PartId, ServiceName, SoftwareVersion, ZoneName,
};

use crate::limit::{RequestRate, Turn, TurnShare};
use crate::number::{u64_to_f64, usize_to_f64};
use crate::table::{EngineRecord, EngineTable};

/// Randomly sampled engines that are compared for one request.
const SAMPLE_SIZE: usize = 3;
/// Load, in requests, by which an engine in the daemon's own availability zone
/// is preferred.
const ZONE_BONUS: f64 = 0.75;
/// Load, in requests, added for each doubling of the time to first byte
/// relative to the fastest engine.
const SLOWNESS_COST: f64 = 2.0;
/// Minimum number of shared prompt tokens for a request to prefer the engine
/// that its prefix is hashed to and that has usually cached them. Processing
/// fewer tokens again costs less than an uneven load.
const MIN_STICKY_TOKENS: u64 = 1_000;
/// Load, in requests, that a cached prompt prefix saves per thousand shared
/// tokens.
const STICKY_BONUS: f64 = 1.0;

/// Multiple of an equal share of an engine's free slots that one daemon may
/// take between two updates of the fleet-wide totals. Above one because some
/// daemons get more requests than others.
const SLOT_SHARE: f64 = 2.0;

/// Maximum number of limited engines of which permits are asked for a request.
const MAX_LIMITED: usize = 8;

/// State of the daemon that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// Availability zone of this daemon.
    pub zone: &'a ZoneName,
    /// Number of daemons that send requests to the same engines.
    pub daemons: usize,
    /// Current time, which health timeouts are compared with.
    pub now: MonoTime,
    /// This daemon's turns at limited engines; `None` while a coordinator issues permits.
    pub turns: Option<TurnShare>,
}

impl ChoiceContext<'_> {
    /// The current turn of this daemon at a limited engine, if it has one.
    #[must_use]
    pub fn turn_at(&self, table: &EngineTable, engine: &EngineRecord) -> Option<Turn> {
        self.turn_within(table.limits.rate_of(&engine.info)?)
    }

    fn turn_within(&self, rate: RequestRate) -> Option<Turn> {
        self.turns?.own_turn(rate)
    }

    /// Whether an engine has no limit, or this daemon may send it a request within it.
    fn is_permitted(&self, table: &EngineTable, engine: &EngineRecord) -> bool {
        let Some(rate) = table.limits.rate_of(&engine.info) else {
            return true;
        };
        let turn = self.turn_within(rate);
        table.permits.allows(&engine.info.id, turn, self.now)
    }

    /// Whether this daemon may send another request to an engine: one slot of
    /// its share is free, the engine has not just refused a request as full,
    /// and while it recovers from a pause, it runs no request of this daemon.
    fn may_send_to(&self, engine: &EngineRecord) -> bool {
        if engine.health.is_recovering() && engine.own_count() > 0 {
            return false;
        }
        if engine.health.is_full(self.now) || engine.running() >= engine.info.slots {
            return false;
        }
        let others = engine.total.saturating_sub(engine.own_in_total);
        let free = engine.info.slots.saturating_sub(others);
        let share = (SLOT_SHARE * f64::from(free) / usize_to_f64(self.daemons.max(1))).ceil();
        let added = engine.own_count().saturating_sub(engine.own_in_total);
        f64::from(added) < share
    }
}

/// What a request requires of its engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequirement<'a> {
    /// Service that the request is routed to.
    pub service: &'a ServiceName,
    /// Model that the engine must hold; `None` for a service without models.
    pub model: Option<&'a ModelName>,
    /// Adapter of that model that must be ready too.
    pub adapter: Option<&'a AdapterName>,
    /// Software version that the engine must run, so that it can continue a stream;
    /// `None` if any will do.
    pub software: Option<&'a SoftwareVersion>,
    /// Prompt tokens shared with other requests.
    pub shared_tokens: u64,
    /// Last part of the shared prompt prefix; `None` if the request names none.
    pub shared_prefix: Option<&'a PartId>,
}

impl EngineRequirement<'_> {
    /// Whether an engine holds the required model and adapter; always true if
    /// no model is required.
    #[must_use]
    pub fn fits(&self, engine: &EngineRecord) -> bool {
        self.model
            .is_none_or(|model| engine.info.holds(model, self.adapter))
    }

    /// Whether an engine runs the required software version; always true if none is
    /// required.
    #[must_use]
    pub fn has_software(&self, engine: &EngineRecord) -> bool {
        let required = self.software;
        required.is_none_or(|software| engine.info.software == *software)
    }
}

/// Result of choosing an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineChoice {
    /// Send the request to this engine.
    Engine(BackendId),
    /// Some engines hold the model and adapter, but none has a free slot for
    /// this daemon; ejected or avoided ones do not count while there are
    /// others.
    Full,
    /// Some engines that hold the model and adapter have a slot for this daemon, but
    /// requests to them need permits that it does not have.
    Limited(LimitedEngines),
    /// All engines that hold the model and adapter have asked for a pause; the
    /// first pause ends at this time.
    Paused(MonoTime),
    /// The service has engines, but none holds the model and adapter.
    Missing,
    /// Only engines of other software versions hold the model and adapter.
    OtherVersions,
    /// The service has no engine that takes requests, or none of the required software
    /// version.
    NoEngine,
}

/// Engines that could run a request, but for their limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitedEngines {
    /// The least loaded of them first; only some if there are many.
    pub engines: Vec<BackendId>,
    /// Whether no engine without a limit holds the model and adapter.
    pub are_only: bool,
}

/// Chooses an engine for a request. Engines in `avoided` are used only when all
/// others that hold the model and adapter are paused or ejected. `draw` returns
/// a random number below its argument.
pub fn choose_engine(
    table: &EngineTable,
    requirement: &EngineRequirement<'_>,
    context: &ChoiceContext<'_>,
    avoided: &IndexSet<BackendId>,
    mut draw: impl FnMut(usize) -> usize,
) -> EngineChoice {
    let mut fitting: Vec<_> = table.of_service(requirement.service).collect();
    if !fitting
        .iter()
        .any(|engine| requirement.has_software(engine))
    {
        return EngineChoice::NoEngine;
    }
    fitting.retain(|engine| requirement.fits(engine));
    if fitting.is_empty() {
        return EngineChoice::Missing;
    }
    fitting.retain(|engine| requirement.has_software(engine));
    if fitting.is_empty() {
        return EngineChoice::OtherVersions;
    }
    let pause = |engine: &EngineRecord| engine.health.paused_until(context.now);
    if fitting.iter().all(|engine| pause(engine).is_some()) {
        let first = fitting.iter().filter_map(|engine| pause(engine)).min();
        return EngineChoice::Paused(first.unwrap_or(context.now));
    }
    fitting.retain(|engine| pause(engine).is_none());
    prefer(&mut fitting, |engine| {
        !engine.health.is_ejected(context.now)
    });
    prefer(&mut fitting, |engine| !avoided.contains(&engine.info.id));
    let available = fitting.iter().copied();
    let available = available.filter(|engine| context.may_send_to(engine));
    let (available, limited): (Vec<_>, Vec<_>) =
        available.partition(|engine| context.is_permitted(table, engine));
    let sticky = sticky_engine(&available, requirement);
    let best_first_byte_millis = best_first_byte_millis(&available);
    let cost = |engine: &EngineRecord| {
        let mut cost = f64::from(engine.running());
        if engine.info.zone == *context.zone {
            cost -= ZONE_BONUS;
        }
        if sticky == Some(&engine.info.id) {
            cost -= STICKY_BONUS * u64_to_f64(requirement.shared_tokens) / 1_000.0;
        }
        cost + slowness(engine, best_first_byte_millis)
    };
    let sampled = sample_engines(&available, sticky, &mut draw);
    let best = sampled
        .into_iter()
        .min_by(|left, right| cost(left).total_cmp(&cost(right)));
    match best {
        Some(engine) => EngineChoice::Engine(engine.info.id.clone()),
        None if limited.is_empty() => EngineChoice::Full,
        None => EngineChoice::Limited(LimitedEngines {
            engines: least_loaded(limited),
            are_only: fitting
                .iter()
                .all(|engine| table.limits.rate_of(&engine.info).is_some()),
        }),
    }
}

/// The limited engine that a request could use if this daemon had a permit: the least
/// loaded one. A daemon that has requests for such an engine now and then asks for spare
/// permits, so that the engine is used up to its limit, and its end is noticed.
#[must_use]
pub fn spare_engine<'a>(
    table: &'a EngineTable,
    requirement: &EngineRequirement<'_>,
    context: &ChoiceContext<'_>,
) -> Option<&'a BackendId> {
    if table.limits.is_empty() {
        return None;
    }
    let engines = table.of_service(requirement.service).filter(|engine| {
        requirement.fits(engine)
            && requirement.has_software(engine)
            && engine.health.paused_until(context.now).is_none()
            && context.may_send_to(engine)
            && !context.is_permitted(table, engine)
    });
    let least = engines.min_by_key(|engine| engine.running());
    least.map(|engine| &engine.info.id)
}

/// Ids of the least loaded engines.
fn least_loaded(mut engines: Vec<&EngineRecord>) -> Vec<BackendId> {
    engines.sort_by_key(|engine| engine.running());
    engines.truncate(MAX_LIMITED);
    let ids = engines.into_iter().map(|engine| engine.info.id.clone());
    ids.collect()
}

/// Keeps the engines that match a predicate, or all if none does.
fn prefer(engines: &mut Vec<&EngineRecord>, accept: impl Fn(&EngineRecord) -> bool) {
    if engines.iter().any(|engine| accept(engine)) {
        engines.retain(|engine| accept(engine));
    }
}

/// A random sample of the engines, plus the sticky one.
fn sample_engines<'a>(
    available: &[&'a EngineRecord],
    sticky: Option<&BackendId>,
    draw: &mut impl FnMut(usize) -> usize,
) -> Vec<&'a EngineRecord> {
    let mut remaining = available.to_vec();
    let mut sampled = Vec::with_capacity(SAMPLE_SIZE + 1);
    while sampled.len() < SAMPLE_SIZE && !remaining.is_empty() {
        let index = draw(remaining.len()).min(remaining.len() - 1);
        sampled.push(remaining.swap_remove(index));
    }
    let sticky = remaining
        .into_iter()
        .find(|engine| Some(&engine.info.id) == sticky);
    sampled.extend(sticky);
    sampled
}

/// The engine that all daemons prefer for a long shared prompt prefix
/// (rendezvous hashing).
fn sticky_engine<'a>(
    available: &[&'a EngineRecord],
    requirement: &EngineRequirement<'_>,
) -> Option<&'a BackendId> {
    let prefix = requirement
        .shared_prefix
        .filter(|_| requirement.shared_tokens >= MIN_STICKY_TOKENS)?;
    let weight = |engine: &&&EngineRecord| rendezvous_weight(prefix, &engine.info.id);
    let engine = available.iter().max_by_key(weight)?;
    Some(&engine.info.id)
}

fn rendezvous_weight(prefix: &PartId, engine: &BackendId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(engine.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Lowest average time to first byte, in milliseconds; `None` if no engine has
/// answered yet.
fn best_first_byte_millis(engines: &[&EngineRecord]) -> Option<f64> {
    engines
        .iter()
        .filter_map(|engine| engine.health.first_byte_millis())
        .min_by(f64::total_cmp)
}

/// Load, in requests, added for an engine that is slower than the best one.
fn slowness(engine: &EngineRecord, best: Option<f64>) -> f64 {
    match (engine.health.first_byte_millis(), best) {
        (Some(millis), Some(best)) if best > 0.0 => SLOWNESS_COST * (millis / best).log2().max(0.0),
        _ => 0.0,
    }
}
