//! What waiting requests need, and why they may wait in vain.

use std::rc::Rc;

use indexmap::IndexSet;
use ward_fleet::queue::RequestTimes;
use ward_fleet::{EngineRequirement, QueueRank};
use ward_protocol::{
    AdapterName, BackendId, ModelName, MonoTime, RequestFingerprint, ServiceName, TimeSpan,
};

use crate::phase::SharedPhase;

/// Which request it is.
#[derive(Debug, Clone)]
pub(crate) struct RequestIdentity {
    /// Its id, for logs.
    pub(crate) request_id: Rc<str>,
    /// What it asks for, also when it is sent again under another id.
    pub(crate) fingerprint: RequestFingerprint,
}

/// What a request needs of an engine, and how urgently.
#[derive(Debug, Clone)]
pub(crate) struct WaitTicket {
    pub(crate) identity: RequestIdentity,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) shared_tokens: u64,
    pub(crate) shared_part: Option<String>,
    pub(crate) priority: u32,
    pub(crate) times: RequestTimes,
    /// Engines that should not get it again.
    pub(crate) avoided: IndexSet<BackendId>,
    pub(crate) phase: SharedPhase,
}

impl WaitTicket {
    pub(super) fn wish(&self) -> EngineRequirement<'_> {
        EngineRequirement {
            service: &self.service,
            model: self.model.as_ref(),
            adapter: self.adapter.as_ref(),
            shared_tokens: self.shared_tokens,
            shared_prefix: self.shared_part.as_deref(),
        }
    }

    pub(super) fn rank(&self, now: MonoTime) -> QueueRank {
        QueueRank::new(self.priority, &self.times, now)
    }

    pub(super) fn key(&self) -> WaitKey {
        WaitKey {
            service: self.service.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
        }
    }
}

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SlowKey {
    pub(super) service: ServiceName,
    pub(super) model: ModelName,
}

/// Requests that the same engines can serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct WaitKey {
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    pub(super) adapter: Option<AdapterName>,
}

/// Why a request got no engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitFailure {
    /// The service has no engine that takes requests.
    NoEngine,
    /// Its time ran out.
    Timeout,
    /// Its model cannot be ready in time; it may come back after this time.
    NotInTime(TimeSpan),
    /// Its engines are overloaded and it is late; it may come back after this
    /// time.
    Overload(TimeSpan),
    /// Its engines have asked for a pause that is too long for it; it may come back
    /// after this time.
    Paused(TimeSpan),
    /// It has crashed engines; it is not sent for this time.
    Crashes(TimeSpan),
    /// The daemon stops, so another one must serve it.
    Closed,
}
