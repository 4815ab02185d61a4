//! Messages between daemons: every daemon's link to the coordinator.

mod brief;
mod check;
mod frame;
mod member;
mod server;

pub(crate) use brief::ask_daemons;
pub(crate) use frame::encode_frame;
pub(crate) use member::follow_coordinator;
pub(crate) use server::accept_members;
