//! Quotas of tenants over all daemons together.
//!
//! Load pattern: each tenant sends its requests to whatever daemons its callers choose,
//! most of them within its quota and now and then many times as many. Daemons that keep
//! equal shares refuse a tenant whose callers use a few daemons; daemons that ask before
//! each request delay them all.
//!
//! So the coordinator keeps one token bucket per tenant ([`QuotaIssuer`]) and hands out
//! parts of it as credit, which daemons hold for the requests of the next seconds
//! ([`CreditStore`]). All credit and the bucket together stay within the burst and a part
//! of the slack that the deployment allows, so that in any window no more than the rate,
//! the burst and the slack are spent, whichever messages are lost. A daemon that hears
//! nothing from a coordinator goes on with its share by the size of its host
//! ([`HostShares`]), and the coordinator hands out only the shares of connected daemons.
//! What is enforced of a quota follows from the tolerance of the deployment
//! ([`QuotaTolerance`]).

mod credit;
mod demand;
mod issuer;
mod ledger;
mod message;
mod shares;
mod store;
mod tolerance;

use ward_protocol::TimeSpan;

pub use self::credit::{CreditAnswer, CreditRequest, CreditStatus};
pub use self::issuer::{IssueContext, QuotaIssuer};
pub use self::message::{QuotaBatch, QuotaGrant, QuotaNeed, TenantKey};
pub use self::shares::HostShares;
pub use self::store::{CreditContext, CreditStore};
pub use self::tolerance::QuotaTolerance;

/// Time without a message of the coordinator after which a daemon is alone.
const ALONE_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Time since the last message of the coordinator, or since the report that a grant
/// answers, after which credit is of no use beyond the equal share.
const CREDIT_LIFETIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Longest wait that is estimated.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(10);
