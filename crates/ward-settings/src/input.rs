//! Settings as written in the file, before values are checked against each other.

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

/// A listen address as written in the file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ListenInput {
    /// Local address to bind; required.
    pub(crate) bind: Option<SocketAddr>,
    /// Address that others connect to; `bind` when absent.
    pub(crate) advertised: Option<SocketAddr>,
}

/// The listen addresses as written in the file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct AddressInput {
    /// HTTP for callers.
    pub(crate) callers: ListenInput,
    /// UDP and TCP for other daemons.
    pub(crate) peers: ListenInput,
    /// HTTP for operators.
    pub(crate) operators: ListenInput,
}

/// The platform's addresses as written in the file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct PlatformInput {
    /// The log service; required.
    pub(crate) log: Option<SocketAddr>,
    /// The host list; required.
    pub(crate) hosts: Option<SocketAddr>,
}

/// The whole file as written, with defaults in place of absent values.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct SettingsInput {
    /// Id of this daemon; required.
    pub(crate) daemon: Option<DaemonId>,
    /// Availability zone of this daemon; required.
    pub(crate) zone: Option<ZoneName>,
    /// Addresses that this daemon listens on.
    pub(crate) addresses: AddressInput,
    /// Addresses of the log service and the host list.
    pub(crate) platform: PlatformInput,
    /// Addresses of other daemons, from which state is fetched at startup while the log is
    /// down; `None` in place of a value that cannot be parsed.
    pub(crate) seeds: Vec<Option<SocketAddr>>,
    /// Lease duration and the intervals of reads and probes.
    pub(crate) lease: LeaseTimes,
    /// Limits on concurrent loads from the weight store.
    pub(crate) store: StoreLimits,
    /// Limits on callers' requests and connections.
    pub(crate) traffic: TrafficLimits,
    /// Parameters of the placement and keep-alive policy.
    pub(crate) policy: PolicyValues,
    /// Keys that authenticate messages between daemons.
    pub(crate) keys: PeerKeys,
    /// Token that operators must send; calls are not checked when absent.
    pub(crate) operator_token: Option<OperatorToken>,
    /// Format and level of log lines.
    pub(crate) logging: LogSettings,
    /// Threads that serve callers and operators.
    pub(crate) traffic_threads: u16,
    /// Number of log streams that idempotency keys are spread over.
    pub(crate) request_shards: u16,
    /// Time between snapshots of the control state.
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

/// Reads the file; a value that cannot be read is reported and takes its default.
///
/// # Errors
/// When the text is not a JSON object, or the value with a mistake cannot be removed.
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

/// Removes the value at the path, so that the other values can be read; false when
/// there is no such value.
///
/// In a list it becomes `null`, so that the indexes of the other items stay the same.
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
