//! HTTP routes of a link's control address.

use std::sync::Arc;

use viz::{Request, Router, StatusCode};

use super::LinkState;
use super::faults::LinkFaults;
use crate::server::{Answer, handler, json_answer, lock, read_json, status_answer};

/// Builds the router of a link's control address.
pub(super) fn router(state: &Arc<LinkState>) -> Router {
    Router::new()
        .get("/healthz", handler(state, healthz))
        .get("/history", handler(state, history))
        .get("/faults", handler(state, faults))
        .post("/faults", handler(state, set_faults))
}

async fn healthz(_: Arc<LinkState>, _: Request) -> Answer {
    Ok(status_answer(StatusCode::OK))
}

async fn history(state: Arc<LinkState>, _: Request) -> Answer {
    let history = *lock(&state.history);
    Ok(json_answer(StatusCode::OK, &history))
}

async fn faults(state: Arc<LinkState>, _: Request) -> Answer {
    let faults = *state.faults.borrow();
    Ok(json_answer(StatusCode::OK, &faults))
}

async fn set_faults(state: Arc<LinkState>, request: Request) -> Answer {
    let faults: LinkFaults = read_json(request).await?;
    state.faults.send_replace(faults);
    Ok(status_answer(StatusCode::NO_CONTENT))
}
