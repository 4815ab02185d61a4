//! Readers of engines and manifests in the platform's store.

mod engines;
mod manifest;

pub(crate) use engines::sync_engines;
pub(crate) use manifest::sync_manifest;
