//! Messages between daemons: every daemon's link to the coordinator.

mod briefing;
mod broadcast;
mod check;
mod frame;
mod member;
mod server;

pub(crate) use briefing::request_briefing;
pub(crate) use broadcast::broadcast_crashes;
pub(crate) use frame::encode_frame;
pub(crate) use member::follow_coordinator;
pub(crate) use server::accept_members;
