//! Measurements of the serving system's decisions and of its processes.

pub mod command;
pub mod emulator;
pub mod load;
pub mod owners;
pub mod replay;
pub mod report;
pub mod slopes;
