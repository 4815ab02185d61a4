//! Descriptions of a week's workload, as JSON files.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use ward_protocol::{DayTime, MemorySize, ModelName, PriorityLevel, TimeSpan, ZoneName};

quick_error! {
    /// A workload file that cannot be used.
    #[derive(Debug)]
    pub enum WorkloadError {
        /// The file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("cannot read {}: {cause}; check the path", path.display())
            source(cause)
        }
        /// The file is not a workload description.
        Parse(path: PathBuf, cause: serde_json::Error) {
            display("{} is not a workload description: {cause}", path.display())
            source(cause)
        }
    }
}

/// A week's workload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadFile {
    /// Its name.
    pub name: String,
    /// What it stands for.
    pub about: String,
    /// The engines.
    pub fleet: FleetShape,
    /// The models and their requests.
    pub groups: Vec<ModelGroup>,
}

/// The engines of a workload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    /// Number of engines.
    pub engines: usize,
    /// Their zones, in turn.
    pub zones: Vec<ZoneName>,
    /// Memory of each.
    pub memory: MemorySize,
    /// Checkpoints that each host's disk holds.
    pub disk_checkpoints: usize,
}

/// Models alike in size and traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// Prefix of the models' names.
    pub name: ModelName,
    /// Number of models.
    pub models: usize,
    /// Memory of one replica.
    pub memory: MemorySize,
    /// Most replicas of each.
    pub replicas: u16,
    /// Replicas of each that the sheet wants ready.
    #[serde(default)]
    pub ready: u16,
    /// Time of day from which it wants them.
    #[serde(default)]
    pub ready_from: Option<DayTime>,
    /// Priority of loads and requests.
    pub priority: PriorityLevel,
    /// Time limit of a request.
    pub deadline: TimeSpan,
    /// Mean time that a request runs.
    pub service: TimeSpan,
    /// Adapters of each model.
    #[serde(default)]
    pub adapters: usize,
    /// Exponent of the Zipf law by which requests choose among a model and its adapters.
    #[serde(default)]
    pub adapter_zipf: f64,
    /// The requests of each model.
    pub arrivals: Vec<ArrivalLaw>,
}

/// When requests of one model come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ArrivalLaw {
    /// A Poisson process inside hours of the day.
    Steady {
        /// Mean requests per day.
        per_day: f64,
        /// The hours.
        hours: OpenHours,
    },
    /// Bursts at Poisson times.
    Burst {
        /// Mean bursts per day.
        per_day: f64,
        /// Mean requests per burst.
        size: f64,
        /// Length of a burst.
        spread: TimeSpan,
        /// The hours.
        hours: OpenHours,
    },
    /// Independent gaps with a Pareto tail, at any hour.
    Heavy {
        /// Shortest gap of the most popular model.
        shortest: TimeSpan,
        /// Factor between the most and the least popular model, log-uniform between.
        spread: f64,
        /// Tail exponent; smaller is heavier.
        alpha: f64,
        /// Longest gap.
        longest: TimeSpan,
    },
    /// Nearly equal gaps.
    Regular {
        /// The gap.
        every: TimeSpan,
        /// Largest deviation from it.
        jitter: TimeSpan,
        /// The hours.
        hours: OpenHours,
    },
    /// A Poisson process whose rate falls by half again and again.
    Cooling {
        /// Requests per day at the start.
        per_day: f64,
        /// Time for the rate to halve.
        half_life: TimeSpan,
    },
}

/// Days and hours with traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenHours {
    /// First day, 0 is Monday.
    pub first_day: u64,
    /// Last day.
    pub last_day: u64,
    /// Start of the hours.
    pub from: DayTime,
    /// End of the hours.
    pub until: DayTime,
}

impl WorkloadFile {
    /// Reads a description.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or does not hold a description.
    pub fn read(path: &Path) -> Result<Self, WorkloadError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| WorkloadError::Read(path.to_owned(), cause))?;
        serde_json::from_str(&text).map_err(|cause| WorkloadError::Parse(path.to_owned(), cause))
    }
}
