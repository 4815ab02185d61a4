//! The checked settings.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use ward_protocol::{
    DaemonId, LeaseTimes, PolicyValues, StoreLimits, TimeSpan, TrafficLimits, ZoneName,
};

use crate::address::{AddressSet, PlatformAddresses};
use crate::check::check_input;
use crate::duplicate::duplicate_keys;
use crate::input::read_input;
use crate::logging::LogSettings;
use crate::mistake::{SettingsError, SettingsProblem};
use crate::secret::{OperatorToken, PeerKeys};

/// Settings of a daemon that fit together.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DaemonSettings {
    /// The daemon's id.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its listen addresses.
    pub addresses: AddressSet,
    /// The platform's addresses.
    pub platform: PlatformAddresses,
    /// Addresses of other daemons, for a start while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Times of leases.
    pub lease: LeaseTimes,
    /// Limits of the weight store.
    pub store: StoreLimits,
    /// Limits of callers' requests.
    pub traffic: TrafficLimits,
    /// Values of the policy.
    pub policy: PolicyValues,
    /// Keys between daemons.
    pub keys: PeerKeys,
    /// Operators' token; their address asks for none when absent.
    pub operator_token: Option<OperatorToken>,
    /// How log lines are written.
    pub logging: LogSettings,
    /// Threads for callers' requests.
    pub traffic_threads: u16,
    /// Shards of the request log; the same on all daemons.
    pub request_shards: u16,
    /// Time between snapshots.
    pub snapshot_interval: TimeSpan,
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file cannot be read or has mistakes; gives all of them.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsError::whole_file(SettingsProblem::File(Arc::new(error))))?;
        Self::parse(&text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// When the text has mistakes; gives all of them.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut mistakes = duplicate_keys(text);
        let input = read_input(text, &mut mistakes)?;
        let settings = check_input(input, &mut mistakes);
        match settings {
            Some(settings) if mistakes.is_empty() => Ok(settings),
            _ => Err(SettingsError { mistakes }),
        }
    }

    /// The settings with all defaults as JSON; secrets are hidden.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
