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
/// Part of the models whose checkpoint one host has in memory at the start.
const MEMORY_SHARE: f64 = 0.15;
/// Part of the models whose checkpoint one host has at least on disk at the start.
const DISK_SHARE: f64 = 0.60;

/// A model or adapter of a trace.
#[derive(Debug, Clone)]
pub struct TraceModel {
    /// What is loaded.
    pub key: ReplicaKey,
    /// Memory of a replica.
    pub memory: MemorySize,
    /// Most replicas.
    pub replicas: u16,
    /// Priority of its loads.
    pub priority: PriorityLevel,
    /// Replicas that the sheet wants ready.
    pub ready: u16,
    /// Time of day from which it wants them.
    pub ready_from: Option<ward_protocol::DayTime>,
    /// Mean time that a request runs.
    pub service: TimeSpan,
    /// Index of the base model, for an adapter.
    pub base: Option<usize>,
    /// Where the checkpoint is cached at the start, by engine.
    pub tiers: Vec<CacheTier>,
}

/// A request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct TraceRequest {
    /// When it comes.
    pub arrives_at: MonoTime,
    /// Index of its model or adapter.
    pub model: usize,
    /// How long it runs.
    pub service: TimeSpan,
    /// Its time limit.
    pub deadline: TimeSpan,
    /// Its priority.
    pub priority: PriorityLevel,
    /// Hash of its prompt's head.
    pub prefix: u64,
}

/// A week's models and requests.
#[derive(Debug, Clone, Default)]
pub struct RequestTrace {
    /// Models and adapters; a base model stands before its adapters.
    pub models: Vec<TraceModel>,
    /// Requests in order of time.
    pub requests: Vec<TraceRequest>,
}

/// Memory of an adapter.
const ADAPTER_MEMORY: MemorySize = MemorySize::from_mib(256);
/// Distinct prompt heads of one model.
const PREFIXES_PER_MODEL: u64 = 8;

/// Draws the trace of a workload.
///
/// # Errors
///
/// When a group's name is too long for its models' names.
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
