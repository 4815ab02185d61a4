//! Warnings about demands of a sheet that the known engines cannot meet.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_operator::{BackendItem, HostsAnswer, SheetWarning, sheet_warnings};
use ward_plan::PlanSheet;
use ward_protocol::{BackendKind, FencingSupport, MemorySize};

fn engine(zone: &str, gibibytes: u64) -> BackendItem {
    BackendItem {
        backend: format!("engine-{zone}").parse().unwrap(),
        kind: BackendKind::Engine,
        zone: zone.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        role: None,
        fencing: FencingSupport::Checks,
        leaving: false,
        owner: None,
        memory: MemorySize::from_gib(gibibytes),
        counted: MemorySize::ZERO,
        replicas: 0,
        load: 0,
    }
}

fn warnings(rows: &[&str], backends: Vec<BackendItem>) -> Vec<SheetWarning> {
    let header = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable";
    let text = format!("{header}\n{}\n", rows.join("\n"));
    let sheet = PlanSheet::read(text.as_bytes()).unwrap();
    let daemons = Vec::new();
    sheet_warnings(&sheet, &HostsAnswer { daemons, backends })
}

#[googletest::test]
fn warnings_none() {
    let rows = ["a@1;vic;;1;1;;3;40GiB;yes", "services/booking;;;;;;0;;no"];
    expect_that!(warnings(&rows, vec![engine("vic", 40)]), is_empty());
    expect_that!(warnings(&rows, Vec::new()), is_empty());
}

#[googletest::test]
fn warnings_zone_misspelt() {
    let rows = ["a@1;vic vicc;;1;0;;3;4GiB;yes", "b@1;vicc;;1;0;;3;4GiB;yes"];
    expect_that!(
        warnings(&rows, vec![engine("vic", 40)]),
        elements_are![matches_pattern!(SheetWarning::EmptyZone { .. })]
    );
}

#[googletest::test]
fn warnings_too_large() {
    let rows = [
        "a@1;vic;;1;0;;3;50GiB;yes",
        "b@1;;;1;0;;3;50GiB;yes",
        "c@1;;;1;0;;3;90GiB;yes",
    ];
    let found = warnings(&rows, vec![engine("vic", 40), engine("moste", 80)]);
    let texts: Vec<String> = found.iter().map(ToString::to_string).collect();
    expect_that!(
        texts,
        elements_are![
            all![starts_with("a@1:"), contains_substring("40GiB")],
            all![starts_with("c@1:"), contains_substring("80GiB")],
        ]
    );
}

#[googletest::test]
fn warnings_ready_memory() {
    let rows = ["a@1;;;3;3;;3;30GiB;yes"];
    let leaving = BackendItem {
        leaving: true,
        ..engine("moste", 80)
    };
    expect_that!(
        warnings(&rows, vec![engine("vic", 80), leaving]),
        elements_are![eq(&SheetWarning::ReadyMemory {
            needed: MemorySize::from_gib(90),
            capacity: MemorySize::from_gib(80),
        })]
    );
}
