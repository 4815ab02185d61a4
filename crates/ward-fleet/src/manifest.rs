//! The operators' manifest: routes, services and the models of their engines.

use indexmap::IndexMap;
use ward_protocol::{MemorySize, ModelName, ServiceName, TimeSpan, number_id};

number_id!(
    /// Version of a manifest; rises in uneven steps.
    ManifestVersion, "manifest version"
);

/// Everything the operators decide about serving.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingManifest {
    /// Version of this manifest.
    pub version: ManifestVersion,
    /// Routes in the operators' order.
    pub routes: Vec<ServingRoute>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceClass>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// One route: which requests go to which service, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingRoute {
    /// Name of the route, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Services that share the route's requests by weight; never empty.
    pub targets: Vec<RouteTarget>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: TimeSpan,
    /// Time within which an answer is on time.
    pub target_latency: TimeSpan,
    /// Longest pause between events of a stream that is on time.
    pub event_pause: TimeSpan,
    /// Most engines that one attempt of a caller may run on.
    pub attempts: u32,
    /// Urgency; zero is the most urgent.
    pub priority: u32,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Relative share.
    pub weight: f64,
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent.
    Safe,
    /// Runs at most once per attempt of a caller.
    Unsafe,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another engine.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run again after an unknown outcome.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and what its backend servers are like.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceClass {
    /// Connections that each backend server accepts from all daemons together.
    pub connection_cap: u32,
    /// The models of its engines, when it is not a plain service.
    pub engine: Option<EngineClass>,
}

/// What the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineClass {
    /// Memory for weights and adapters.
    pub weight_memory: MemorySize,
    /// Adapters held at the same time.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: IndexMap<ModelName, ModelClass>,
}

/// One model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelClass {
    /// Size of its weights.
    pub weights: MemorySize,
    /// Size of each of its adapters.
    pub adapter_weights: MemorySize,
    /// Load time from the weight store.
    pub store_load: TimeSpan,
    /// Load time from the engine's disk.
    pub disk_load: TimeSpan,
    /// Load time from the engine's host memory.
    pub memory_load: TimeSpan,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest header in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Time to send a header.
    pub header_timeout: TimeSpan,
    /// Time that a connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl ServingManifest {
    /// The route with the longest prefix among those of a host.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let matching = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// The models of a service's engines.
    #[must_use]
    pub fn engine_class(&self, service: &ServiceName) -> Option<&EngineClass> {
        self.services.get(service)?.engine.as_ref()
    }
}

/// Callers of streams wait at least so long for the next event.
const LEAST_STREAM_PATIENCE: TimeSpan = TimeSpan::from_secs(2);
/// Multiples of a route's target and pause that callers of streams wait.
const TARGETS_WAITED: u64 = 4;
const PAUSES_WAITED: u64 = 8;

impl ServingRoute {
    /// Time without an event after which the callers of a stream leave; nothing
    /// for answers that are no streams.
    ///
    /// ```
    /// # use ward_fleet::{RouteKind, ServingRoute};
    /// # use ward_protocol::TimeSpan;
    /// let route = ServingRoute {
    ///     name: "quick".to_owned(),
    ///     host: "shop.example".to_owned(),
    ///     prefix: "/quick/".to_owned(),
    ///     targets: Vec::new(),
    ///     kind: RouteKind::Stream,
    ///     timeout: TimeSpan::from_secs(6),
    ///     target_latency: TimeSpan::from_millis(500),
    ///     event_pause: TimeSpan::from_millis(600),
    ///     attempts: 1,
    ///     priority: 0,
    /// };
    /// assert_eq!(route.stream_idle_timeout(), Some(TimeSpan::from_millis(4_800)));
    /// ```
    #[must_use]
    pub fn stream_idle_timeout(&self) -> Option<TimeSpan> {
        let targets = TimeSpan::from_millis(self.target_latency.millis() * TARGETS_WAITED);
        let pauses = TimeSpan::from_millis(self.event_pause.millis() * PAUSES_WAITED);
        let patience = LEAST_STREAM_PATIENCE.max(targets).max(pauses);
        self.kind.is_stream().then_some(patience)
    }

    /// The service for a draw from 0 up to 1.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> &ServiceName {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * total;
        for target in &self.targets {
            rest -= target.weight;
            if rest < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}
