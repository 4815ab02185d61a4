//! What can be wrong with settings.

use std::error::Error;
use std::fmt;
use std::io;
use std::sync::Arc;

use quick_error::quick_error;
use ward_protocol::ResultCode;

quick_error! {
    /// One kind of mistake; the text says what to write.
    #[derive(Debug, Clone)]
    pub enum SettingsProblem {
        /// The file cannot be read.
        File(cause: Arc<io::Error>) {
            display("the file cannot be read: {cause}")
            source(cause)
        }
        /// The text is not JSON.
        Syntax(cause: Arc<serde_json::Error>) {
            display("the text is not JSON: {cause}")
            source(cause)
        }
        /// The value cannot be read, or the key is unknown.
        Value(cause: Arc<serde_json::Error>) {
            display("{cause}")
            source(cause)
        }
        /// The key is there twice.
        DuplicateKey {
            display("the key is there twice; leave one of the two")
        }
        /// A value is needed.
        Missing {
            display("the value is missing; there is no default for it")
        }
        /// The value is too small.
        TooSmall(min: String, why: &'static str) {
            display("the value must be at least {min}, {why}")
        }
        /// The value is too large.
        TooLarge(max: String, why: &'static str) {
            display("the value must be at most {max}, {why}")
        }
        /// Others cannot connect to the address.
        Unreachable {
            display("others cannot connect to this address; give one with an IP number and a port")
        }
        /// The address cannot be bound.
        ZeroPort {
            display("the port is 0; give the port to listen on")
        }
        /// The address is used twice.
        DuplicateAddress(other: &'static str) {
            display("the address is also that of {other}; give each its own port")
        }
        /// There is a previous key without a current one.
        PreviousWithoutCurrent {
            display("there is no current key; move this one to keys.current")
        }
        /// The previous key is the current one.
        PreviousIsCurrent {
            display("the key is the current one; leave it out")
        }
    }
}

/// A mistake with its place.
#[derive(Debug, Clone)]
pub struct SettingsMistake {
    /// Path of the value in the file, such as `lease.read_interval`; `.` for the whole file.
    pub path: String,
    /// What is wrong.
    pub problem: SettingsProblem,
}

impl fmt::Display for SettingsMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.problem)
    }
}

/// All mistakes of refused settings.
#[derive(Debug, Clone)]
pub struct SettingsError {
    /// The mistakes; at least one.
    pub mistakes: Vec<SettingsMistake>,
}

impl SettingsError {
    pub(crate) fn whole_file(problem: SettingsProblem) -> Self {
        let path = ".".to_owned();
        Self {
            mistakes: vec![SettingsMistake { path, problem }],
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", ResultCode::SettingsInvalid)?;
        for mistake in &self.mistakes {
            write!(formatter, "\n{mistake}")?;
        }
        Ok(())
    }
}

impl Error for SettingsError {}
