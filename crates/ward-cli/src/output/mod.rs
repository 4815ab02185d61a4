//! Prints answers as tables or as JSON.

mod table;

use std::io::{self, Write};

use serde::Serialize;

pub use table::{TableText, list_or_dash};

/// Format in which answers are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

impl OutputFormat {
    /// Prints an answer as JSON or, for people, the text that the closure returns.
    pub fn print(self, answer: &impl Serialize, text: impl FnOnce() -> String) {
        match self {
            Self::Table => print_text(&text()),
            Self::Json => {
                let json = serde_json::to_string_pretty(answer).unwrap_or_default();
                print_text(&format!("{json}\n"));
            }
        }
    }
}

/// Prints text to standard output; ignores errors, since the reader may have closed the pipe.
pub fn print_text(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Prints errors and progress to standard error, apart from the answer.
pub fn print_error(text: &str) {
    let _ = io::stderr().write_all(text.as_bytes());
}
