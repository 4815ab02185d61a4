//! The control logic of one daemon as a state machine: events in, actions out.
//!
//! [`ControlEvent`] lists the inputs of a daemon, [`ControlAction`] the outputs,
//! which the caller carries out. Nothing in this crate reads a clock, uses a
//! random source other than the configured seed, or performs I/O, so a whole
//! session can be replayed from its recorded events.
//!
//! Orders and records are sent only while the daemon's read lease is valid; only
//! `Leave` may be proposed without it. The lease runs from the *start* of the last
//! read that reached the end of the log. Renewing the lease by appends was rejected:
//! it costs the log one append per daemon and period and proves no more than a read.
//!
//! The new owner of an engine that ignores fencing numbers waits until orders of
//! earlier owners can no longer take effect. It waits for the lease plus the
//! maximum order life, and an eighth longer, because the clocks of two hosts
//! don't run at the same rate.
//!
//! A release is proposed only from a status that was requested after every load
//! order for the replica had expired. Otherwise a late load could bring back a
//! replica whose memory is no longer counted.

pub mod action;
pub mod config;
mod core;
mod crashes;
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
