//! Handlers of the routes.

mod entries;
mod model;
mod models;
mod once;
mod resume;
mod service;

pub(crate) use entries::{list_entries, report_health};
pub(crate) use model::{ModelPath, serve_model};
pub(crate) use models::list_models;
pub(crate) use resume::resume_stream;
pub(crate) use service::serve_service;
