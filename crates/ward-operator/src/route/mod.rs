//! Router of the API: checks the token, calls the route and counts the response.

mod fleet;
mod health;
mod plan;
mod query;
mod reply;
mod table;

use std::sync::Arc;

use viz::{Request, RequestExt, Response, Route, Router};
use ward_protocol::ResultCode;

use crate::error::OperatorError;
use crate::server::OperatorServer;
use reply::error_reply;

pub use table::{OPERATOR_ROUTES, OperatorRoute, RouteAccess, RouteMethod};

/// The response of a route, or the error that becomes a problem response.
pub type RouteResult = Result<Response, OperatorError>;

/// Metric label of calls to paths that no route has, so that the number of labels is bounded.
const OTHER_PATH: &str = "other";

/// Creates the router of the API.
#[must_use]
pub fn operator_router(server: Arc<OperatorServer>) -> Router {
    let router = OPERATOR_ROUTES.iter().fold(Router::new(), |router, route| {
        add_route(router, route, Arc::clone(&server))
    });
    router.any("/*", move |request: Request| {
        let response = finish_call(&server, OTHER_PATH, Err(unknown_route_error(&request)));
        async move { Ok::<Response, viz::Error>(response) }
    })
}

fn add_route(router: Router, route: &'static OperatorRoute, server: Arc<OperatorServer>) -> Router {
    let handle = move |request: Request| {
        let server = Arc::clone(&server);
        async move {
            let result = match check_access(&server, route.access, &request) {
                Ok(()) => (route.handle)(Arc::clone(&server), request).await,
                Err(error) => Err(error),
            };
            Ok::<Response, viz::Error>(finish_call(&server, route.path, result))
        }
    };
    router.route(route.path, Route::new().on(route.method.http(), handle))
}

fn check_access(
    server: &OperatorServer,
    access: RouteAccess,
    request: &Request,
) -> Result<(), OperatorError> {
    match access {
        RouteAccess::Open => Ok(()),
        RouteAccess::Token => server.authorize(request),
    }
}

fn unknown_route_error(request: &Request) -> OperatorError {
    let path = request.path();
    let methods: Vec<&str> = OPERATOR_ROUTES
        .iter()
        .filter(|route| route.path == path)
        .map(|route| route.method.name())
        .collect();
    if methods.is_empty() {
        let detail = format!("{path} is not a path of the operators' API");
        return OperatorError::refused(ResultCode::UnknownPath, detail);
    }
    let detail = format!("{path} takes {}", methods.join(", "));
    OperatorError::refused(ResultCode::MethodNotAllowed, detail)
}

/// Converts the result to a response and counts it.
fn finish_call(server: &OperatorServer, path: &str, result: RouteResult) -> Response {
    let response = result.unwrap_or_else(|error| error_reply(&error));
    server
        .metrics
        .calls
        .with_label_values(&[path, response.status().as_str()])
        .inc();
    response
}
