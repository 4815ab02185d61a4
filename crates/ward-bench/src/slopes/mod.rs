//! Measures how time, memory and bytes sent grow with the number of rows, engines, members,
//! reservations and replicas.

mod fit;
mod measure;
mod sample;
mod step;
mod wire;

pub use fit::{SlopeFit, SlopePoint, SlopeSeries, fit_line};
pub use measure::{SlopeError, measure_state};
pub use step::measure_steps;
pub use wire::{WireSize, measure_status, measure_wire};
