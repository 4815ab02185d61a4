//! Finds the head of another answer inside the body of an answer.
//!
//! A faulty engine may break off an answer and write it, or another one, on the same
//! connection. The bytes of the second answer then stand where the rest of the first is
//! expected, and complete its length. A body may also quote heads, so a status line alone
//! says nothing: what counts is the id or the signature of an answer in the lines after it.
//!
//! Load pattern: every byte of every body passes through once; at most one line is kept, and
//! of a long line its end.

use ward_adapter::{AnswerMarks, LineOwner};

/// Length of a status line up to its status.
const STATUS_LINE_LENGTH: usize = b"HTTP/1.1 200".len();
/// Maximum length of the end of a line that is kept, in bytes.
const MAX_LINE_BYTES: usize = 512;

/// What a body shows of another answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeadFinding {
    /// Nothing.
    #[default]
    Nothing,
    /// The head of another answer, or what may be the beginning of a head at its end. It may
    /// be a quotation, unless the engine wrote more than the answer.
    Possible,
    /// The head of a copy of the same answer.
    Copy,
}

/// Reads a body in pieces, and looks for heads of answers in it.
#[derive(Debug, Default)]
pub struct HeadScanner {
    marks: AnswerMarks,
    /// The end of the current line.
    line: Vec<u8>,
    /// Whether the lines before are the beginning of a head.
    is_in_head: bool,
    finding: HeadFinding,
}

impl HeadScanner {
    /// A scanner of the body of the answer with these marks.
    #[must_use]
    pub fn new(marks: AnswerMarks) -> Self {
        Self {
            marks,
            ..Self::default()
        }
    }

    /// Reads on; returns what the lines that are complete show.
    pub fn advance(&mut self, bytes: &[u8]) -> HeadFinding {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            let kept = &piece[piece.len().saturating_sub(MAX_LINE_BYTES)..];
            self.line.extend_from_slice(kept);
            if piece.ends_with(b"\n") {
                self.end_line();
                self.line.clear();
            }
            let excess = self.line.len().saturating_sub(MAX_LINE_BYTES);
            self.line.drain(..excess);
        }
        self.finding
    }

    /// What the body shows if it ends here.
    #[must_use]
    pub fn finding_at_end(&self) -> HeadFinding {
        if self.is_in_head || may_begin_head(&self.line) {
            return self.finding.max(HeadFinding::Possible);
        }
        self.finding
    }

    fn end_line(&mut self) {
        let line = self.line.strip_suffix(b"\n").unwrap_or(&self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if holds_status_line(line) {
            self.is_in_head = true;
            return;
        }
        if !self.is_in_head {
            return;
        }
        self.is_in_head = line.contains(&b':');
        let finding = match self.marks.owner_of(line) {
            LineOwner::Nobody => HeadFinding::Nothing,
            LineOwner::OtherAnswer => HeadFinding::Possible,
            LineOwner::SameAnswer => HeadFinding::Copy,
        };
        self.finding = self.finding.max(finding);
    }
}

/// Whether a text holds the beginning of a status line.
pub(crate) fn holds_status_line(text: &[u8]) -> bool {
    let mut windows = text.windows(STATUS_LINE_LENGTH);
    windows.any(begins_status_line)
}

/// Whether a text holds the beginning of a status line, or ends within one.
fn may_begin_head(text: &[u8]) -> bool {
    let longest = STATUS_LINE_LENGTH.min(text.len());
    let mut ends = (1..=longest).map(|length| &text[text.len() - length..]);
    holds_status_line(text) || ends.any(begins_status_line)
}

/// Whether a text is the beginning of a status line, up to its status.
fn begins_status_line(text: &[u8]) -> bool {
    let pattern = b"HTTP/1.# ###";
    let mut bytes = text.iter().zip(pattern);
    bytes.all(|(byte, expected)| match expected {
        b'#' => byte.is_ascii_digit(),
        _ => byte == expected,
    })
}
