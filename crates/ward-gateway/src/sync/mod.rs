//! Readers of the engines in the platform's store.

mod cut;
mod engines;
mod era;
mod read;

pub(crate) use cut::record_cut_read;
pub(crate) use engines::{has_departed, sync_engines};
pub(crate) use era::watch_store_era;
