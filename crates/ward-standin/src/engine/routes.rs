//! HTTP routes of an engine.

use std::sync::Arc;

use viz::Router;

use super::completion::{chat, text};
use super::order::order;
use super::prefix::cache_events;
use super::resume::{cancel, export, import, resume};
use super::state::EngineState;
use super::status::status;
use crate::server::{control_routes, handler};

/// Builds the router of an engine.
pub(super) fn router(state: &Arc<EngineState>) -> Router {
    let router = Router::new()
        .post("/orders", handler(state, order))
        .get("/status", handler(state, status))
        .get("/cache-events", handler(state, cache_events))
        .post("/v1/chat/completions", handler(state, chat))
        .post("/v1/completions", handler(state, text))
        .delete("/v1/requests/:id", handler(state, cancel))
        .post("/v1/requests/:id/resume", handler(state, resume))
        .get("/v1/requests/:id/kv", handler(state, export))
        .put("/v1/requests/:id/kv", handler(state, import));
    control_routes(router, state, |state| &state.faults, EngineState::history)
}
