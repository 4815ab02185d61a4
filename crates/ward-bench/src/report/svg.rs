//! Trade-off curves as SVG.

use std::fmt::Write;

use indexmap::IndexMap;

use super::curve::CurvePoint;
use super::target::SeedSpread;
use crate::replay::{PolicyFamily, ReplayRow};

const WIDTH: f64 = 420.0;
const HEIGHT: f64 = 320.0;
const MARGIN: f64 = 55.0;
const TICKS: u32 = 5;
/// Family, label in the legend and colour of each curve.
const SERIES: [(PolicyFamily, &str, &str); 6] = [
    (PolicyFamily::Ours, "persimmonward", "#c0392b"),
    (PolicyFamily::Fixed, "fixed keep time", "#2c3e50"),
    (
        PolicyFamily::Clairvoyant,
        "knows the next request, keeps",
        "#27ae60",
    ),
    (PolicyFamily::Ahead, "knows it, loads in time", "#16a085"),
    (PolicyFamily::Never, "never unload", "#8e44ad"),
    (PolicyFamily::AtOnce, "unload at once", "#d35400"),
];

/// Curves of one workload: p99 and mean wait over idle hours.
#[must_use]
pub fn tradeoff_svg(rows: &[&ReplayRow], title: &str) -> String {
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        2.0 * WIDTH,
        HEIGHT + 100.0
    );
    push_label(&mut text, WIDTH, 16.0, title);
    push_panel(&mut text, rows, 0.0, ("p99 wait, s", |row| row.waits.p99));
    push_panel(
        &mut text,
        rows,
        WIDTH,
        ("mean wait, s", |row| row.waits.mean),
    );
    push_legend(&mut text);
    text.push_str("</svg>\n");
    text
}

/// Axis label and value of a panel's vertical axis.
type WaitFigure = (&'static str, fn(&ReplayRow) -> f64);

fn push_panel(text: &mut String, rows: &[&ReplayRow], left: f64, (label, wait): WaitFigure) {
    let curves: Vec<(Vec<CurvePoint>, &str)> = SERIES
        .iter()
        .map(|(family, _, colour)| (median_points(rows, *family, wait), *colour))
        .collect();
    let points = || curves.iter().flat_map(|(curve, _)| curve);
    let right = points().map(|point| point.idle).fold(1.0, f64::max);
    let top = points().map(|point| point.wait).fold(1.0, f64::max);
    let x = |idle: f64| left + MARGIN + idle / right * (WIDTH - 1.5 * MARGIN);
    let y = |wait: f64| HEIGHT - MARGIN + 20.0 - wait / top * (HEIGHT - 1.5 * MARGIN);
    for tick in 0..=TICKS {
        let part = f64::from(tick) / f64::from(TICKS);
        push_label(
            text,
            x(right * part),
            y(0.0) + 16.0,
            &format!("{:.0}", right * part),
        );
        push_label(
            text,
            x(0.0) - 22.0,
            y(top * part) + 4.0,
            &format!("{:.1}", top * part),
        );
    }
    push_label(
        text,
        x(right / 2.0),
        y(0.0) + 32.0,
        "idle accelerator hours a week",
    );
    push_label(text, x(0.0), y(top) - 10.0, label);
    push_line(
        text,
        &[(x(0.0), y(top)), (x(0.0), y(0.0)), (x(right), y(0.0))],
        "#888",
    );
    for (curve, colour) in &curves {
        let positions: Vec<(f64, f64)> = curve
            .iter()
            .map(|point| (x(point.idle), y(point.wait)))
            .collect();
        push_line(text, &positions, colour);
        for (x, y) in positions {
            let _ = writeln!(
                text,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"{colour}\"/>"
            );
        }
    }
}

fn median_points(
    rows: &[&ReplayRow],
    family: PolicyFamily,
    wait: fn(&ReplayRow) -> f64,
) -> Vec<CurvePoint> {
    let mut groups: IndexMap<&str, Vec<&ReplayRow>> = IndexMap::new();
    for row in rows.iter().filter(|row| row.family == family) {
        groups.entry(row.policy.as_str()).or_default().push(row);
    }
    let mut points: Vec<CurvePoint> = groups
        .into_iter()
        .filter_map(|(policy, rows)| {
            let idle = SeedSpread::from_values(rows.iter().map(|row| row.idle_hours))?;
            let wait = SeedSpread::from_values(rows.iter().map(|row| wait(row)))?;
            Some(CurvePoint {
                policy: policy.to_owned(),
                idle: idle.median,
                wait: wait.median,
            })
        })
        .collect();
    points.sort_by(|left, right| left.idle.total_cmp(&right.idle));
    points
}

fn push_legend(text: &mut String) {
    let mut left = MARGIN;
    for (_, name, colour) in SERIES {
        let _ = writeln!(
            text,
            "<circle cx=\"{left:.1}\" cy=\"{0:.1}\" r=\"4\" fill=\"{colour}\"/>\
             <text x=\"{1:.1}\" y=\"{2:.1}\">{name}</text>",
            HEIGHT + 60.0,
            left + 8.0,
            HEIGHT + 64.0
        );
        left += 130.0;
    }
}

fn push_label(text: &mut String, x: f64, y: f64, label: &str) {
    let _ = writeln!(
        text,
        "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"middle\">{label}</text>"
    );
}

fn push_line(text: &mut String, positions: &[(f64, f64)], colour: &str) {
    let points: Vec<String> = positions
        .iter()
        .map(|(x, y)| format!("{x:.1},{y:.1}"))
        .collect();
    let _ = writeln!(
        text,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>",
        points.join(" ")
    );
}
