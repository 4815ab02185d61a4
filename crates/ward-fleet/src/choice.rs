//! Which engine a request goes to.
//!
//! Load pattern: a few models take most requests, each lies on several engines,
//! and every daemon sees only its own requests plus totals that are some tenths
//! of a second old. Taking the least loaded of a few engines drawn at random
//! spreads load well and keeps daemons with the same old totals from all
//! choosing the same engine. Each takes no more than its share of an engine's free
//! places between two counts, or all would take the last place at once. Long shared prompts go where they were read last,
//! as long as that engine is not much busier than the others.

use indexmap::IndexSet;
use ward_protocol::{AdapterName, BackendId, ModelName, MonoTime, ServiceName, ZoneName};

use crate::number::{real, real_u64};
use crate::table::{EngineRecord, EngineTable};

/// Engines compared for one request.
const DRAWS: usize = 3;
/// Load, in requests, that the same availability zone is worth.
const ZONE_BONUS: f64 = 0.75;
/// Load, in requests, for each full doubling of the first-byte time.
const SLOWNESS_COST: f64 = 2.0;
/// Shared tokens from which on re-reading them costs more than some imbalance.
const STICKY_TOKENS: u64 = 1_000;
/// Load, in requests, that a kept prompt is worth per thousand shared tokens.
const STICKY_BONUS: f64 = 1.0;

/// Part of an engine's free places that one daemon may take between two counts
/// of all daemons' requests, times the number of daemons. Above one, since some
/// daemons get more requests than others.
const PLACE_SHARE: f64 = 2.0;

/// What a daemon knows when it chooses.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Daemons that send requests to the same engines.
    pub daemons: usize,
    /// The present time.
    pub now: MonoTime,
}

impl ChoiceContext<'_> {
    /// Whether an engine has a place that this daemon may take.
    fn is_open(&self, engine: &EngineRecord) -> bool {
        if engine.health.is_recovering() && engine.own_count() > 0 {
            return false;
        }
        if engine.health.is_full(self.now) || engine.running() >= engine.info.slots {
            return false;
        }
        let others = engine.total.saturating_sub(engine.own_in_total);
        let free = engine.info.slots.saturating_sub(others);
        let share = (PLACE_SHARE * f64::from(free) / real(self.daemons.max(1))).ceil();
        let added = engine.own_count().saturating_sub(engine.own_in_total);
        f64::from(added) < share
    }
}

/// What a request needs of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequirement<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model.
    pub model: Option<&'a ModelName>,
    /// The adapter of that model.
    pub adapter: Option<&'a AdapterName>,
    /// Tokens of its prompt that other requests share.
    pub shared_tokens: u64,
    /// Id of the shared beginning of its prompt.
    pub shared_prefix: Option<&'a str>,
}

impl EngineRequirement<'_> {
    /// Whether an engine holds what the request needs.
    #[must_use]
    pub fn fits(&self, engine: &EngineRecord) -> bool {
        self.model
            .is_none_or(|model| engine.info.holds(model, self.adapter))
    }
}

/// The outcome of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineChoice {
    /// Send it there.
    Engine(BackendId),
    /// Some engines hold what it needs, and all are full.
    Full,
    /// All engines that hold what it needs have asked for a pause, the shortest
    /// until this time.
    Paused(MonoTime),
    /// No engine holds what it needs.
    Missing,
    /// The service has no engine at all.
    NoEngine,
}

/// Chooses an engine for a request; those in `avoided` only when there is no
/// other. `draw` returns a random number below its argument.
pub fn choose_engine(
    table: &EngineTable,
    wish: &EngineRequirement<'_>,
    context: &ChoiceContext<'_>,
    avoided: &IndexSet<BackendId>,
    mut draw: impl FnMut(usize) -> usize,
) -> EngineChoice {
    let engines: Vec<_> = table.of_service(wish.service).collect();
    if engines.is_empty() {
        return EngineChoice::NoEngine;
    }
    let mut fitting: Vec<_> = engines
        .into_iter()
        .filter(|engine| wish.fits(engine))
        .collect();
    if fitting.is_empty() {
        return EngineChoice::Missing;
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
    let open: Vec<_> = fitting
        .into_iter()
        .filter(|engine| context.is_open(engine))
        .collect();
    let sticky = sticky_engine(&open, wish);
    let best_latency = best_latency(&open);
    let cost = |engine: &EngineRecord| {
        let mut cost = f64::from(engine.running());
        if engine.info.zone == *context.zone {
            cost -= ZONE_BONUS;
        }
        if sticky == Some(&engine.info.id) {
            cost -= STICKY_BONUS * real_u64(wish.shared_tokens) / 1_000.0;
        }
        cost + slowness(engine, best_latency)
    };
    let drawn = draw_engines(&open, sticky, &mut draw);
    let best = drawn
        .into_iter()
        .min_by(|left, right| cost(left).total_cmp(&cost(right)));
    match best {
        Some(engine) => EngineChoice::Engine(engine.info.id.clone()),
        None => EngineChoice::Full,
    }
}

/// Keeps the engines that a predicate accepts, unless there are none.
fn prefer(engines: &mut Vec<&EngineRecord>, accept: impl Fn(&EngineRecord) -> bool) {
    if engines.iter().any(|engine| accept(engine)) {
        engines.retain(|engine| accept(engine));
    }
}

/// A few engines in random order, and the sticky one with them.
fn draw_engines<'a>(
    open: &[&'a EngineRecord],
    sticky: Option<&BackendId>,
    draw: &mut impl FnMut(usize) -> usize,
) -> Vec<&'a EngineRecord> {
    let mut rest = open.to_vec();
    let mut drawn = Vec::with_capacity(DRAWS + 1);
    while drawn.len() < DRAWS && !rest.is_empty() {
        let index = draw(rest.len()).min(rest.len() - 1);
        drawn.push(rest.swap_remove(index));
    }
    let sticky = rest
        .into_iter()
        .find(|engine| Some(&engine.info.id) == sticky);
    drawn.extend(sticky);
    drawn
}

/// The engine that every daemon prefers for a long shared prompt.
fn sticky_engine<'a>(
    open: &[&'a EngineRecord],
    wish: &EngineRequirement<'_>,
) -> Option<&'a BackendId> {
    let part = wish
        .shared_prefix
        .filter(|_| wish.shared_tokens >= STICKY_TOKENS)?;
    let weight = |engine: &&&EngineRecord| rendezvous_weight(part, &engine.info.id);
    let engine = open.iter().max_by_key(weight)?;
    Some(&engine.info.id)
}

fn rendezvous_weight(part: &str, engine: &BackendId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(part.as_bytes());
    hasher.update(&[0]);
    hasher.update(engine.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

fn best_latency(engines: &[&EngineRecord]) -> Option<f64> {
    engines
        .iter()
        .filter_map(|engine| engine.health.first_byte_millis())
        .min_by(f64::total_cmp)
}

/// Load, in requests, that an engine's slowness counts as.
fn slowness(engine: &EngineRecord, best: Option<f64>) -> f64 {
    match (engine.health.first_byte_millis(), best) {
        (Some(millis), Some(best)) if best > 0.0 => SLOWNESS_COST * (millis / best).log2().max(0.0),
        _ => 0.0,
    }
}
