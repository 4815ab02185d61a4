//! Small stand-ins for the platform and for backend servers: the log service,
//! the host list with the weight store, model engines, plain services, and
//! network links to one of these.
//!
//! Each listens on an address, accepts faults over `POST /faults` while it runs,
//! and answers `GET /history` with the events that test checks need. All start in
//! the current Tokio runtime, so tests and the `ward-standin` program run the same
//! code. They define the wire formats themselves and share no parsing code with
//! the clients, so that tests detect a mistake on either side.

pub mod engine;
mod error;
pub mod hosts;
pub mod link;
pub mod log;
mod register;
mod server;
pub mod service;

pub use engine::{EngineFaults, EngineHistory, EngineSettings, EngineStandin, MemoryRule};
pub use error::StandinError;
pub use hosts::{HostsFaults, HostsHistory, HostsSettings, HostsStandin, StoreSettings};
pub use link::{LinkFaults, LinkHistory, LinkSettings, LinkStandin, RunningLink};
pub use log::{LogFaults, LogHistory, LogSettings, LogStandin};
pub use server::RunningStandin;
pub use service::{ServiceFaults, ServiceHistory, ServiceSettings, ServiceStandin};
