//! Splits the bytes of a CSV file into lines of cells.

use std::str;

use crate::mistake::{SheetMistake, SheetProblem};

/// Maximum size of a sheet in bytes.
pub const MAX_BYTES: usize = 8 << 20;

const BYTE_ORDER_MARK: char = '\u{feff}';

/// A line of the file, split into cells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CellLine {
    /// Line of the file, counted from 1; the first one when quoted cells span several.
    pub(crate) line: u64,
    /// The cells, without surrounding spaces.
    pub(crate) cells: Vec<String>,
}

impl CellLine {
    fn is_blank(&self) -> bool {
        self.cells.iter().all(String::is_empty)
    }
}

/// Decodes the file as UTF-8 and removes a byte order mark.
///
/// # Errors
/// When the file is too large or not UTF-8; in that case the mistake names the line of
/// the first invalid byte.
pub(crate) fn decode_text(bytes: &[u8]) -> Result<&str, SheetMistake> {
    if bytes.len() > MAX_BYTES {
        return Err(file_mistake(1, SheetProblem::TooLarge(MAX_BYTES)));
    }
    match str::from_utf8(bytes) {
        Ok(text) => Ok(text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text)),
        Err(error) => {
            let valid = &bytes[..error.valid_up_to()];
            Err(file_mistake(
                line_number_at_end(valid),
                SheetProblem::NotUtf8,
            ))
        }
    }
}

const fn file_mistake(line: u64, problem: SheetProblem) -> SheetMistake {
    SheetMistake {
        line,
        column: None,
        cell: String::new(),
        problem,
    }
}

fn line_number_at_end(bytes: &[u8]) -> u64 {
    let number = bytes.split(|byte| *byte == b'\n').count();
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Splits the text into lines of cells and skips lines whose cells are all empty.
#[must_use]
pub(crate) fn split_lines(text: &str) -> Vec<CellLine> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .delimiter(detect_delimiter(text))
        .from_reader(text.as_bytes());
    reader
        .records()
        .filter_map(Result::ok)
        .map(|record| CellLine {
            line: record.position().map_or(0, csv::Position::line),
            cells: record.iter().map(trim_cell).collect(),
        })
        .filter(|line| !line.is_blank())
        .collect()
}

/// Trims a cell but keeps line breaks, so that an unclosed quote is reported.
fn trim_cell(cell: &str) -> String {
    let is_blank = |character: char| character.is_whitespace() && !matches!(character, '\n' | '\r');
    cell.trim_matches(is_blank).to_owned()
}

/// Detects the delimiter: whichever of `;` and `,` is more frequent outside quotes in the
/// first line with content.
fn detect_delimiter(text: &str) -> u8 {
    let header = text
        .lines()
        .find(|line| !line.trim().is_empty())
        .unwrap_or_default();
    let mut quoted = false;
    let mut semicolons = 0_usize;
    let mut commas = 0_usize;
    for character in header.chars() {
        match character {
            '"' => quoted = !quoted,
            ';' if !quoted => semicolons += 1,
            ',' if !quoted => commas += 1,
            _ => {}
        }
    }
    if semicolons > commas { b';' } else { b',' }
}
