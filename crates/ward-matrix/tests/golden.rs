//! Compares traces of entire sessions with golden files; `UPDATE_GOLDEN=1` rewrites the files.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use googletest::prelude::*;
use ward_matrix::script::row;
use ward_matrix::{FaultKind, TimedStep, World, WorldOptions};
use ward_protocol::{DayTime, PlanChange, ReplicaKey};

fn key(text: &str) -> ReplicaKey {
    text.parse().unwrap()
}

fn whole_plan(rows: &[(&str, u16, u16, u64)]) -> TimedStep {
    let rows = rows
        .iter()
        .map(|(name, replicas, ready, memory)| row(name, *replicas, *ready, *memory).unwrap());
    TimedStep::Plan(PlanChange::Whole {
        rows: rows.collect(),
    })
}

/// Runs a session, compares its trace with the file and checks that the `ready` keys are served.
fn check_golden(name: &str, timed_steps: Vec<(u64, TimedStep)>, seconds: u64, ready: &[&str]) {
    let options = WorldOptions {
        seed: 1,
        traced: true,
        timed_steps,
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    expect_that!(world.run_until(seconds), ok(anything()));
    for text in ready {
        expect_that!(world.is_served(&key(text)), eq(true), "{text} is not ready");
    }
    let lines = world.trace().join("\n") + "\n";
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let path = path.join(format!("{name}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, &lines).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    let first = lines
        .lines()
        .zip(expected.lines())
        .find(|(actual, golden)| actual != golden);
    expect_that!(first, none(), "first difference in {name}");
    expect_that!(lines.lines().count(), eq(expected.lines().count()));
}

#[googletest::test]
fn golden_morning_sheet() {
    // The session begins at 07:00; one row must be ready only from 07:01 on.
    let mut later = row("contracts@1", 1, 1, 12).unwrap();
    later.ready_from = "07:01".parse::<DayTime>().ok();
    let sheet = PlanChange::Whole {
        rows: vec![
            row("colours@1", 2, 2, 10).unwrap(),
            row("quotes@1", 1, 0, 10).unwrap(),
            later,
        ],
    };
    let session = vec![(1_000, TimedStep::Plan(sheet))];
    check_golden("morning_sheet", session, 70, &["colours@1", "contracts@1"]);
}

#[googletest::test]
fn golden_burst_at_many_daemons() {
    let session = vec![
        (
            1_000,
            whole_plan(&[("quotes@1", 1, 0, 10), ("quotes:riga@1", 1, 0, 1)]),
        ),
        (3_000, TimedStep::StartRequests(key("quotes@1"))),
        (3_000, TimedStep::StartRequests(key("quotes:riga@1"))),
    ];
    check_golden(
        "burst_at_many_daemons",
        session,
        12,
        &["quotes@1", "quotes:riga@1"],
    );
}

#[googletest::test]
fn golden_retreat_during_loads() {
    let session = vec![
        (
            1_000,
            whole_plan(&[("quotes@1", 1, 1, 10), ("colours@1", 1, 1, 10)]),
        ),
        (
            5_000,
            whole_plan(&[("quotes@2", 2, 2, 14), ("colours@1", 1, 1, 10)]),
        ),
        (5_500, TimedStep::Retreat),
    ];
    check_golden(
        "retreat_during_loads",
        session,
        20,
        &["quotes@1", "colours@1"],
    );
}

#[googletest::test]
fn golden_log_outage_for_an_hour() {
    const HOUR: u64 = 3_600_000;
    let session = vec![
        (
            1_000,
            whole_plan(&[("colours@1", 1, 1, 10), ("quotes@1", 1, 0, 10)]),
        ),
        (6_000, TimedStep::InjectFault(FaultKind::LogDown, 1, HOUR)),
        (20_000, TimedStep::StartRequests(key("quotes@1"))),
        (
            30_000,
            TimedStep::InjectFault(FaultKind::DaemonKilled, 2, 4_000),
        ),
    ];
    check_golden(
        "log_outage_for_an_hour",
        session,
        3_640,
        &["colours@1", "quotes@1"],
    );
}

#[googletest::test]
fn golden_reclaimed_host() {
    let session = vec![
        (
            1_000,
            whole_plan(&[("colours@1", 2, 1, 10), ("quotes@1", 1, 1, 10)]),
        ),
        (8_000, TimedStep::Reclaim("engine-1".parse().unwrap())),
        (20_000, TimedStep::Reclaim("engine-2".parse().unwrap())),
    ];
    check_golden("reclaimed_host", session, 45, &["colours@1", "quotes@1"]);
}

#[googletest::test]
fn golden_rolling_restart() {
    let mut session = vec![(
        1_000,
        whole_plan(&[("colours@1", 1, 1, 10), ("quotes@1", 1, 0, 10)]),
    )];
    session.push((3_000, TimedStep::StartRequests(key("quotes@1"))));
    for (number, at) in [(1, 8_000), (2, 16_000), (3, 24_000)] {
        session.push((at, TimedStep::Stop(number)));
        session.push((at + 4_000, TimedStep::Start(number)));
    }
    check_golden("rolling_restart", session, 40, &["colours@1", "quotes@1"]);
}
