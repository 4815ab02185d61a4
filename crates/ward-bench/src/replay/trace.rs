//! The requests of a week, drawn from a workload description.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use ward_protocol::{
    CacheTier, MemorySize, MonoTime, PriorityLevel, ReplicaKey, TimeSpan, VersionTag,
};

use super::arrival::arrival_times;
use super::draw::{exponential, named_generator, zipf};
use super::workload::{ModelGroup, WorkloadFile};

/// Length of a trace.
pub const WEEK: TimeSpan = TimeSpan::from_secs(7 * 24 * 3_600);
/// Share of the models whose checkpoint is in one host's memory at the start.
const MEMORY_SHARE: f64 = 0.15;
/// Share of the models whose checkpoint is in one host's memory or on its disk at the start.
const DISK_SHARE: f64 = 0.60;

/// A model or adapter of a trace.
#[derive(Debug, Clone)]
pub struct TraceModel {
    /// Model, version and adapter that a replica loads.
    pub key: ReplicaKey,
    /// Engine memory that one replica takes.
    pub memory: MemorySize,
    /// Maximum number of replicas.
    pub replicas: u16,
    /// Priority of its replicas in placement and eviction.
    pub priority: PriorityLevel,
    /// Replicas that the plan sheet requires to be ready; 0 for none.
    pub ready: u16,
    /// Time of day from which `ready` replicas are required; `None` for the whole day.
    pub ready_from: Option<ward_protocol::DayTime>,
    /// Mean run time of a request.
    pub service: TimeSpan,
    /// Index of the base model of an adapter; `None` for a base model.
    pub base: Option<usize>,
    /// Where the checkpoint is cached at the start, by engine.
    pub tiers: Vec<CacheTier>,
}

/// A request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct TraceRequest {
    /// Arrival time, counted from the start of the week.
    pub arrives_at: MonoTime,
    /// Index of the requested model or adapter in [`RequestTrace::models`].
    pub model: usize,
    /// Run time once it has a slot on a replica.
    pub service: TimeSpan,
    /// Time after arrival at which the request is dropped if it still waits.
    pub deadline: TimeSpan,
    /// Priority in admission and in the weight store's queue.
    pub priority: PriorityLevel,
    /// Number of the prompt's prefix, below `PREFIXES_PER_MODEL`; stands in for its hash when a
    /// ready replica is picked.
    pub prefix: u64,
}

/// A week's models and requests.
#[derive(Debug, Clone, Default)]
pub struct RequestTrace {
    /// Models and adapters; a base model precedes its adapters.
    pub models: Vec<TraceModel>,
    /// Requests in order of arrival.
    pub requests: Vec<TraceRequest>,
}

/// Memory of one adapter on an engine.
const ADAPTER_MEMORY: MemorySize = MemorySize::from_mib(256);
/// Distinct prompt prefixes of one model's requests.
const PREFIXES_PER_MODEL: u64 = 8;

/// Draws the trace of a workload.
///
/// # Errors
///
/// When a model's name, made from its group's name and a number, is not valid.
pub fn draw_trace(
    file: &WorkloadFile,
    seed: u64,
) -> Result<RequestTrace, ward_protocol::id::IdError> {
    let mut trace = RequestTrace::default();
    for group in &file.groups {
        for number in 0..group.models {
            add_model(&mut trace, file, group, number, seed)?;
        }
    }
    trace.requests.sort_by_key(|request| request.arrives_at);
    Ok(trace)
}

fn add_model(
    trace: &mut RequestTrace,
    file: &WorkloadFile,
    group: &ModelGroup,
    number: usize,
    seed: u64,
) -> Result<(), ward_protocol::id::IdError> {
    let name = format!("{}-{number}", group.name);
    let mut generator = named_generator(seed, &name);
    let version: VersionTag = "1".parse()?;
    let key = ReplicaKey {
        model: name.parse()?,
        version,
        adapter: None,
    };
    let base = trace.models.len();
    let tiers = draw_tiers(&mut generator, file.fleet.engines);
    trace.models.push(TraceModel {
        key: key.clone(),
        memory: group.memory,
        replicas: group.replicas,
        priority: group.priority,
        ready: group.ready,
        ready_from: group.ready_from,
        service: group.service,
        base: None,
        tiers: tiers.clone(),
    });
    for adapter in 0..group.adapters {
        trace.models.push(TraceModel {
            key: ReplicaKey {
                adapter: Some(format!("adapter-{adapter}").parse()?),
                ..key.clone()
            },
            memory: ADAPTER_MEMORY,
            replicas: group.replicas,
            priority: group.priority,
            ready: 0,
            ready_from: None,
            service: group.service,
            base: Some(base),
            tiers: tiers.clone(),
        });
    }
    add_requests(trace, group, base, &mut generator);
    Ok(())
}

fn draw_tiers(generator: &mut ChaCha8Rng, engines: usize) -> Vec<CacheTier> {
    let mut tiers = vec![CacheTier::Remote; engines];
    let host = generator.random_range(0..engines.max(1));
    let tier = match generator.random::<f64>() {
        share if share < MEMORY_SHARE => CacheTier::Memory,
        share if share < DISK_SHARE => CacheTier::Disk,
        _ => CacheTier::Remote,
    };
    if let Some(slot) = tiers.get_mut(host) {
        *slot = tier;
    }
    tiers
}

fn add_requests(
    trace: &mut RequestTrace,
    group: &ModelGroup,
    base: usize,
    generator: &mut ChaCha8Rng,
) {
    for law in &group.arrivals {
        for arrives_at in arrival_times(law, generator) {
            let choice = zipf(generator, group.adapters + 1, group.adapter_zipf);
            let service = exponential(generator, group.service.seconds());
            let prefix = generator.random_range(0..PREFIXES_PER_MODEL);
            trace.requests.push(TraceRequest {
                arrives_at,
                model: base + choice,
                service: ward_policy::keep::span_from_secs(service),
                deadline: group.deadline,
                priority: group.priority,
                prefix,
            });
        }
    }
}
