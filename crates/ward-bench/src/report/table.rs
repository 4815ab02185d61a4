//! Tables of results in Markdown.

use std::fmt::Write;

use super::target::{SeedSpread, TargetRow, compare_targets};
use crate::replay::{ReplayRow, WaitCause};

/// The comparison with the baselines, one line per setting.
#[must_use]
pub fn target_table(rows: &[ReplayRow]) -> String {
    let mut text = String::from(
        "| workload | trouble | policy | idle h | p99 s | p99 / fixed | p99 / clairvoyant | idle / fixed | mean s | mean / fixed | idle / fixed by mean |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in compare_targets(rows) {
        push_target(&mut text, &row);
    }
    text
}

fn push_target(text: &mut String, row: &TargetRow) {
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        row.workload,
        row.trouble.name(),
        row.policy,
        format_spread(Some(row.idle)),
        format_spread(Some(row.p99)),
        format_spread(row.p99_to_fixed),
        format_spread(row.p99_to_clairvoyant),
        format_spread(row.idle_to_fixed),
        format_spread(Some(row.mean)),
        format_spread(row.mean_to_fixed),
        format_spread(row.idle_to_fixed_by_mean),
    );
}

fn format_spread(figure: Option<SeedSpread>) -> String {
    figure.map_or_else(
        || "–".to_owned(),
        |figure| {
            format!(
                "{:.2} ({:.2}–{:.2})",
                figure.median, figure.least, figure.greatest
            )
        },
    )
}

/// All policies of a comparison, medians over seeds.
#[must_use]
pub fn policy_table(rows: &[ReplayRow]) -> String {
    let mut text = String::from(
        "| workload | trouble | policy | p50 s | p95 s | p99 s | p99.9 s | memory p99 | disk p99 | remote p99 | adapter p99 | slack p99 | held h | idle h | loads | ahead | evicted | refused | late |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut groups = indexmap::IndexSet::new();
    for row in rows {
        let group = (
            row.workload.as_str(),
            row.trouble.name(),
            row.policy.as_str(),
        );
        if groups.insert(group) {
            push_policy(&mut text, rows, row);
        }
    }
    text
}

#[allow(clippy::cast_precision_loss)]
fn push_policy(text: &mut String, rows: &[ReplayRow], first: &ReplayRow) {
    let same = |row: &&ReplayRow| {
        row.workload == first.workload && row.trouble == first.trouble && row.policy == first.policy
    };
    let median = |figure: &dyn Fn(&ReplayRow) -> f64| {
        let figures = rows.iter().filter(same).map(figure);
        SeedSpread::from_values(figures).map_or(0.0, |spread| spread.median)
    };
    let cause = |cause: WaitCause| {
        move |row: &ReplayRow| row.causes.get(&cause).map_or(0.0, |waits| waits.p99)
    };
    let figures = [
        median(&|row| row.waits.p50),
        median(&|row| row.waits.p95),
        median(&|row| row.waits.p99),
        median(&|row| row.waits.p999),
        median(&cause(WaitCause::Memory)),
        median(&cause(WaitCause::Disk)),
        median(&cause(WaitCause::Remote)),
        median(&cause(WaitCause::Adapter)),
        median(&|row| row.slack.p99),
        median(&|row| row.held_hours),
        median(&|row| row.idle_hours),
        median(&|row| row.loads as f64),
        median(&|row| row.ahead as f64),
        median(&|row| row.evictions as f64),
        median(&|row| row.counts.values().map(|count| count.refused).sum::<u64>() as f64),
        median(&|row| row.counts.values().map(|count| count.late).sum::<u64>() as f64),
    ];
    // Writing to a string does not fail.
    let _ = write!(
        text,
        "| {} | {} | {} |",
        first.workload,
        first.trouble.name(),
        first.policy
    );
    for figure in figures {
        let _ = write!(text, " {figure:.1} |");
    }
    text.push('\n');
}
