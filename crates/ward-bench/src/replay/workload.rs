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
    /// Name in rows, tables and file names.
    pub name: String,
    /// Which traffic the workload represents.
    pub about: String,
    /// Engines that serve the workload.
    pub fleet: FleetShape,
    /// Groups of models with their requests.
    pub groups: Vec<ModelGroup>,
}

/// The engines of a workload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    /// Number of engines.
    pub engines: usize,
    /// Availability zones, assigned to the engines in turn.
    pub zones: Vec<ZoneName>,
    /// Memory of each engine.
    pub memory: MemorySize,
    /// Maximum number of checkpoints that each host's disk caches.
    pub disk_checkpoints: usize,
}

/// Models of the same size and traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// Prefix of the models' names.
    pub name: ModelName,
    /// Number of models.
    pub models: usize,
    /// Memory of one replica.
    pub memory: MemorySize,
    /// Maximum number of replicas of each model.
    pub replicas: u16,
    /// Replicas of each model that the plan sheet requires to be ready; 0 for none.
    #[serde(default)]
    pub ready: u16,
    /// Time of day from which `ready` replicas are required; the whole day when absent.
    #[serde(default)]
    pub ready_from: Option<DayTime>,
    /// Priority of loads and requests.
    pub priority: PriorityLevel,
    /// Time after arrival at which a request is dropped if it still waits.
    pub deadline: TimeSpan,
    /// Mean run time of a request.
    pub service: TimeSpan,
    /// Number of adapters of each model.
    #[serde(default)]
    pub adapters: usize,
    /// Exponent of the Zipf distribution of requests over a model and its adapters.
    #[serde(default)]
    pub adapter_zipf: f64,
    /// Arrival laws of each model's requests; their arrivals are added together.
    pub arrivals: Vec<ArrivalLaw>,
}

/// Distribution of the arrival times of one model's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ArrivalLaw {
    /// A Poisson process inside hours of the day.
    Steady {
        /// Mean requests per day.
        per_day: f64,
        /// Days and hours with arrivals.
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
        /// Days and hours in which bursts start.
        hours: OpenHours,
    },
    /// Independent gaps with a Pareto tail, at any hour.
    Heavy {
        /// Shortest gap of the most popular model.
        shortest: TimeSpan,
        /// Ratio of the shortest gaps of the least and the most popular model; each model's gap
        /// is drawn log-uniformly between them.
        spread: f64,
        /// Tail exponent; smaller is heavier.
        alpha: f64,
        /// Longest gap.
        longest: TimeSpan,
    },
    /// Nearly equal gaps.
    Regular {
        /// Time between two requests.
        every: TimeSpan,
        /// Maximum deviation of a request from its regular time.
        jitter: TimeSpan,
        /// Days and hours with arrivals.
        hours: OpenHours,
    },
    /// A Poisson process whose rate decays exponentially.
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
    /// Last day, included.
    pub last_day: u64,
    /// Start of the hours on each day.
    pub from: DayTime,
    /// End of the hours on each day.
    pub until: DayTime,
}

impl WorkloadFile {
    /// Reads a workload description.
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
