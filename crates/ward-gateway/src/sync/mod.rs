//! Readers of engines and manifests in the platform's store.

mod engines;
mod era;
mod manifest;

pub(crate) use engines::{has_departed, sync_engines};
pub(crate) use era::watch_store_era;
pub(crate) use manifest::sync_manifest;
