//! Mistakes in settings.

use std::error::Error;
use std::fmt;
use std::io;
use std::sync::Arc;

use quick_error::quick_error;
use ward_protocol::ResultCode;

quick_error! {
    /// A kind of mistake; its text says how to correct the settings.
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
        /// The value cannot be parsed, or the key is unknown.
        Value(cause: Arc<serde_json::Error>) {
            display("{cause}")
            source(cause)
        }
        /// An object has the key twice.
        DuplicateKey {
            display("the key occurs twice; remove one of the two")
        }
        /// A value without a default is absent.
        Missing {
            display("the value is missing; there is no default for it")
        }
        /// The value is below the smallest allowed one; `why` explains the bound.
        TooSmall(min: String, why: &'static str) {
            display("the value must be at least {min}, {why}")
        }
        /// The value is above the largest allowed one; `why` explains the bound.
        TooLarge(max: String, why: &'static str) {
            display("the value must be at most {max}, {why}")
        }
        /// The IP address is unspecified or multicast, or the port is 0.
        Unreachable {
            display("others cannot connect to this address; give a unicast IP address and a port")
        }
        /// The address to bind has port 0.
        ZeroPort {
            display("the port is 0; give the port to listen on")
        }
        /// Two listen addresses are equal; `other` is the path of the first one.
        DuplicateAddress(other: &'static str) {
            display("the address is also that of {other}; give each its own port")
        }
        /// `keys.previous` is set and `keys.current` is not.
        PreviousWithoutCurrent {
            display("there is no current key; move this one to keys.current")
        }
        /// `keys.previous` equals `keys.current`.
        PreviousIsCurrent {
            display("the key equals keys.current; remove it")
        }
    }
}

/// A mistake and the path of its value.
#[derive(Debug, Clone)]
pub struct SettingsMistake {
    /// Path of the value in the file, such as `lease.read_interval`; `.` for the whole file.
    pub path: String,
    /// Kind of the mistake.
    pub problem: SettingsProblem,
}

impl fmt::Display for SettingsMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.problem)
    }
}

/// All mistakes of rejected settings.
#[derive(Debug, Clone)]
pub struct SettingsError {
    /// The mistakes; never empty.
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
