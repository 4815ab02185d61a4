//! Views and reports that contain only what changed.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails on a message that cannot be decoded"
)]

mod support;

use googletest::prelude::*;
use indexmap::IndexMap;
use support::{empty_view, entry, held, info, report, running, waiting};
use ward_fleet::compact::EngineNumber;
use ward_fleet::{
    CompactError, CompactView, EngineBirth, EngineInfo, EngineLoad, EngineTable, FleetView,
    LoadReport, ReportDecoder, ReportEncoder, RunningCount, ViewDecoder, ViewEncoder, WaitingCount,
};
use ward_protocol::codec::{decode, encode};
use ward_protocol::{BackendId, FenceNumber};

/// A fixed sequence of pseudorandom numbers.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(self.0 >> 33).unwrap_or(0) % bound
    }
}

fn load(engine: &BackendId, count: u32) -> EngineLoad {
    EngineLoad {
        engine: engine.clone(),
        count,
    }
}

fn changes(
    engines: Vec<EngineInfo>,
    gone: Vec<BackendId>,
    loads: Option<Vec<EngineLoad>>,
) -> FleetView {
    FleetView {
        engines,
        gone,
        loads,
        ..empty_view()
    }
}

fn complete(fleet: &IndexMap<BackendId, EngineInfo>, loads: Vec<EngineLoad>) -> FleetView {
    FleetView {
        complete: true,
        ..changes(fleet.values().cloned().collect(), Vec::new(), Some(loads))
    }
}

/// Passes a message through its encoding.
fn pass<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    decode(&encode(message).unwrap()).unwrap()
}

/// Changes one engine in one of the ways in which engines change.
fn mutate(draws: &mut Draws, fleet: &mut IndexMap<BackendId, EngineInfo>, step: i64) {
    let id: BackendId = support::id(&format!("engine-{}", draws.below(12)));
    let adapters = ["a1", "a2", "a3"];
    let Some(engine) = fleet.get_mut(&id) else {
        let mut fresh = info(id.as_str(), &["m1", "m2"]);
        fresh.birth = Some(EngineBirth(step));
        fleet.insert(id, fresh);
        return;
    };
    match draws.below(7) {
        0 => drop(fleet.shift_remove(&id)),
        1 => engine.birth = Some(EngineBirth(step)),
        2 => engine.draining = true,
        3 => engine.lapsed = !engine.lapsed,
        4 => engine.holding.reverse(),
        5 => drop(engine.holding.pop()),
        _ => {
            let model = format!("m{}", draws.below(4));
            engine.holding.retain(|held| held.model.as_str() != model);
            let adapters = &adapters[draws.below(3)..];
            engine.holding.push(held(&model, adapters));
        }
    }
}

fn draw_loads(draws: &mut Draws, fleet: &IndexMap<BackendId, EngineInfo>) -> Vec<EngineLoad> {
    let mut loads = Vec::new();
    for id in fleet.keys() {
        let count = draws.below(3);
        if count > 0 {
            loads.push(load(id, u32::try_from(count).unwrap()));
        }
    }
    loads.push(load(&support::id("unlisted"), 2));
    loads
}

/// A daemon's connection, with the engines that it knows from compact views and those
/// that it would know from the views before encoding.
#[derive(Default)]
struct Follower {
    decoder: ViewDecoder,
    table: EngineTable,
    expected: EngineTable,
}

impl Follower {
    fn apply(&mut self, message: &CompactView, view: &FleetView) {
        let decoded = self.decoder.decode(pass(message)).unwrap();
        self.table.apply(&decoded, false);
        self.expected.apply(view, false);
        expect_that!(self.table, eq(&self.expected));
    }
}

/// Load pattern: engines come, go, restart and swap models while daemons join at any
/// time; each daemon must know what it would know from views in full.
#[gtest]
fn compact_views_tell_what_full_ones_do() {
    for seed in 0..40 {
        let mut draws = Draws(seed);
        let mut encoder = ViewEncoder::default();
        let mut fleet: IndexMap<BackendId, EngineInfo> = IndexMap::new();
        let mut followers: Vec<Follower> = Vec::new();
        for step in 1..80 {
            let former = fleet.clone();
            for _ in 0..draws.below(4) {
                mutate(&mut draws, &mut fleet, step);
            }
            let changed = fleet
                .iter()
                .filter(|(id, info)| former.get(*id) != Some(*info));
            let changed = changed.map(|(_, info)| info.clone()).collect();
            let gone = former.keys().filter(|id| !fleet.contains_key(*id));
            let loads = draw_loads(&mut draws, &fleet);
            let sent_loads = (draws.below(2) == 0).then(|| loads.clone());
            let view = changes(changed, gone.cloned().collect(), sent_loads);
            let message = encoder.encode_changes(view.clone());
            for follower in &mut followers {
                follower.apply(&message, &view);
            }
            if draws.below(8) == 0 {
                let view = complete(&fleet, loads);
                let message = encoder.encode_complete(view.clone());
                let mut follower = Follower::default();
                follower.apply(&message, &view);
                followers.push(follower);
            }
        }
    }
}

/// A complete view tells newer counts than the last changes; a count that goes back to
/// the older value must still be sent.
#[gtest]
fn changed_loads_follow_a_complete_view_with_newer_counts() {
    let engine = info("e1", &[]);
    let fleet: IndexMap<_, _> = [(engine.id.clone(), engine.clone())].into_iter().collect();
    let mut encoder = ViewEncoder::default();
    let first = changes(
        vec![engine.clone()],
        Vec::new(),
        Some(vec![load(&engine.id, 3)]),
    );
    encoder.encode_changes(first);
    let mut decoder = ViewDecoder::default();
    let whole = encoder.encode_complete(complete(&fleet, vec![load(&engine.id, 5)]));
    let whole = decoder.decode(whole).unwrap();
    expect_that!(whole.loads, some(elements_are![eq(&load(&engine.id, 5))]));
    let next = changes(Vec::new(), Vec::new(), Some(vec![load(&engine.id, 3)]));
    let next = decoder.decode(encoder.encode_changes(next)).unwrap();
    expect_that!(next.loads, some(elements_are![eq(&load(&engine.id, 3))]));
}

#[gtest]
fn engine_numbers_are_not_reused() {
    let mut encoder = ViewEncoder::default();
    let number = |encoder: &mut ViewEncoder, name: &str| {
        let view = changes(vec![info(name, &[])], Vec::new(), None);
        encoder.encode_changes(view).engines[0].number
    };
    expect_that!(number(&mut encoder, "e1"), eq(EngineNumber(0)));
    encoder.encode_changes(changes(Vec::new(), vec![support::id("e1")], None));
    expect_that!(number(&mut encoder, "e2"), eq(EngineNumber(1)));
    expect_that!(number(&mut encoder, "e1"), eq(EngineNumber(2)));
}

#[gtest]
fn view_changes_without_their_base_are_refused() {
    let mut encoder = ViewEncoder::default();
    encoder.encode_changes(changes(vec![info("e1", &["m1"])], Vec::new(), None));
    let update = encoder.encode_changes(changes(vec![info("e1", &["m2"])], Vec::new(), None));
    let mut decoder = ViewDecoder::default();
    expect_that!(
        decoder.decode(update.clone()),
        err(eq(&CompactError::MissingBase))
    );
    let whole = complete(&IndexMap::new(), Vec::new());
    decoder
        .decode(ViewEncoder::default().encode_complete(whole))
        .unwrap();
    expect_that!(
        decoder.decode(update.clone()),
        err(eq(&CompactError::UnknownNumber(0)))
    );
    let mut foreign = update;
    foreign.rest.term = FenceNumber(2);
    expect_that!(decoder.decode(foreign), err(eq(&CompactError::MissingBase)));
}

fn sorted(mut report: LoadReport) -> LoadReport {
    let running = |count: &RunningCount| format!("{count:?}");
    let waiting = |count: &WaitingCount| format!("{count:?}");
    report.running.sort_by_key(running);
    report.waiting.sort_by_key(waiting);
    report
}

/// Load pattern: a daemon has a few requests at a time, over time for many models.
#[gtest]
fn report_changes_amount_to_complete_reports() {
    let mut draws = Draws(7);
    let mut encoder = ReportEncoder::default();
    let mut decoder = ReportDecoder::default();
    let mut has_restarted = false;
    for step in 0..600_usize {
        let mut sent = report(Vec::new(), Vec::new());
        for part in 0..draws.below(6) {
            let model = format!("m{}", step / 4 + part);
            let count = u32::try_from(1 + draws.below(3)).unwrap();
            sent.running
                .push(running(&format!("e{part}"), &model, count));
            sent.waiting.push(waiting(&model, Some("a1"), count));
            sent.arrivals.push(waiting(&model, None, count));
        }
        let message = pass(&encoder.encode(sent.clone()));
        has_restarted |= message.restart;
        let received = decoder.decode(message).unwrap();
        expect_that!(sorted(received), eq(&sorted(sent)), "step {step}");
    }
    expect_that!(has_restarted, eq(true));
}

#[gtest]
fn report_with_an_unknown_key_is_refused() {
    let mut encoder = ReportEncoder::default();
    encoder.encode(report(vec![running("e1", "m1", 1)], Vec::new()));
    let next = encoder.encode(report(vec![running("e1", "m1", 2)], Vec::new()));
    let outcome = ReportDecoder::default().decode(next);
    expect_that!(outcome, err(eq(&CompactError::UnknownNumber(0))));
}

/// Load pattern: 100 busy engines, of which half have other counts than before and five
/// swapped a model.
#[gtest]
fn view_changes_are_several_times_smaller_than_named_ones() {
    let engine = |number: usize, model: &str| {
        let mut entry = entry(&format!("assistant-north-{number}"), &["m1"], &[]);
        entry.models.push(held(model, &["adapter-1", "adapter-2"]));
        EngineInfo::from(&entry)
    };
    let engines: Vec<_> = (0..100).map(|number| engine(number, "m2")).collect();
    let loads = |odd: u32| {
        let engines = engines.iter().zip(0..);
        let loads = engines.map(|(engine, index)| load(&engine.id, 4 + odd * (index % 2)));
        loads.collect::<Vec<_>>()
    };
    let mut encoder = ViewEncoder::default();
    encoder.encode_changes(changes(engines.clone(), Vec::new(), Some(loads(0))));
    let swapped = (0..5).map(|number| engine(number, "m3")).collect();
    let view = changes(swapped, Vec::new(), Some(loads(1)));
    let named = encode(&view).unwrap().len();
    let numbered = encode(&encoder.encode_changes(view)).unwrap().len();
    expect_that!(5 * numbered, le(named), "{numbered} of {named} bytes");
}

/// Load pattern: a new coordinator sends a complete view with 3,000 engines, most of them
/// alike, to each daemon.
#[gtest]
fn complete_view_repeated_what_engines_share() {
    let engines = (0..3_000).map(|number| {
        let mut engine = info(&format!("i-{number:010}"), &[]);
        engine.birth = Some(EngineBirth(1_780_000_000_000 + number));
        engine.service = support::name("reservations");
        engine.zone = support::name("central-north-1");
        (engine.id.clone(), engine)
    });
    let fleet: IndexMap<_, _> = engines.collect();
    let mut encoder = ViewEncoder::default();
    let infos = fleet.values().cloned().collect();
    encoder.encode_changes(changes(infos, Vec::new(), None));
    let view = complete(&fleet, Vec::new());
    let named = encode(&view).unwrap().len();
    let message = encoder.encode_complete(view.clone());
    let compact = encode(&message).unwrap().len();
    expect_that!(3 * compact, le(2 * named), "{compact} of {named} bytes");
    let decoded = ViewDecoder::default().decode(message).unwrap();
    expect_that!(decoded.engines, eq(&view.engines));
}
