//! The routes of the API.

mod fleet;
mod health;
mod plan;
mod query;
mod reply;

use std::future::Future;
use std::sync::Arc;

use http::Method;
use viz::{Request, RequestExt, Response, Route, Router};
use ward_protocol::ResultCode;

use crate::error::OperatorError;
use crate::server::OperatorServer;
use reply::error_reply;

/// Whether a route asks for the token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteAccess {
    Open,
    Token,
}

type RouteResult = Result<Response, OperatorError>;

/// The router of the API.
#[must_use]
pub fn operator_router(server: Arc<OperatorServer>) -> Router {
    let routes = RouteList {
        router: Router::new(),
        paths: Vec::new(),
        server,
    };
    routes
        .add(Method::POST, "/plan/check", RouteAccess::Token, plan::check)
        .add(
            Method::POST,
            "/plan/submit",
            RouteAccess::Token,
            plan::submit,
        )
        .add(
            Method::POST,
            "/plan/retreat",
            RouteAccess::Token,
            plan::retreat,
        )
        .add(Method::GET, "/plan", RouteAccess::Token, plan::show)
        .add(
            Method::GET,
            "/plan/history",
            RouteAccess::Token,
            plan::history,
        )
        .add(
            Method::GET,
            "/plan/status",
            RouteAccess::Token,
            plan::status,
        )
        .add(Method::GET, "/plan/diff", RouteAccess::Token, plan::diff)
        .add(Method::GET, "/hosts", RouteAccess::Token, fleet::hosts)
        .add(Method::GET, "/models", RouteAccess::Token, fleet::models)
        .add(
            Method::GET,
            "/requests",
            RouteAccess::Token,
            fleet::requests,
        )
        .add(Method::GET, "/dump", RouteAccess::Token, fleet::dump)
        .add(Method::GET, "/healthz", RouteAccess::Open, health::healthz)
        .add(Method::GET, "/readyz", RouteAccess::Open, health::readyz)
        .add(Method::GET, "/metrics", RouteAccess::Open, health::metrics)
        .finish()
}

/// Routes added so far.
struct RouteList {
    router: Router,
    paths: Vec<(Method, &'static str)>,
    server: Arc<OperatorServer>,
}

impl RouteList {
    fn add<H, F>(
        mut self,
        method: Method,
        path: &'static str,
        access: RouteAccess,
        handler: H,
    ) -> Self
    where
        H: Fn(Arc<OperatorServer>, Request) -> F + Copy + Send + Sync + 'static,
        F: Future<Output = RouteResult> + Send + 'static,
    {
        let server = Arc::clone(&self.server);
        let handle = move |request: Request| {
            let server = Arc::clone(&server);
            async move {
                let result = match admit(&server, access, &request) {
                    Ok(()) => handler(Arc::clone(&server), request).await,
                    Err(error) => Err(error),
                };
                Ok::<Response, viz::Error>(finish(&server, path, result))
            }
        };
        let route = Route::new().on(method.clone(), handle);
        self.router = self.router.route(path, route);
        self.paths.push((method, path));
        self
    }

    /// Adds what answers everything else.
    fn finish(self) -> Router {
        let server = self.server;
        let paths = Arc::new(self.paths);
        let fallback = move |request: Request| {
            let server = Arc::clone(&server);
            let paths = Arc::clone(&paths);
            async move {
                let error = unknown(&paths, &request);
                Ok::<Response, viz::Error>(finish(&server, "other", Err(error)))
            }
        };
        self.router.any("/*", fallback)
    }
}

fn admit(
    server: &OperatorServer,
    access: RouteAccess,
    request: &Request,
) -> Result<(), OperatorError> {
    match access {
        RouteAccess::Open => Ok(()),
        RouteAccess::Token => server.authorize(request),
    }
}

fn unknown(paths: &[(Method, &'static str)], request: &Request) -> OperatorError {
    let methods: Vec<&str> = paths
        .iter()
        .filter(|(_, path)| *path == request.path())
        .map(|(method, _)| method.as_str())
        .collect();
    if methods.is_empty() {
        let detail = format!("{} is not an address of the operators' API", request.path());
        return OperatorError::refused(ResultCode::UnknownPath, detail);
    }
    let detail = format!("{} takes {}", request.path(), methods.join(", "));
    OperatorError::refused(ResultCode::MethodNotAllowed, detail)
}

fn finish(server: &OperatorServer, path: &str, result: RouteResult) -> Response {
    let response = result.unwrap_or_else(|error| error_reply(&error));
    server
        .metrics
        .calls
        .with_label_values(&[path, response.status().as_str()])
        .inc();
    response
}
