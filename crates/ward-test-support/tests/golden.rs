//! Comparison with golden files: equal, different line, early end, missing file.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use ward_test_support::{GoldenError, check_golden};

fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, content).unwrap();
    path
}

#[googletest::test]
fn golden_equal() {
    let path = file("equal.txt", "a\nb\n");
    expect_that!(check_golden(path, "a\nb\n"), ok(anything()));
}

#[googletest::test]
fn golden_line_differs() {
    let path = file("line.txt", "a\nb\nc\n");
    let error = check_golden(path, "a\nx\nc\n").unwrap_err();
    let line = pat!(GoldenError::Line(anything(), eq(&2), eq("b"), eq("x")));
    expect_that!(error, line);
}

#[googletest::test]
fn golden_text_ends_early() {
    let path = file("early.txt", "a\nb");
    let error = check_golden(path, "a").unwrap_err();
    let line = pat!(GoldenError::Line(
        anything(),
        eq(&2),
        eq("b"),
        eq("end of text")
    ));
    expect_that!(error, line);
}

#[googletest::test]
fn golden_missing() {
    let error = check_golden("no/such/file.txt", "a").unwrap_err();
    expect_that!(error.to_string(), contains_substring("WARD_REWRITE_GOLDEN"));
}
