//! The page on sheets in the documentation matches the code.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use ward_plan::MAX_BYTES;
use ward_plan::MAX_ROWS;
use ward_plan::{PlanSheet, SheetColumn};

fn page() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/SHEETS.md");
    fs::read_to_string(path).unwrap()
}

/// The fenced code block that begins with `start`.
fn fenced_block(page: &str, start: &str) -> String {
    let (_, rest) = page.split_once(&format!("```{start}")).unwrap();
    let block = rest.split("```").next().unwrap();
    format!("{start}{block}")
}

/// The example of a valid sheet on the page.
fn page_sheet() -> String {
    let block = fenced_block(&page(), "csv\n");
    block.trim_start_matches("csv\n").to_owned()
}

#[googletest::test]
fn page_example_is_valid() {
    let sheet = PlanSheet::read(page_sheet().as_bytes()).unwrap();
    expect_that!(sheet.rows().len(), eq(4));
}

#[googletest::test]
fn page_mistakes_as_reported() {
    let text = page_sheet()
        .replace("bezigrad vic;serving;3;2;06:30", ";;1;3;06:30")
        .replace("wedding@4;;;2", "wedding@5;;;1");
    let error = PlanSheet::read(text.as_bytes()).unwrap_err();
    let reported: Vec<String> = error.mistakes.iter().map(ToString::to_string).collect();
    let block = fenced_block(&page(), "\nline 2");
    let shown: Vec<String> = block.trim().lines().map(str::to_owned).collect();
    expect_that!(reported, container_eq(shown));
}

#[googletest::test]
fn page_names_columns_and_limits() {
    let page = page();
    for column in SheetColumn::ALL {
        expect_that!(page, contains_substring(format!("\n| `{column}` | ")));
    }
    expect_that!(MAX_ROWS, eq(100_000));
    expect_that!(MAX_BYTES, eq(8 << 20));
    expect_that!(page, contains_substring("At most 100,000 rows and 8 MiB"));
}
