//! Rate limits that engines in need name in their answers.
//!
//! Load pattern: an engine slows down or overheats while its models are in demand, and
//! names the rate of requests that it takes from all daemons together. Daemons that keep
//! such a limit each for itself exceed it in sum, and those that share it equally leave
//! most of it unused, because callers ask only some of them for the engine's models.
//!
//! So the coordinator issues permits from one token bucket per limited engine, to the
//! daemons at which requests wait ([`PermitIssuer`], [`PermitStore`]). Daemons that follow
//! no coordinator send in turns ([`TurnShare`]). What is known of limits is told on by
//! each daemon ([`LimitLedger`]).

mod bucket;
mod issuer;
mod ledger;
mod permits;
mod rate;
mod turns;

pub use self::bucket::TokenBucket;
pub use self::issuer::PermitIssuer;
pub use self::ledger::{LimitEvidence, LimitLedger, LimitSighting};
pub use self::permits::{PermitBatch, PermitGrant, PermitNeed, PermitStore};
pub use self::rate::RequestRate;
pub use self::turns::{Turn, TurnShare};

/// Rate of requests that an engine with a lower limit, or one of zero, still gets. An
/// engine says only in answers to requests that its limit has ended.
const MIN_RATE: RequestRate = RequestRate(200);
