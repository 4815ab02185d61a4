//! Client side of the protocol between daemons and backend servers: orders,
//! status reads and requests.
//!
//! Each wire format has its own module (`wire`). Answers are bounded in size
//! and time. An order without a clear answer is `Unknown` and is never retried
//! here: its sender reads the engine's status to find out whether the order was
//! carried out.

pub mod order;
pub mod request;
pub mod status;
