//! Checks that the documentation page of the stand-ins names every fault.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use serde::Serialize;
use ward_standin::{EngineFaults, HostsFaults, LinkFaults, LogFaults, ServiceFaults};

const PAGE: &str = include_str!("../../../docs/STANDINS.md");

fn missing_faults(standin: &str, faults: &impl Serialize) -> Vec<String> {
    let start = format!("| {standin} |");
    let rows: Vec<_> = PAGE.lines().filter(|row| row.starts_with(&start)).collect();
    let set = serde_json::to_value(faults).unwrap();
    let names = set.as_object().unwrap().keys();
    names
        .map(|name| format!("`{name}`"))
        .filter(|name| !rows.iter().any(|row| row.contains(name)))
        .collect()
}

#[googletest::test]
fn page_names_faults() {
    expect_that!(
        missing_faults("log", &LogFaults::default()),
        eq(&Vec::<String>::new())
    );
    expect_that!(
        missing_faults("hosts", &HostsFaults::default()),
        eq(&Vec::<String>::new())
    );
    expect_that!(
        missing_faults("engine", &EngineFaults::default()),
        eq(&Vec::<String>::new())
    );
    expect_that!(
        missing_faults("service", &ServiceFaults::default()),
        eq(&Vec::<String>::new())
    );
    expect_that!(
        missing_faults("link", &LinkFaults::default()),
        eq(&Vec::<String>::new())
    );
}
