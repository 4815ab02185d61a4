//! Crowds of callers that keep to no limits, against a daemon with little memory and few
//! descriptors.
//!
//! Each test sends one kind of crowd to each address of the daemon in turn. It checks that
//! the process lives, that its memory and open descriptors stay under what its settings
//! give it, and that an ordinary request is answered while the crowd still holds its
//! connections. Times and shares of served requests are not checked.

#![allow(clippy::unwrap_used)]

mod bodies;
mod connections;
mod crowd;
mod door;
mod heads;
mod support;
