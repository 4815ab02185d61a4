//! The table of all routes with method, path and access.

use std::future::ready;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use viz::Request;

use super::{RouteResult, fleet, health, plan};
use crate::server::OperatorServer;

/// Whether a route requires the operators' token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAccess {
    /// No token is required.
    Open,
    /// The token is required if the daemon has one.
    Token,
}

/// HTTP method of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteMethod {
    /// For routes that only read.
    Get,
    /// For routes that check a sheet or change the plan.
    Post,
}

impl RouteMethod {
    /// The method as HTTP writes it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
        }
    }

    pub(super) const fn http(self) -> Method {
        match self {
            Self::Get => Method::GET,
            Self::Post => Method::POST,
        }
    }
}

/// A route of the API.
#[derive(Debug, Clone, Copy)]
pub struct OperatorRoute {
    /// HTTP method.
    pub method: RouteMethod,
    /// Path, also the metric label of its calls.
    pub path: &'static str,
    /// Whether the operators' token is required.
    pub access: RouteAccess,
    /// Function that answers the requests.
    pub handle: fn(Arc<OperatorServer>, Request) -> BoxFuture<'static, RouteResult>,
}

/// All routes of the API.
pub const OPERATOR_ROUTES: &[OperatorRoute] = &[
    OperatorRoute {
        method: RouteMethod::Post,
        path: "/plan/check",
        access: RouteAccess::Token,
        handle: |server, request| plan::check(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Post,
        path: "/plan/submit",
        access: RouteAccess::Token,
        handle: |server, request| plan::submit(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Post,
        path: "/plan/retreat",
        access: RouteAccess::Token,
        handle: |server, request| plan::retreat(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/plan",
        access: RouteAccess::Token,
        handle: |server, request| plan::show(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/plan/history",
        access: RouteAccess::Token,
        handle: |server, request| plan::history(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/plan/status",
        access: RouteAccess::Token,
        handle: |server, request| plan::status(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/plan/diff",
        access: RouteAccess::Token,
        handle: |server, request| plan::diff(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/hosts",
        access: RouteAccess::Token,
        handle: |server, request| fleet::hosts(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/models",
        access: RouteAccess::Token,
        handle: |server, request| fleet::models(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/requests",
        access: RouteAccess::Token,
        handle: |server, request| fleet::requests(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/dump",
        access: RouteAccess::Token,
        handle: |server, request| fleet::dump(server, request).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/healthz",
        access: RouteAccess::Open,
        handle: |server, _| ready(health::healthz(&server)).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/readyz",
        access: RouteAccess::Open,
        handle: |server, _| ready(health::readyz(&server)).boxed(),
    },
    OperatorRoute {
        method: RouteMethod::Get,
        path: "/metrics",
        access: RouteAccess::Open,
        handle: |server, _| ready(health::metrics(&server)).boxed(),
    },
];
