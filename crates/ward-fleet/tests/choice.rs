//! Selection of an engine for a request, and the engine table behind it.

mod support;

use googletest::prelude::*;
use indexmap::IndexSet;
use support::{at, empty_view, id, info, name, service};
use ward_fleet::choice::EngineChoice;
use ward_fleet::health::EngineSignal;
use ward_fleet::{
    ChoiceContext, EngineLoad, EngineRequirement, EngineTable, FleetView, HeldModel, choose_engine,
};
use ward_protocol::{BackendId, ModelName, ServiceName, TimeSpan};

fn table(engines: &[(&str, &[&str])]) -> EngineTable {
    let mut table = EngineTable::default();
    for (engine, models) in engines {
        table.insert(info(engine, models));
    }
    table
}

fn requirement<'a>(service: &'a ServiceName, model: &'a ModelName) -> EngineRequirement<'a> {
    EngineRequirement {
        service,
        model: Some(model),
        adapter: None,
        software: None,
        shared_tokens: 0,
        shared_prefix: None,
    }
}

fn choose(table: &EngineTable, model: &str, avoided: &[&str]) -> EngineChoice {
    let (service, model): (_, ModelName) = (service(), name(model));
    let requirement = requirement(&service, &model);
    let avoided: IndexSet<BackendId> = avoided.iter().map(|text| id(text)).collect();
    choose_engine(table, &requirement, &context(1), &avoided, |_| 0)
}

fn context(daemons: usize) -> ChoiceContext<'static> {
    static ZONE: std::sync::LazyLock<ward_protocol::ZoneName> =
        std::sync::LazyLock::new(|| name("north"));
    ChoiceContext {
        zone: &ZONE,
        daemons,
        now: at(0),
        turns: None,
    }
}

fn loads(counts: &[(&str, u32)]) -> FleetView {
    let loads = counts.iter().map(|(engine, count)| EngineLoad {
        engine: id(engine),
        count: *count,
    });
    FleetView {
        loads: Some(loads.collect()),
        ..empty_view()
    }
}

#[gtest]
fn choose_engine_takes_the_least_loaded_holder() {
    let mut table = table(&[("e1", &["m1"]), ("e2", &["m1"]), ("e3", &["m2"])]);
    table.apply(&loads(&[("e1", 5), ("e2", 1)]), false);
    expect_that!(
        choose(&table, "m1", &[]),
        eq(&EngineChoice::Engine(id("e2")))
    );
}

#[gtest]
fn choose_engine_own_requests_count_immediately() {
    let mut table = table(&[("e1", &["m1"]), ("e2", &["m1"])]);
    let model: ModelName = name("m1");
    for _ in 0..10 {
        let EngineChoice::Engine(engine) = choose(&table, "m1", &[]) else {
            panic!("no engine was chosen");
        };
        table.begin_request(&engine, Some(&model), None);
    }
    for engine in table.iter() {
        expect_that!(engine.running(), eq(5));
    }
}

#[gtest]
fn choose_engine_full_and_missing_differ() {
    let mut table = table(&[("e1", &["m1"])]);
    expect_that!(choose(&table, "m9", &[]), eq(&EngineChoice::Missing));
    table.apply(&loads(&[("e1", 12)]), false);
    expect_that!(choose(&table, "m1", &[]), eq(&EngineChoice::Full));
}

#[gtest]
fn choose_engine_draining_engine_gets_no_requests() {
    let mut table = EngineTable::default();
    table.insert(ward_fleet::EngineInfo {
        draining: true,
        ..info("e1", &["m1"])
    });
    expect_that!(choose(&table, "m1", &[]), eq(&EngineChoice::NoEngine));
}

#[gtest]
fn choose_engine_ejected_engine_is_the_last_resort() {
    let mut table = table(&[("e1", &["m1"]), ("e2", &["m1"])]);
    table.record_signal(&id("e1"), EngineSignal::Unreachable, at(0));
    table.apply(&loads(&[("e2", 6)]), false);
    expect_that!(
        choose(&table, "m1", &[]),
        eq(&EngineChoice::Engine(id("e2")))
    );
    table.remove(&id("e2"));
    expect_that!(
        choose(&table, "m1", &[]),
        eq(&EngineChoice::Engine(id("e1")))
    );
}

#[gtest]
fn choose_engine_avoided_engine_is_used_without_alternative() {
    let table = table(&[("e1", &["m1"]), ("e2", &["m1"])]);
    expect_that!(
        choose(&table, "m1", &["e1"]),
        eq(&EngineChoice::Engine(id("e2")))
    );
    expect_that!(
        choose(&table, "m1", &["e1", "e2"]),
        matches_pattern!(EngineChoice::Engine(_))
    );
}

#[gtest]
fn insert_stale_info_does_not_end_draining() {
    let mut table = EngineTable::default();
    table.insert(ward_fleet::EngineInfo {
        draining: true,
        ..info("e1", &["m1"])
    });
    table.insert(info("e1", &["m1"]));
    expect_that!(choose(&table, "m1", &[]), eq(&EngineChoice::NoEngine));
}

#[gtest]
fn insert_new_incarnation_drops_held_models() {
    let mut table = table(&[("e1", &["m1"])]);
    let birth = Some(ward_fleet::EngineBirth(2));
    table.insert(ward_fleet::EngineInfo {
        birth,
        ..info("e1", &[])
    });
    expect_that!(choose(&table, "m1", &[]), eq(&EngineChoice::Missing));
    table.insert(info("e1", &["m1"]));
    expect_that!(choose(&table, "m1", &[]), eq(&EngineChoice::Missing));
}

#[gtest]
fn choose_engine_requires_the_adapter() {
    let mut table = EngineTable::default();
    let holding = vec![HeldModel {
        model: name("m1"),
        adapters: vec![name("a2")],
    }];
    table.insert(ward_fleet::EngineInfo {
        holding,
        ..info("e1", &[])
    });
    let (service, model): (_, ModelName) = (service(), name("m1"));
    let choice = |adapter: &str| {
        let adapter = name(adapter);
        let requirement = EngineRequirement {
            service: &service,
            model: Some(&model),
            adapter: Some(&adapter),
            software: None,
            shared_tokens: 0,
            shared_prefix: None,
        };
        choose_engine(&table, &requirement, &context(9), &IndexSet::new(), |_| 0)
    };
    expect_that!(choice("a1"), eq(&EngineChoice::Missing));
    expect_that!(choice("a2"), eq(&EngineChoice::Engine(id("e1"))));
}

#[gtest]
fn choose_engine_many_daemons_share_the_last_slots() {
    let mut table = table(&[("e1", &["m1"])]);
    table.apply(&loads(&[("e1", 4)]), false);
    let model: ModelName = name("m1");
    let (service, avoided) = (service(), IndexSet::new());
    let requirement = requirement(&service, &model);
    let mut taken = 0;
    while let EngineChoice::Engine(engine) =
        choose_engine(&table, &requirement, &context(77), &avoided, |_| 0)
    {
        table.begin_request(&engine, Some(&model), None);
        taken += 1;
    }
    expect_that!(taken, eq(1));
}

#[gtest]
fn choose_engine_full_engine_is_skipped() {
    let mut table = table(&[("e1", &["m1"])]);
    table.record_signal(&id("e1"), EngineSignal::Full, at(0));
    expect_that!(choose(&table, "m1", &[]), eq(&EngineChoice::Full));
}

#[gtest]
fn apply_outdated_view_adds_no_engine() {
    let mut table = EngineTable::default();
    let mut view = loads(&[]);
    view.complete = true;
    view.engines = vec![info("e1", &["m1"])];
    table.apply(&view, true);
    expect_true!(table.is_empty());
    table.apply(&view, false);
    expect_false!(table.is_empty());
}

fn choose_at(table: &EngineTable, millis: u64) -> EngineChoice {
    let (service, model): (_, ModelName) = (service(), name("m1"));
    let context = ChoiceContext {
        now: at(millis),
        ..context(1)
    };
    choose_engine(
        table,
        &requirement(&service, &model),
        &context,
        &IndexSet::new(),
        |_| 0,
    )
}

#[gtest]
fn choose_engine_paused_engine_is_no_last_resort() {
    let mut table = table(&[("e1", &["m1"]), ("e2", &["m1"])]);
    let span = TimeSpan::from_secs(2);
    table.record_signal(&id("e1"), EngineSignal::Pause(span), at(0));
    expect_that!(choose_at(&table, 10), eq(&EngineChoice::Engine(id("e2"))));
    table.record_signal(&id("e2"), EngineSignal::Pause(span), at(500));
    expect_that!(choose_at(&table, 600), eq(&EngineChoice::Paused(at(2_000))));
    // A shorter pause does not end a longer one.
    table.record_signal(&id("e1"), EngineSignal::Pause(TimeSpan::ZERO), at(700));
    expect_that!(choose_at(&table, 700), eq(&EngineChoice::Paused(at(2_000))));
    expect_that!(
        choose_at(&table, 2_001),
        eq(&EngineChoice::Engine(id("e1")))
    );
}

#[gtest]
fn choose_engine_after_a_pause_sends_one_request_until_answered() {
    let mut table = table(&[("e1", &["m1"])]);
    table.record_signal(
        &id("e1"),
        EngineSignal::Pause(TimeSpan::from_secs(1)),
        at(0),
    );
    expect_that!(
        choose_at(&table, 1_100),
        eq(&EngineChoice::Engine(id("e1")))
    );
    table.begin_request(&id("e1"), None, None);
    expect_that!(choose_at(&table, 1_100), eq(&EngineChoice::Full));
    table.record_signal(&id("e1"), EngineSignal::Answered, at(1_200));
    expect_that!(
        choose_at(&table, 1_200),
        eq(&EngineChoice::Engine(id("e1")))
    );
}

#[gtest]
fn choose_engine_continues_a_stream_only_at_its_software_version() {
    let mut table = table(&[("e1", &["m1"])]);
    table.insert(ward_fleet::EngineInfo {
        software: name("v2"),
        ..info("e2", &["m1"])
    });
    let (service, model): (_, ModelName) = (service(), name("m1"));
    let choice = |software: &str| {
        let software = name(software);
        let requirement = EngineRequirement {
            software: Some(&software),
            ..requirement(&service, &model)
        };
        choose_engine(&table, &requirement, &context(1), &IndexSet::new(), |_| 0)
    };
    expect_that!(choice("v1"), eq(&EngineChoice::Engine(id("e1"))));
    expect_that!(choice("v2"), eq(&EngineChoice::Engine(id("e2"))));
    expect_that!(choice("v3"), eq(&EngineChoice::NoEngine));
}

#[gtest]
fn choose_engine_tells_a_model_that_only_other_software_versions_hold() {
    let mut table = table(&[("e1", &["m1"])]);
    table.insert(ward_fleet::EngineInfo {
        software: name("v2"),
        ..info("e2", &["m2"])
    });
    let (service, software) = (service(), name("v2"));
    let choice = |model: &str| {
        let model = name(model);
        let requirement = EngineRequirement {
            software: Some(&software),
            ..requirement(&service, &model)
        };
        choose_engine(&table, &requirement, &context(1), &IndexSet::new(), |_| 0)
    };
    expect_that!(choice("m1"), eq(&EngineChoice::OtherVersions));
    expect_that!(choice("m2"), eq(&EngineChoice::Engine(id("e2"))));
    expect_that!(choice("m3"), eq(&EngineChoice::Missing));
}
