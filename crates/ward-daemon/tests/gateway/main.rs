//! Daemons on the users' platform as processes, with stand-ins for the store and engines.

#![allow(clippy::unwrap_used)]

mod crashes;
mod crashing_parts;
mod cut_answers;
mod endless;
mod faults;
mod leaving;
mod logging;
mod path;
mod repeated_refusals;
mod resumed;
mod soak;
mod support;
mod unframed;
mod weights;
