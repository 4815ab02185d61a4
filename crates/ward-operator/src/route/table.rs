//! The table of routes.

use std::future::ready;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use viz::Request;

use super::{RouteResult, fleet, health, plan};
use crate::server::OperatorServer;

/// Whether a route asks for the token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAccess {
    /// Anybody may call it.
    Open,
    /// Only who has the token.
    Token,
}

/// Method of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteMethod {
    /// Reads.
    Get,
    /// Checks or changes.
    Post,
}

impl RouteMethod {
    /// The method's name.
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

/// A route.
#[derive(Debug, Clone, Copy)]
pub struct OperatorRoute {
    /// Its method.
    pub method: RouteMethod,
    /// Its path.
    pub path: &'static str,
    /// Whether it asks for the token.
    pub access: RouteAccess,
    /// What answers it.
    pub handle: fn(Arc<OperatorServer>, Request) -> BoxFuture<'static, RouteResult>,
}

/// All routes.
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
