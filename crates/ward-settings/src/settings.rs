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

/// Settings of a daemon, checked against each other.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DaemonSettings {
    /// Id of this daemon, unique in the deployment.
    pub daemon: DaemonId,
    /// Availability zone of this daemon.
    pub zone: ZoneName,
    /// Addresses that this daemon listens on.
    pub addresses: AddressSet,
    /// Addresses of the log service and the host list.
    pub platform: PlatformAddresses,
    /// Addresses of other daemons, from which state is fetched at startup while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Lease duration and the intervals of reads and probes.
    pub lease: LeaseTimes,
    /// Limits on concurrent loads from the weight store.
    pub store: StoreLimits,
    /// Limits on callers' requests and connections.
    pub traffic: TrafficLimits,
    /// Parameters of the placement and keep-alive policy.
    pub policy: PolicyValues,
    /// Keys that authenticate messages between daemons.
    pub keys: PeerKeys,
    /// Token that operators must send; calls are not checked when absent.
    pub operator_token: Option<OperatorToken>,
    /// Format and level of log lines.
    pub logging: LogSettings,
    /// Threads that serve callers and operators.
    pub traffic_threads: u16,
    /// Number of log streams that idempotency keys are spread over; must be equal on all daemons.
    pub request_shards: u16,
    /// Time between snapshots of the control state.
    pub snapshot_interval: TimeSpan,
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file cannot be read or has mistakes; the error lists all of them.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsError::whole_file(SettingsProblem::File(Arc::new(error))))?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// When the text has mistakes; the error lists all of them.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut mistakes = duplicate_keys(text);
        let input = read_input(text, &mut mistakes)?;
        let settings = check_input(input, &mut mistakes);
        match settings {
            Some(settings) if mistakes.is_empty() => Ok(settings),
            _ => Err(SettingsError { mistakes }),
        }
    }

    /// The settings as JSON, with all defaults; secrets are replaced by `(hidden)`.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
