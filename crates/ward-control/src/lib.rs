//! Decisions of one daemon: events in, actions out.
//!
//! [`ControlEvent`] is everything that can happen to a daemon, [`ControlAction`]
//! everything that it may then ask its surroundings to do. Nothing in this
//! crate reads a clock, draws a random number or performs I/O, so a whole
//! session can be replayed from a file.

pub mod action;
pub mod event;

pub use action::ControlAction;
pub use event::ControlEvent;
