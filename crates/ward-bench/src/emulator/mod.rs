//! A small emulator of engines and the weight store in virtual time.
//!
//! It runs the placement code of the daemons (`ward_fleet::placement`) through a
//! day on which engines are replaced by empty ones, demand shifts, or rare models
//! are requested more often, and compares the answers that callers get with an
//! upper bound that knows the day in advance. Network and hosts are not emulated:
//! requests see the coordinator's view of the engines, which lags by 250 ms.

mod bound;
mod day;
mod fleet;
pub mod overload;
mod report;
mod run;
mod traffic;

pub use bound::perfect_outcome;
pub use day::{DayError, DayPlan, EmulatedDay, SiteConfig};
pub use report::{day_svg, day_table};
pub use run::{DayOutcome, KindOutcome, run_day};
pub use traffic::{CallerRequest, RequestKind, draw_requests};
