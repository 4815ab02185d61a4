//! Daemons on the users' platform as processes, with stand-ins for the store and engines.

#![allow(clippy::unwrap_used)]

mod caller_stream;
mod crashes;
mod crashing_parts;
mod cut_answers;
mod cut_reads;
mod early_answers;
mod endless;
mod faults;
mod late_manifests;
mod leaving;
mod limits;
mod logging;
mod memory;
mod path;
mod peer_bytes;
mod quotas;
mod repeated_orders;
mod repeated_refusals;
mod restored;
mod resumed;
mod second_copies;
mod silent_streams;
mod soak;
mod stopping;
mod stream_keepers;
mod stream_loss;
mod support;
mod tenants;
mod two_coordinators;
mod unframed;
mod unread_engines;
mod version_history;
mod versions;
mod weights;
