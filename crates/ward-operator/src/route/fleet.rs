//! Routes that list daemons, backend servers, models and requests.

use std::sync::Arc;

use http::StatusCode;
use viz::Request;

use super::RouteResult;
use super::reply::json_reply;
use crate::server::OperatorServer;

/// `GET /hosts`: daemons and backend servers.
pub(super) async fn hosts(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.hosts)().await?)
}

/// `GET /models`: models and adapters of the plan in force.
pub(super) async fn models(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.models)().await?)
}

/// `GET /requests`: unfinished requests of this daemon.
pub(super) async fn requests(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.requests)().await?)
}

/// `GET /dump`: the whole state of this daemon.
pub(super) async fn dump(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.dump)().await?)
}
