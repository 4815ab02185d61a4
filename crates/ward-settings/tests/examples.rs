//! The example settings and sheets are valid and have the expected sizes.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use ward_plan::PlanSheet;
use ward_protocol::RowTarget;
use ward_settings::DaemonSettings;

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn settings(name: &str) -> DaemonSettings {
    DaemonSettings::load(&example(name)).unwrap()
}

/// Numbers of models, adapters and services in a sheet.
fn counts(name: &str) -> (usize, usize, usize) {
    let sheet = PlanSheet::read(&fs::read(example(name)).unwrap()).unwrap();
    let count =
        |filter: fn(&RowTarget) -> bool| sheet.rows().filter(|row| filter(&row.target)).count();
    (
        count(|target| matches!(target, RowTarget::Replica(key) if !key.is_adapter())),
        count(|target| matches!(target, RowTarget::Replica(key) if key.is_adapter())),
        count(|target| matches!(target, RowTarget::Service(_))),
    )
}

#[googletest::test]
fn settings_of_deployments() {
    let ljubljana = settings("ljubljana.json");
    let riga = settings("riga.json");
    expect_that!(ljubljana.policy.cold_weight, gt(riga.policy.cold_weight));
    expect_that!(ljubljana.policy.keep_longest, gt(riga.policy.keep_longest));
    expect_that!(ljubljana.store.model_loads, eq(4));
    expect_that!(riga.store.adapter_loads, eq(30));
}

#[googletest::test]
fn settings_round_trip() {
    for name in ["ljubljana.json", "riga.json"] {
        let settings = settings(name);
        let parsed = DaemonSettings::parse(&settings.to_json()).unwrap();
        expect_that!(parsed, eq(&settings));
    }
}

#[googletest::test]
fn sheets_of_deployments() {
    expect_that!(counts("ljubljana.csv"), eq((50, 55, 1)));
    expect_that!(counts("riga.csv"), eq((100, 95, 2)));
}
