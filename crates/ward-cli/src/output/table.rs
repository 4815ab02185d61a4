//! Text tables for people.

use std::fmt::Display;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A table with a header; each column is as wide as its widest cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableText {
    lines: Vec<Vec<String>>,
}

impl TableText {
    /// Creates a table that has only the header.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self {
            lines: vec![header],
        }
    }

    /// Adds a line; it may have fewer cells than the header.
    pub fn add(&mut self, cells: impl IntoIterator<Item = String>) {
        self.lines.push(cells.into_iter().collect());
    }

    /// Formats the table as text without trailing spaces.
    #[must_use]
    pub fn render(&self) -> String {
        let widths = self.widths();
        self.lines
            .iter()
            .map(|line| render_line(line, &widths))
            .collect()
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.lines.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                self.lines
                    .iter()
                    .filter_map(|line| line.get(column))
                    .map(|cell| cell.chars().count())
                    .max()
                    .unwrap_or(0)
            })
            .collect()
    }
}

fn render_line(line: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in line.iter().zip(widths) {
        let padding = width + COLUMN_GAP - cell.chars().count();
        text.push_str(cell);
        text.push_str(&" ".repeat(padding));
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
    text
}

/// Joins the items with spaces; returns a dash if there are none.
pub fn list_or_dash(items: impl IntoIterator<Item = impl Display>) -> String {
    let words: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    if words.is_empty() {
        return "-".to_owned();
    }
    words.join(" ")
}
