//! Routes of daemons, backend servers, models and requests.

use std::sync::Arc;

use http::StatusCode;
use viz::Request;

use super::RouteResult;
use super::reply::json_reply;
use crate::server::OperatorServer;

/// Lists daemons and backend servers.
pub(super) async fn hosts(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.hosts)().await?)
}

/// Lists models.
pub(super) async fn models(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.models)().await?)
}

/// Lists requests.
pub(super) async fn requests(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.requests)().await?)
}

/// Shows everything that the daemon knows.
pub(super) async fn dump(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.dump)().await?)
}
