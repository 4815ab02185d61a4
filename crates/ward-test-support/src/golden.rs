//! Comparison of texts with golden files, which hold the expected text.

use std::env;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

/// Environment variable; if it is set, to any value, golden files are rewritten
/// instead of compared.
pub const REWRITE_VARIABLE: &str = "WARD_REWRITE_GOLDEN";

quick_error! {
    /// Why a comparison with a golden file failed.
    #[derive(Debug)]
    pub enum GoldenError {
        /// The file cannot be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("{}: {cause}; set {REWRITE_VARIABLE}=1 to write it", path.display())
            source(cause)
        }
        /// First line that differs: file, line number from 1, expected and found line.
        Line(path: PathBuf, number: usize, expected: String, found: String) {
            display(
                "{}:{number}: expected {expected:?}, found {found:?}; set {REWRITE_VARIABLE}=1 if the change is intended",
                path.display()
            )
        }
    }
}

/// Compares a text with a golden file, or writes the file if [`REWRITE_VARIABLE`] is
/// set.
///
/// # Errors
/// When the file cannot be read or written, or a line differs.
pub fn check_golden(path: impl AsRef<Path>, text: &str) -> Result<(), GoldenError> {
    let path = path.as_ref();
    if env::var_os(REWRITE_VARIABLE).is_some() {
        return write(path, text).map_err(|cause| GoldenError::File(path.to_owned(), cause));
    }
    let golden =
        fs::read_to_string(path).map_err(|cause| GoldenError::File(path.to_owned(), cause))?;
    compare(path, &golden, text)
}

/// Fails the test unless [`check_golden`] succeeds.
///
/// # Panics
/// When [`check_golden`] returns an error.
#[track_caller]
pub fn assert_golden(path: impl AsRef<Path>, text: &str) {
    if let Err(error) = check_golden(path, text) {
        panic!("{error}");
    }
}

fn write(path: &Path, text: &str) -> io::Result<()> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(path, text)
}

fn compare(path: &Path, golden: &str, text: &str) -> Result<(), GoldenError> {
    if golden == text {
        return Ok(());
    }
    let mut expected = golden.split('\n');
    let mut found = text.split('\n');
    let mut number = 1;
    loop {
        match (expected.next(), found.next()) {
            (Some(expected), Some(found)) if expected == found => number += 1,
            (expected, found) => {
                let shown = |line: Option<&str>| line.unwrap_or("end of text").to_owned();
                return Err(GoldenError::Line(
                    path.to_owned(),
                    number,
                    shown(expected),
                    shown(found),
                ));
            }
        }
    }
}
