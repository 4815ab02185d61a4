//! Forwarding of requests and streams to and from engines.

mod attempt;
mod ending;
mod framing;
mod pool;
mod relay;
mod resume;
mod reuse;
mod silence;

pub(crate) use attempt::{Attempt, AttemptFailure, AttemptRequest, send_attempt};
pub(crate) use ending::{joined_end, unframed_end};
pub(crate) use framing::is_unframed;
pub(crate) use pool::{ConnectionNeed, EngineConnection, EnginePool};
pub(crate) use relay::{RelayStart, StreamRelay};
pub(crate) use silence::InquiryDesk;
