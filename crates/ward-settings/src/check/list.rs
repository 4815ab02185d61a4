//! The list to which the checks add mistakes, at most one per path.

use std::fmt::Display;

use ward_protocol::TimeSpan;

use crate::mistake::{SettingsMistake, SettingsProblem};

/// Reason given when a value is zero.
pub(super) const ZERO_REASON: &str = "since zero is not allowed";

/// Collects at most one mistake per path.
pub(super) struct MistakeList<'a> {
    pub(super) mistakes: &'a mut Vec<SettingsMistake>,
}

impl MistakeList<'_> {
    /// Adds a mistake, unless its path has one already.
    pub(super) fn push(&mut self, path: &str, problem: SettingsProblem) {
        let recorded = self.mistakes.iter().any(|mistake| mistake.path == path);
        if recorded {
            return;
        }
        self.mistakes.push(SettingsMistake {
            path: path.to_owned(),
            problem,
        });
    }

    /// Adds a mistake when the value is missing; returns the value.
    pub(super) fn required<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.push(path, SettingsProblem::Missing);
        }
        value
    }

    /// Adds a mistake when the value is below `min`.
    pub(super) fn at_least<T: PartialOrd + Display + Copy>(
        &mut self,
        path: &str,
        value: T,
        min: T,
        why: &'static str,
    ) {
        if value >= min {
            return;
        }
        self.push(path, SettingsProblem::TooSmall(min.to_string(), why));
    }

    /// Adds a mistake when the value is above `max`.
    pub(super) fn at_most<T: PartialOrd + Display + Copy>(
        &mut self,
        path: &str,
        value: T,
        max: T,
        why: &'static str,
    ) {
        if value <= max {
            return;
        }
        self.push(path, SettingsProblem::TooLarge(max.to_string(), why));
    }

    /// Adds a mistake for each time span of a section that is zero.
    pub(super) fn nonzero_spans(&mut self, section: &str, spans: &[(&str, TimeSpan)]) {
        let min = TimeSpan::from_millis(1);
        for (key, span) in spans {
            self.at_least(&format!("{section}.{key}"), *span, min, ZERO_REASON);
        }
    }

    /// Adds a mistake for each count of a section that is zero.
    pub(super) fn nonzero_counts(&mut self, section: &str, counts: &[(&str, u32)]) {
        for (key, count) in counts {
            self.at_least(&format!("{section}.{key}"), *count, 1, ZERO_REASON);
        }
    }
}
