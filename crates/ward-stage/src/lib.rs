//! Stand-ins for the users' platform, used in tests of whole daemons: the store,
//! engines, a loopback proxy that injects connection faults, callers, and the
//! daemons themselves as processes.
//!
//! They speak the platform's formats through `ward-adapter` and record what the
//! tests check: which engine ran each request and how often, and which orders each
//! engine received under which fencing number. Callers return the answers they got.

mod caller;
mod daemon;
mod deployment;
mod engine;
mod ledger;
mod network;
mod proxy;
mod reply;
mod serve;
mod stage;
mod store;
mod weights;

pub use caller::{CallerAnswer, CallerError, CallerRequest, StageCaller};
pub use daemon::{DaemonProcess, StageError};
pub use engine::{
    CRASHING_PART, CRASHING_PATH, CrashKind, EngineFault, PLAIN_SOFTWARE, ResumeFault, SLOW_PATH,
    SLOWEST_PATH, StageEngine,
};
pub use ledger::{OrderRecord, RefusalRecord, RunLedger, RunRecord};
pub use proxy::{CutEnd, CutPlace, LinkControl, LinkFault, StageProxy};
pub use stage::{Stage, StagePlan, stage_folder};
pub use store::{StageStore, StoreCopy, StoreFault};
pub use ward_adapter::served::{ServedTenant, key_headers};
pub use weights::WeightStore;
