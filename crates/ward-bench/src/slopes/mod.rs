//! What things cost as their number grows: time, memory and bytes sent.

mod fit;
mod measure;
mod sample;
mod wire;

pub use fit::{SlopeFit, SlopePoint, SlopeSeries, fit_line};
pub use measure::{SlopeError, measure_state};
pub use wire::{WireSize, measure_status, measure_wire};
