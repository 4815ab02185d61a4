//! Format and level of log lines.

use serde::{Deserialize, Serialize};

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Lowest severity of the log lines that are written. The variants go from the highest
/// severity to the lowest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that stop the daemon.
    Critical,
    /// Failed operations.
    Error,
    /// Conditions that may need an operator's attention.
    Warning,
    /// Changes of state, such as a start, a stop or a change of mode.
    #[default]
    Info,
    /// Individual operations.
    Debug,
    /// All lines.
    Trace,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Critical => Self::Critical,
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Section `logging` of the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Lowest severity of the log lines that are written.
    pub level: LogLevel,
}
