//! What daemons say to backend servers: orders and status reads, requests.
//!
//! Each wire format has one module of its own (`wire`). Answers are bounded in
//! size and time. An order without a clear answer is `Unknown` and is never
//! repeated here: its sender reads the engine's status to learn what became of
//! it.

pub mod order;

pub mod request;
pub mod status;
