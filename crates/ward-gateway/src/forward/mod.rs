//! Forwarding of requests and streams to and from engines.

mod attempt;
mod pool;
mod relay;

pub(crate) use attempt::{Attempt, AttemptFailure, AttemptRequest, send_attempt};
pub(crate) use pool::{ConnectionNeed, EnginePool};
pub(crate) use relay::{RelayStart, StreamRelay};
