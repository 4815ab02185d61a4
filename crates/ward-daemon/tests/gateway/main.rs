//! Daemons on the users' platform, as processes, before stand-ins.

#![allow(clippy::unwrap_used)]

mod faults;
mod logging;
mod path;
mod soak;
mod support;
mod weights;
