//! How far a request has come: what its line says when its caller leaves.

use std::cell::RefCell;
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

use ward_protocol::BackendId;

/// What a request waits for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Its body, or its route.
    #[default]
    Receiving,
    /// An engine that holds its model; one is expected in time.
    Model,
    /// A place at one of the engines that hold its model.
    Slot,
    /// The end of the pause that its engines asked for.
    Pause,
    /// The answer of an engine.
    Answer(BackendId),
}

impl Display for RequestPhase {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Receiving => formatter.write_str("it was being read"),
            Self::Model => formatter.write_str("its model was on its way"),
            Self::Slot => formatter.write_str("its engines were full"),
            Self::Pause => formatter.write_str("its engines had asked for a pause"),
            Self::Answer(engine) => write!(formatter, "engine {engine} had not answered"),
        }
    }
}

/// The phase of one request, seen by all that handle it.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedPhase(Rc<RefCell<RequestPhase>>);

impl SharedPhase {
    /// Enters a phase.
    pub(crate) fn enter(&self, phase: RequestPhase) {
        self.0.replace(phase);
    }
}

impl Display for SharedPhase {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.borrow().fmt(formatter)
    }
}
