//! A daemon's settings: JSON in, checked values out.
//!
//! [`DaemonSettings::parse`] reads the whole file and gives either settings
//! that fit together or every mistake in them, each with its path. serde stops
//! at the first mistake, so the reader takes a value that cannot be read out of
//! the tree, notes it, and reads again; a second description of every type, as
//! a schema, would have to be kept equal by hand. Checks between values run on
//! whatever could be read, with defaults in place of the rest.
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
pub use secret::{OperatorToken, PeerKey, PeerKeys, SecretError, TOKEN_MIN_BYTES};
pub use settings::DaemonSettings;
