//! Compares ownership rules: jump hash over the sorted members, as proposed by the
//! users' document on memory space partitioning, and rendezvous hashing.

mod measure;
mod rule;

pub use measure::{OwnerRow, OwnerTask, measure_owners};
pub use rule::{OwnerKey, OwnerMember, OwnerRule, jump_hash, numbered_key};
