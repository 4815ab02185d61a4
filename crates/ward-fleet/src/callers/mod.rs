//! Decides what the connections of callers may hold, and which of them are closed when
//! that is too little for all.
//!
//! Load pattern: callers that keep to no limits open as many connections as they can, and
//! stop halfway in a head, a body or the reading of an answer. Each of them stays within
//! what one caller may hold, but all together exceed the memory or the descriptors of the
//! host, and the process ends under the requests of all other callers. So all connections
//! share one budget, which leaves enough for the daemon's own connections. When it is
//! used up, connections are closed: never one whose request is being served, first those
//! of addresses that hold more than others, idle ones before unfinished ones, and of these
//! first the one that is furthest behind a slow link.

mod bounds;
mod load;
mod yielding;

pub use bounds::{CallerBounds, EndpointKind, max_header_fields};
pub use load::{BodyLength, CallerPhase, ConnectionLoad};
pub use yielding::{YieldNeed, choose_yielding};
