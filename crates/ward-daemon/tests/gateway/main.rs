//! Daemons on the users' platform, as processes, before stand-ins.

mod faults;
mod logging;
mod path;
mod soak;
mod support;
