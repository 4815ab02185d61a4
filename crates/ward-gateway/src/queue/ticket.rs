//! What a waiting request needs of an engine, and why its wait may fail.

use std::rc::Rc;

use indexmap::IndexSet;
use ward_fleet::admission::{RequestWork, ShareClass};
use ward_fleet::queue::RequestTimes;
use ward_fleet::{ApiKeyDigest, EngineRequirement, QueueRank, RequestPriority};
use ward_protocol::{
    AdapterName, BackendId, ModelName, MonoTime, PartId, RequestFingerprint, ServiceName,
    SoftwareVersion, TimeSpan,
};

use super::admission::RequestKind;
use crate::crash::RequestBlock;
use crate::phase::SharedPhase;

/// Maximum time in which the coordinator hears of a waiting stream and has its model
/// loaded from an engine's own copy.
const MAX_COPY_LOAD_TIME: TimeSpan = TimeSpan::from_secs(3);

/// Identifies a request in logs and as a possible cause of crashes.
#[derive(Debug, Clone)]
pub(crate) struct RequestIdentity {
    /// Request id, for logs.
    pub(crate) request_id: Rc<str>,
    /// Hash of target and body, the same when the request is sent again under another
    /// id.
    pub(crate) fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests may share, in order.
    pub(crate) parts: Rc<[PartId]>,
}

/// What a request needs of an engine, and how urgently.
#[derive(Debug, Clone)]
pub(crate) struct WaitTicket {
    pub(crate) identity: RequestIdentity,
    /// Name of the route.
    pub(crate) route: Rc<str>,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
    pub(crate) adapter: Option<AdapterName>,
    /// Software version that began the stream; `None` for a request that no engine has
    /// answered yet.
    pub(crate) software: Option<SoftwareVersion>,
    /// When the request arrived.
    pub(crate) arrival: MonoTime,
    /// Number of tokens at the start of the prompt that other requests share.
    pub(crate) shared_tokens: u64,
    pub(crate) priority: RequestPriority,
    /// Work that it needs of an engine.
    pub(crate) work: RequestWork,
    /// Its kind and size, which must not be starved.
    pub(crate) class: ShareClass<RequestKind>,
    pub(crate) times: RequestTimes,
    /// API key that the request needs; `None` if it needs none.
    pub(crate) api_key: Option<ApiKeyDigest>,
    /// Engines that should not receive the request again.
    pub(crate) avoided: IndexSet<BackendId>,
    pub(crate) phase: SharedPhase,
}

impl WaitTicket {
    pub(crate) fn requirement(&self) -> EngineRequirement<'_> {
        EngineRequirement {
            service: &self.service,
            model: self.model.as_ref(),
            adapter: self.adapter.as_ref(),
            software: self.software.as_ref(),
            shared_tokens: self.shared_tokens,
            shared_prefix: self.identity.parts.last(),
        }
    }

    /// Whether a model that only engines of other software versions hold would have been
    /// loaded by now at the required one, if an engine had a copy of it.
    pub(super) fn is_too_late_for_load(&self, now: MonoTime) -> bool {
        now.since(self.arrival) > MAX_COPY_LOAD_TIME
    }

    pub(super) fn rank(&self, now: MonoTime) -> QueueRank {
        QueueRank::new(self.priority, &self.times, now)
    }

    pub(super) fn key(&self) -> WaitKey {
        WaitKey {
            service: self.service.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            software: self.software.clone(),
        }
    }
}

/// Identifies a model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ModelKey {
    pub(super) service: ServiceName,
    pub(super) model: ModelName,
}

/// Identifies requests that the same engines can serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct WaitKey {
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    pub(super) adapter: Option<AdapterName>,
    pub(super) software: Option<SoftwareVersion>,
}

/// Why a request got no slot at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitFailure {
    /// The service has no engine that accepts requests.
    NoEngine,
    /// No slot became free before the latest time at which an engine could start.
    Timeout,
    /// The model cannot be ready in time; the caller may retry after this time.
    NotInTime(TimeSpan),
    /// The engines are overloaded and the request cannot meet its target latency; the
    /// caller may retry after this time.
    Overload(TimeSpan),
    /// The engines requested a pause that is too long for the request; the caller may
    /// retry after this time.
    Paused(TimeSpan),
    /// Only engines with a rate limit can serve the request, and not within its time; the
    /// caller may retry after this time.
    Limited(TimeSpan),
    /// The API key of the request was withdrawn.
    KeyWithdrawn,
    /// The request, or a part of its prompt, has crashed engines.
    Blocked(RequestBlock),
    /// The daemon is shutting down, so another one must serve the request.
    Closed,
}
