//! The operators' manifest: how a daemon reads it, puts it in force, and knows that there
//! is a newer one.

mod reader;
mod state;

pub(crate) use reader::sync_manifest;
pub(crate) use state::{ManifestOrigin, ManifestState, adopt_manifest};
