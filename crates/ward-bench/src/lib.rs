//! Benchmarks of the serving system: replays and emulations of its decisions, and
//! measurements of its processes and data.

pub mod command;
pub mod emulator;
pub mod load;
pub mod owners;
pub mod replay;
pub mod report;
pub mod slopes;
