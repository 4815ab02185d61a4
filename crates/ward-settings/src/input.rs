//! Settings as they stand in the file, before the checks between values.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use ward_protocol::{
    DaemonId, LeaseTimes, PolicyValues, StoreLimits, TimeSpan, TrafficLimits, ZoneName,
};

use crate::logging::LogSettings;
use crate::mistake::{SettingsError, SettingsMistake, SettingsProblem};
use crate::secret::{OperatorToken, PeerKeys};

const DEFAULT_THREADS: u16 = 4;
const DEFAULT_SHARDS: u16 = 4;
const DEFAULT_SNAPSHOT_INTERVAL: TimeSpan = TimeSpan::from_secs(300);

/// A listen address as written.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ListenInput {
    /// Where to listen.
    pub(crate) bind: Option<SocketAddr>,
    /// What others are told.
    pub(crate) advertised: Option<SocketAddr>,
}

/// The listen addresses as written.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct AddressInput {
    /// For callers.
    pub(crate) callers: ListenInput,
    /// For other daemons.
    pub(crate) peers: ListenInput,
    /// For operators.
    pub(crate) operators: ListenInput,
}

/// The platform's addresses as written.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct PlatformInput {
    /// The log service.
    pub(crate) log: Option<SocketAddr>,
    /// The host list.
    pub(crate) hosts: Option<SocketAddr>,
}

/// The whole file as written, with defaults filled in.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct SettingsInput {
    /// The daemon's id.
    pub(crate) daemon: Option<DaemonId>,
    /// Its availability zone.
    pub(crate) zone: Option<ZoneName>,
    /// Its listen addresses.
    pub(crate) addresses: AddressInput,
    /// The platform's addresses.
    pub(crate) platform: PlatformInput,
    /// Addresses of other daemons, for a start while the log is down; nothing where unreadable.
    pub(crate) seeds: Vec<Option<SocketAddr>>,
    /// Times of leases.
    pub(crate) lease: LeaseTimes,
    /// Limits of the weight store.
    pub(crate) store: StoreLimits,
    /// Limits of callers' requests.
    pub(crate) traffic: TrafficLimits,
    /// Values of the policy.
    pub(crate) policy: PolicyValues,
    /// Keys between daemons.
    pub(crate) keys: PeerKeys,
    /// Operators' token.
    pub(crate) operator_token: Option<OperatorToken>,
    /// How log lines are written.
    pub(crate) logging: LogSettings,
    /// Threads for callers' requests.
    pub(crate) traffic_threads: u16,
    /// Shards of the request log.
    pub(crate) request_shards: u16,
    /// Time between snapshots.
    pub(crate) snapshot_interval: TimeSpan,
}

impl Default for SettingsInput {
    fn default() -> Self {
        Self {
            daemon: None,
            zone: None,
            addresses: AddressInput::default(),
            platform: PlatformInput::default(),
            seeds: Vec::new(),
            lease: LeaseTimes::default(),
            store: StoreLimits::default(),
            traffic: TrafficLimits::default(),
            policy: PolicyValues::default(),
            keys: PeerKeys::default(),
            operator_token: None,
            logging: LogSettings::default(),
            traffic_threads: DEFAULT_THREADS,
            request_shards: DEFAULT_SHARDS,
            snapshot_interval: DEFAULT_SNAPSHOT_INTERVAL,
        }
    }
}

/// Reads the file; values that cannot be read are noted and left at their defaults.
///
/// # Errors
/// When the text is not a JSON object, or a mistake cannot be taken out of it.
pub(crate) fn read_input(
    text: &str,
    mistakes: &mut Vec<SettingsMistake>,
) -> Result<SettingsInput, SettingsError> {
    let mut tree: Value = serde_json::from_str(text)
        .map_err(|error| SettingsError::whole_file(SettingsProblem::Syntax(Arc::new(error))))?;
    loop {
        let error = match serde_path_to_error::deserialize::<_, SettingsInput>(&tree) {
            Ok(input) => return Ok(input),
            Err(error) => error,
        };
        let path = error.path().clone();
        let removed = remove_value(&mut tree, &path);
        mistakes.push(SettingsMistake {
            path: path.to_string(),
            problem: SettingsProblem::Value(Arc::new(error.into_inner())),
        });
        if !removed {
            let mistakes = mistakes.clone();
            return Err(SettingsError { mistakes });
        }
    }
}

/// Removes the value at the path, so that the rest can be read.
///
/// In a list it becomes `null`, so that the places of the others stay as they are.
fn remove_value(tree: &mut Value, path: &Path) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut parent = tree;
    for segment in parents {
        let Some(child) = child_mut(parent, segment) else {
            return false;
        };
        parent = child;
    }
    match (parent, last) {
        (Value::Object(fields), Segment::Map { key }) => fields.shift_remove(key).is_some(),
        (Value::Array(items), Segment::Seq { index }) if *index < items.len() => {
            items[*index] = Value::Null;
            true
        }
        _ => false,
    }
}

fn child_mut<'a>(parent: &'a mut Value, segment: &Segment) -> Option<&'a mut Value> {
    match segment {
        Segment::Map { key } => parent.get_mut(key),
        Segment::Seq { index } => parent.get_mut(*index),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}
