//! A sheet is either accepted completely or refused with all its mistakes.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_plan::MAX_BYTES;
use ward_plan::MAX_ROWS;
use ward_plan::{PlanSheet, SheetProblem};

const HEADER: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable";

/// The location of a mistake: line, column (empty for the whole line) and cell.
type MistakeLocation = (u64, String, String);

fn sheet(rows: &[&str]) -> String {
    format!("{HEADER}\n{}\n", rows.join("\n"))
}

fn locations(text: &[u8]) -> Vec<MistakeLocation> {
    let error = PlanSheet::read(text).unwrap_err();
    error
        .mistakes
        .into_iter()
        .map(|mistake| {
            let column = mistake.column.unwrap_or_default();
            (mistake.line, column, mistake.cell)
        })
        .collect()
}

fn location(line: u64, column: &str, cell: &str) -> MistakeLocation {
    (line, column.to_owned(), cell.to_owned())
}

fn problems(rows: &[&str]) -> Vec<SheetProblem> {
    let error = PlanSheet::read(sheet(rows).as_bytes()).unwrap_err();
    error
        .mistakes
        .into_iter()
        .map(|mistake| mistake.problem)
        .collect()
}

#[googletest::test]
fn read_export_forms() {
    let rows = [
        "colours@1;bezigrad vic;serving;2;1;07:30;1;24GiB;yes",
        "services/booking;;;;;;0;;no",
    ];
    let plain = PlanSheet::read(sheet(&rows).as_bytes()).unwrap();
    expect_that!(plain.rows().len(), eq(2));

    let with_byte_order_mark = format!("\u{feff}{}", sheet(&rows));
    let crlf = sheet(&rows).replace('\n', "\r\n");
    let commas = sheet(&rows).replace(';', ",");
    let quoted = sheet(&rows).replace("bezigrad vic", "\"bezigrad vic\"");
    let blank = sheet(&rows) + ";;;;;;;;\n\n";
    for text in [with_byte_order_mark, crlf, commas, quoted, blank] {
        expect_that!(PlanSheet::read(text.as_bytes()), ok(eq(&plain)), "{text}");
    }
}

#[googletest::test]
fn read_columns_in_any_order() {
    let text = "memory,Target,priority,ready,replicas,ready_from,zones,roles,repeatable\n\
                8GiB,colours@1,3,0,1,,,,yes\n";
    let found = PlanSheet::read(text.as_bytes()).unwrap();
    let expected = sheet(&["colours@1;;;1;0;;3;8GiB;yes"]);
    expect_that!(PlanSheet::read(expected.as_bytes()), ok(eq(&found)));
}

#[googletest::test]
fn read_all_mistakes_at_once() {
    let text = sheet(&[
        "colours;vic;serving;2;1;;1;24GiB;yes",
        "quotes@1;vic vic;chef;-1;1;25:00;8;24;maybe",
        "quotes@2;;;1;2;;1;0GiB;no",
        "quotes@2;;;1;0;07:00;1;1GiB;yes",
        "other:tone@1;;;1;0;;1;1GiB;yes",
        "services/booking;;serving;1;;;1;1GiB;no",
        "short;row",
    ]);
    let mut expected = [
        location(2, "target", "colours"),
        location(3, "zones", "vic vic"),
        location(3, "roles", "chef"),
        location(3, "replicas", "-1"),
        location(3, "ready_from", "25:00"),
        location(3, "priority", "8"),
        location(3, "memory", "24"),
        location(3, "repeatable", "maybe"),
        location(4, "ready", "2"),
        location(4, "memory", "0GiB"),
        location(4, "repeatable", "no"),
        location(5, "target", "quotes@2"),
        location(5, "ready_from", "07:00"),
        location(6, "target", "other:tone@1"),
        location(7, "roles", "serving"),
        location(7, "replicas", "1"),
        location(7, "memory", "1GiB"),
        location(8, "", ""),
    ];
    expected.sort();
    let mut found = locations(text.as_bytes());
    found.sort();
    expect_that!(found, container_eq(expected));
}

#[googletest::test]
fn read_header_mistakes() {
    let text = "target;colour;zones;zones;roles;replicas;ready;ready_from;priority;memory\n";
    expect_that!(
        locations(text.as_bytes()),
        elements_are![
            eq(&location(1, "colour", "")),
            eq(&location(1, "zones", "")),
            eq(&location(1, "repeatable", "")),
        ]
    );
}

#[googletest::test]
fn read_not_utf8() {
    let mut bytes = sheet(&["colours@1;;;1;0;;3;8GiB;yes"]).into_bytes();
    bytes.extend(b"caf\xe9@1;;;1;0;;3;8GiB;yes\n");
    expect_that!(locations(&bytes), elements_are![eq(&location(3, "", ""))]);
}

#[googletest::test]
fn read_limits() {
    let large = vec![b' '; MAX_BYTES + 1];
    let many = sheet(&vec!["x@1;;;1;0;;3;8GiB;yes"; MAX_ROWS + 1]);
    for text in [large.as_slice(), many.as_bytes(), b"", b"\n\n"] {
        expect_that!(locations(text), len(eq(1)));
    }
}

#[googletest::test]
fn read_unclosed_quote() {
    let text = sheet(&[
        "colours@1;\"vic;;1;0;;3;8GiB;yes",
        "quotes@1;;;1;0;;3;8GiB;yes",
    ]);
    expect_that!(
        locations(text.as_bytes()),
        elements_are![eq(&location(2, "", ""))]
    );
    let last = sheet(&["colours@1;;;1;0;;3;8GiB;\"yes"]);
    expect_that!(PlanSheet::read(last.as_bytes()), err(anything()));
}

#[googletest::test]
fn read_adapter_against_base() {
    let base = "colours@1;vic;prefill;1;0;;3;8GiB;yes";
    expect_that!(
        problems(&[base, "colours:tone@1;moste;decode;2;0;;3;1GiB;yes"]),
        elements_are![
            matches_pattern!(SheetProblem::ReplicasOverBase(anything(), eq(&1))),
            matches_pattern!(SheetProblem::DisjointFromBase(anything())),
            matches_pattern!(SheetProblem::DisjointFromBase(anything())),
        ]
    );
    expect_that!(
        problems(&[base, "colours:tone@2;;;1;0;;3;1GiB;yes"]),
        elements_are![matches_pattern!(SheetProblem::NoBase(anything()))]
    );
}

#[googletest::test]
fn read_bad_base_still_counts() {
    let found = problems(&[
        "colours@1;;;one;0;;3;8GiB;yes",
        "colours:tone@1;;;1;0;;3;1GiB;yes",
    ]);
    expect_that!(found, elements_are![eq(&SheetProblem::Count)]);
}

#[googletest::test]
fn mistake_says_what_to_write() {
    let text = sheet(&["colours@1;;;1;3;;3;8GiB;yes"]);
    let error = PlanSheet::read(text.as_bytes()).unwrap_err();
    expect_that!(
        error.mistakes[0].to_string(),
        eq(
            "line 2, column ready, \"3\": more replicas are to be ready than the 1 allowed; \
            write at most 1, or raise replicas"
        )
    );
}

#[googletest::test]
fn read_service_with_cells_of_a_model() {
    let text = sheet(&["services/booking;;serving;1;2;07:00;1;1GiB;no"]);
    let columns: Vec<String> = locations(text.as_bytes())
        .into_iter()
        .map(|(_, column, _)| column)
        .collect();
    expect_that!(
        columns,
        elements_are![
            eq("roles"),
            eq("replicas"),
            eq("ready"),
            eq("ready_from"),
            eq("memory"),
        ]
    );
    for problem in problems(&["services/booking;;serving;1;2;07:00;1;1GiB;no"]) {
        expect_that!(problem, eq(&SheetProblem::NotForService));
    }
}
