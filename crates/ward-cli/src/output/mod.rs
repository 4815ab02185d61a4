//! Printing answers.

mod table;

use std::io::{self, Write};

use serde::Serialize;

pub use table::{TableText, list_or_dash};

/// How answers are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

impl OutputFormat {
    /// Prints an answer, as JSON or as the text made for people.
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

/// Prints text as it is; nobody may be reading, which is no failure.
pub fn print_text(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Prints text for the operator beside the answer.
pub fn print_error(text: &str) {
    let _ = io::stderr().write_all(text.as_bytes());
}
