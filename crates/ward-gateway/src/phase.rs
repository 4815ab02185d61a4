//! The phase of a request, logged when its caller disconnects before the answer.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

use ward_protocol::BackendId;

/// What a request is waiting for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// The rest of the request's body, or its route in the manifest.
    #[default]
    Receiving,
    /// An engine that has the request's model and adapter in memory; none has them now.
    Model,
    /// A free slot at one of the engines that have the request's model in memory.
    Slot,
    /// The end of the pause that the engines with its model requested with
    /// Retry-After.
    Pause,
    /// A permit for one of the engines with its model, which limit their requests.
    Permit,
    /// The answer of this engine.
    Answer(BackendId),
}

impl Display for RequestPhase {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Receiving => formatter.write_str("it was being read"),
            Self::Model => formatter.write_str("its model was on its way"),
            Self::Slot => formatter.write_str("its engines were full"),
            Self::Pause => formatter.write_str("its engines had asked for a pause"),
            Self::Permit => formatter.write_str("its engines had named a limit"),
            Self::Answer(engine) => write!(formatter, "engine {engine} had not answered"),
        }
    }
}

/// The phase of one request, shared by all code that handles it.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedPhase {
    phase: Rc<RefCell<RequestPhase>>,
    was_sent: Rc<Cell<bool>>,
}

impl SharedPhase {
    /// Replaces the phase.
    pub(crate) fn enter(&self, phase: RequestPhase) {
        if matches!(phase, RequestPhase::Answer(_)) {
            self.was_sent.set(true);
        }
        self.phase.replace(phase);
    }

    /// Whether the request was ever about to be sent to an engine, so that it may have run.
    pub(crate) fn was_sent(&self) -> bool {
        self.was_sent.get()
    }
}

impl Display for SharedPhase {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.phase.borrow().fmt(formatter)
    }
}
