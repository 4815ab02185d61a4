//! What each address does.

mod entries;
mod model;
mod models;
mod once;
mod service;

pub(crate) use entries::{list_entries, report_health};
pub(crate) use model::{ModelPath, serve_model};
pub(crate) use models::list_models;
pub(crate) use service::serve_service;
