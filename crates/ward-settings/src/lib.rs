//! Settings of a daemon, read from JSON and checked.
//!
//! [`DaemonSettings::parse`] reads the whole file and returns either consistent
//! settings or every mistake in them, each with its path. serde stops at the
//! first mistake, so the reader removes a value that cannot be read from the
//! tree, reports it, and reads again. A JSON schema would be a second description
//! of every type, to be kept equal by hand. Checks between values run on the
//! values that could be read, with defaults in place of the others.
//!
//! Secrets never appear in `Debug` output, in error texts or in
//! [`DaemonSettings::to_json`].

mod address;
mod check;
mod duplicate;
mod input;
mod logging;
mod mistake;
mod secret;
mod settings;

pub use address::{AddressSet, ListenAddress, PlatformAddresses};
pub use logging::{LogFormat, LogLevel, LogSettings};
pub use mistake::{SettingsError, SettingsMistake, SettingsProblem};
pub use secret::{MIN_TOKEN_BYTES, OperatorToken, PeerKey, PeerKeys, SecretError};
pub use settings::DaemonSettings;
