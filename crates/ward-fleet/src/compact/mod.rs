//! Views and reports as they are sent over a connection: only what changed.
//!
//! Load pattern: most of what views and reports tell stays the same from one to the
//! next, and is named by text that both ends already know. The coordinator's host sends
//! each view to all daemons and receives the reports of all of them, so what stands in
//! them twice grows with hosts times engines. Engines, and the models and adapters that
//! a daemon has requests for, get numbers with their first mention; after it, a number
//! and a count are sent, and only if the count changed. A complete view is long, too, and a
//! new coordinator sends one to each daemon: what many engines share stands in it once.
//!
//! Each end of a connection keeps what the other end knows. Decoding gives back the
//! [`FleetView`](crate::FleetView) or [`LoadReport`](crate::LoadReport) that was
//! encoded, so everything else works with complete ones. The state ends with its
//! connection, and a message that does not fit to it ends the connection.

mod engine;
mod keys;
mod report;
mod view;

use quick_error::quick_error;

pub use engine::{EngineGroup, EngineNumber, EngineUpdate, GroupedEngine, HeldChange};
pub use keys::{KeyNumber, KeyedCount, RunningKey, WaitingKey};
pub use report::{CompactReport, ReportDecoder, ReportEncoder};
pub use view::{CompactLoads, CompactView, NumberedLoad, ViewDecoder, ViewEncoder};

quick_error! {
    /// A message that does not fit to the earlier ones of its connection.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CompactError {
        /// A number was not introduced, or is no longer in use.
        UnknownNumber(number: u32) {
            display("the number {number} stands for nothing here")
        }
        /// The changes belong to another term, or no complete view came before them.
        MissingBase {
            display("the view's changes have nothing to apply to")
        }
    }
}
