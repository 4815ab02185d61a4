//! Results of a day as a table and as a curve.

use std::fmt::Write;

use ward_fleet::number::usize_to_f64;

use super::day::EmulatedDay;
use super::run::{DayOutcome, KindOutcome};

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 240.0;
const MARGIN: f64 = 40.0;
const OUTCOME_COLOUR: &str = "#c0392b";
const BOUND_COLOUR: &str = "#27ae60";

/// Table with one row for each kind of request, beside the bound.
#[must_use]
pub fn day_table(day: EmulatedDay, outcome: &DayOutcome, bound: &DayOutcome) -> String {
    let mut text = format!(
        "{day}: worth {:.3}, bound {:.3}; loads from the store {}, bound {}\n\
         | kind | asked | on time | late | refused | lost | worth | bound |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        outcome.worth_ratio(),
        bound.worth_ratio(),
        outcome.store_loads,
        bound.store_loads,
    );
    push_row(&mut text, "busy", &outcome.busy, &bound.busy);
    push_row(&mut text, "rare", &outcome.rare, &bound.rare);
    text
}

fn push_row(text: &mut String, name: &str, kind: &KindOutcome, bound: &KindOutcome) {
    // Writing into a string does not fail.
    let _ = writeln!(
        text,
        "| {name} | {} | {} | {} | {} | {} | {:.3} | {:.3} |",
        kind.requests,
        kind.on_time,
        kind.late,
        kind.refused,
        kind.lost,
        kind.worth_ratio(),
        bound.worth_ratio(),
    );
}

/// Curve of the share of worth earned by the requests of each second, beside the bound.
#[must_use]
pub fn day_svg(day: EmulatedDay, outcome: &DayOutcome, bound: &DayOutcome) -> String {
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"20\">{day}: part of the worth earned by the requests of each \
         second; green: bound</text>\n"
    );
    push_curve(&mut text, bound, BOUND_COLOUR);
    push_curve(&mut text, outcome, OUTCOME_COLOUR);
    text.push_str("</svg>\n");
    text
}

fn push_curve(text: &mut String, outcome: &DayOutcome, colour: &str) {
    let count = usize_to_f64(outcome.by_second.len().max(1));
    let points = outcome.by_second.iter().enumerate().map(|(second, kind)| {
        let x = MARGIN + usize_to_f64(second) / count * (WIDTH - 2.0 * MARGIN);
        let y = HEIGHT - MARGIN - kind.worth_ratio() * (HEIGHT - 2.0 * MARGIN);
        format!("{x:.1},{y:.1}")
    });
    let points: Vec<_> = points.collect();
    // Writing into a string does not fail.
    let _ = writeln!(
        text,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>",
        points.join(" ")
    );
}
