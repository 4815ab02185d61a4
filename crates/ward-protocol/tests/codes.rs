//! The table of result codes equals the page `docs/CODES.md` and is well formed.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use ward_protocol::ResultCode;

fn page_rows() -> Vec<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/CODES.md");
    fs::read_to_string(path)
        .unwrap()
        .lines()
        .filter(|line| line.starts_with('|'))
        .skip(2)
        .map(str::to_owned)
        .collect()
}

fn code_row(code: ResultCode) -> String {
    format!(
        "| {} | {} | {} | {} | {} |",
        code.number(),
        code.name(),
        code.status(),
        code.title(),
        code.help()
    )
}

#[googletest::test]
fn codes_page_equals_code() {
    let expected: Vec<String> = ResultCode::ALL.iter().copied().map(code_row).collect();
    expect_that!(page_rows(), container_eq(expected));
}

#[googletest::test]
fn codes_numbers_ascend() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    expect_that!(numbers.is_sorted_by(|left, right| left < right), eq(true));
}

#[googletest::test]
fn codes_have_error_status_and_help() {
    for code in ResultCode::ALL {
        expect_that!(code.status(), all![ge(400), lt(600)], "{code}");
        expect_that!(code.help(), ends_with("."), "{code}");
    }
}
