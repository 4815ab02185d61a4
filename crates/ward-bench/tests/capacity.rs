//! The slopes on the capacity page must equal those in the measurement files.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use serde_json::Value;

/// Relative deviation that the rounding of the page's figures allows.
const ROUNDING: f64 = 0.01;

fn read(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(root.join(name)).unwrap()
}

/// A line of the page's table of slopes: file, name, per, slope, fit error.
struct PageLine {
    file: String,
    name: String,
    per: String,
    slope: f64,
    error: f64,
}

fn page_lines() -> Vec<PageLine> {
    let page = read("CAPACITY.md");
    let table = page.split("## Slopes").nth(1).unwrap();
    let lines = table.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            PageLine {
                file: cells[1].trim_matches('`').to_owned(),
                name: cells[2].to_owned(),
                per: cells[3].to_owned(),
                slope: cells[4].split(' ').next().unwrap().parse().unwrap(),
                error: cells[5].trim_end_matches(" %").parse().unwrap(),
            }
        })
        .collect()
}

fn series(line: &PageLine) -> Option<Value> {
    let report: Value =
        serde_json::from_str(&read(&format!("measurements/{}", line.file))).unwrap();
    let series = report["series"].as_array().unwrap();
    let same = |one: &&Value| one["name"] == line.name.as_str() && one["per"] == line.per.as_str();
    series.iter().find(same).cloned()
}

#[googletest::test]
fn page_slopes_are_measured() {
    let lines = page_lines();
    expect_that!(lines.len(), ge(15));
    for line in lines {
        let label = format!("{} per {}", line.name, line.per);
        let found = series(&line).expect(&label);
        let slope = found["fit"]["slope"].as_f64().unwrap();
        let error = found["fit"]["error"].as_f64().unwrap() * 100.0;
        expect_that!(line.slope, near(slope, slope.abs() * ROUNDING), "{label}");
        expect_that!(line.error, near(error, 0.06), "{label}");
        expect_that!(found["points"].as_array().unwrap().len(), ge(4), "{label}");
    }
}
