//! Messages between daemons: the connections to the coordinator, and direct
//! messages while there is none.

mod broadcast;
mod call;
mod check;
mod frame;
mod manifest;
mod member;
mod report;
mod search;
mod server;
mod snapshot;
mod traffic;
mod view;
mod vote;

pub(crate) use broadcast::{broadcast_crashes, peer_addresses};
pub(crate) use call::call_daemon;
pub(crate) use frame::{MessageFrame, PeerError, encode_frame, encode_message};
pub(crate) use manifest::{PeerOrder, fetch_manifest};
pub(crate) use member::follow_coordinator;
pub(crate) use server::accept_members;
pub(crate) use snapshot::request_snapshot;
