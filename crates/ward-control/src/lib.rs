//! Decisions of one daemon: events in, actions out.
//!
//! [`ControlEvent`] is everything that can happen to a daemon, [`ControlAction`]
//! everything that it may then ask its surroundings to do. Nothing in this
//! crate reads a clock, draws a random number or performs I/O, so a whole
//! session can be replayed from a file.
//!
//! An order or a record goes out only while the read lease holds, and the lease
//! runs from the *start* of the last read that reached the log's end. Renewing
//! by appends was weighed and rejected: it costs the log one append per daemon
//! and period, and proves no more.
//!
//! A new owner of an engine that ignores fencing numbers waits until the orders
//! of earlier owners are over. The wait is an eighth longer than the lease and
//! an order's life together, because two hosts' clocks don't run equally fast.
//!
//! A release is proposed only from a status that was asked for after every load
//! order of that replica had ended its life: a load that lands late would
//! otherwise bring back a replica that nobody counts.

pub mod action;
pub mod config;
mod core;
pub mod defect;
pub mod dump;
mod duty;
mod engines;
pub mod event;
mod hosts;
mod ids;
mod membership;
mod models;
mod proposer;
mod reader;
mod snapshots;
mod start;
mod stop;
mod view;

pub use action::ControlAction;
pub use config::ControlConfig;
pub use core::ControlCore;
pub use defect::{DefectKind, DefectSet};
pub use dump::ControlDump;
pub use event::ControlEvent;
