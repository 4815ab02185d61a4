//! A small emulator of engines and the weight store in virtual time.
//!
//! It drives the placement that daemons run (`ward_fleet::placement`) through a
//! day on which engines are replaced by empty ones, demand moves, or rare models
//! are asked for at once, and compares what callers get with a bound that knows
//! the day beforehand. There is no network and no host: requests see engines as
//! the coordinator knows them, a moment late.

mod bound;
mod day;
mod fleet;
mod report;
mod run;
mod traffic;

pub use bound::perfect_outcome;
pub use day::{DayError, DayPlan, EmulatedDay, SiteConfig};
pub use report::{day_svg, day_table};
pub use run::{DayOutcome, KindOutcome, run_day};
pub use traffic::{CallerRequest, RequestKind, draw_requests};
