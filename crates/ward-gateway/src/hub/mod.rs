//! Messages between daemons: every daemon's link to the coordinator.

mod brief;
mod check;
mod frame;
mod member;
mod server;
mod tell;

pub(crate) use brief::ask_daemons;
pub(crate) use frame::encode_frame;
pub(crate) use member::follow_coordinator;
pub(crate) use server::accept_members;
pub(crate) use tell::tell_crashes;
