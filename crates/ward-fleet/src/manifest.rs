//! The operators' manifest: routes, services and the models of their engines.

use indexmap::IndexMap;
use ward_protocol::{MemorySize, ModelName, ServiceName, TimeSpan, number_id};

use crate::tenant::TenantDirectory;

number_id!(
    /// Version of a manifest. Versions increase, but not always by one.
    ManifestVersion, "manifest version"
);

/// Serving configuration that the operators control.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingManifest {
    /// Version of this manifest.
    pub version: ManifestVersion,
    /// Routes in the operators' order.
    pub routes: Vec<ServingRoute>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceClass>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Tenants and their API keys; `None` if requests need no key.
    pub tenants: Option<TenantDirectory>,
}

/// A route: which requests go to which service, and how they are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingRoute {
    /// Name of the route, used in logs.
    pub name: String,
    /// Host name that a request must have; case is ignored.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Services that share the route's requests by weight; never empty.
    pub targets: Vec<RouteTarget>,
    /// Which requests of the route may be sent again.
    pub kind: RouteKind,
    /// Maximum time until the final answer.
    pub timeout: TimeSpan,
    /// Target time until an answer begins; one that begins later is late.
    pub target_latency: TimeSpan,
    /// Maximum pause between two events of a stream that is on time.
    pub event_pause: TimeSpan,
    /// Maximum number of engines that one attempt of a caller may run on.
    pub attempts: u32,
    /// Priority in the queue; zero is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Service that gets the share.
    pub service: ServiceName,
    /// Weight relative to the route's other targets.
    pub weight: f64,
}

/// Which requests of a route may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests, which may be retried.
    Safe,
    /// Requests that run at most once per attempt of a caller.
    Unsafe,
    /// Requests answered by an event stream, run at most once.
    Stream,
    /// Requests answered by an event stream that another engine can resume.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be retried when its outcome is unknown.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Whether requests are answered by event streams.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and the properties of its backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceClass {
    /// Maximum number of connections to each backend server, over all daemons.
    pub connection_cap: u32,
    /// Properties of its engines; `None` for a service without models.
    pub engine: Option<EngineClass>,
}

/// Capacity and models of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineClass {
    /// Memory of an engine for model weights and adapters.
    pub weight_memory: MemorySize,
    /// Maximum number of adapters that an engine holds at the same time.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_second: f64,
    /// Models that the engines can load, by name.
    pub models: IndexMap<ModelName, ModelClass>,
}

/// Sizes and load times of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelClass {
    /// Size of the model's weights.
    pub weights: MemorySize,
    /// Size of each adapter of the model.
    pub adapter_weights: MemorySize,
    /// Time to load the model from the weight store.
    pub store_load: TimeSpan,
    /// Time to load the model from an engine's local disk.
    pub disk_load: TimeSpan,
    /// Time to load the model from an engine's host memory.
    pub memory_load: TimeSpan,
}

/// Limits on the size and timing of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must send a complete header.
    pub header_timeout: TimeSpan,
    /// Time after which an idle connection is closed.
    pub idle_timeout: TimeSpan,
}

impl ServingManifest {
    /// The route for a host and path: the one with the longest matching prefix.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let matching = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Capacity and models of a service's engines; `None` if it has none.
    #[must_use]
    pub fn engine_class(&self, service: &ServiceName) -> Option<&EngineClass> {
        self.services.get(service)?.engine.as_ref()
    }
}

/// Minimum time for which callers wait for the next event of a stream.
const MIN_STREAM_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Multiples of a route's target latency and event pause that callers wait for
/// the next event of a stream.
const TARGET_MULTIPLE: u64 = 4;
const EVENT_PAUSE_MULTIPLE: u64 = 8;

impl ServingRoute {
    /// Time without an event after which callers of a stream disconnect; `None`
    /// if the route's answers are not streams.
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
    ///     is_public: false,
    /// };
    /// assert_eq!(route.stream_idle_timeout(), Some(TimeSpan::from_millis(4_800)));
    /// ```
    #[must_use]
    pub fn stream_idle_timeout(&self) -> Option<TimeSpan> {
        let targets = TimeSpan::from_millis(self.target_latency.millis() * TARGET_MULTIPLE);
        let pauses = TimeSpan::from_millis(self.event_pause.millis() * EVENT_PAUSE_MULTIPLE);
        let idle_timeout = MIN_STREAM_IDLE_TIMEOUT.max(targets).max(pauses);
        self.kind.is_stream().then_some(idle_timeout)
    }

    /// Picks the service of a target by weight; `draw` is a random number in
    /// [0, 1).
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> &ServiceName {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}
