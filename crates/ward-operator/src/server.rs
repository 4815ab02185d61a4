//! What all routes share.

use std::net::SocketAddr;

use http::header::AUTHORIZATION;
use prometheus::Registry;
use slog::{Logger, warn};
use viz::{Request, RequestExt};
use ward_protocol::ResultCode;

use crate::calls::OperatorCalls;
use crate::error::OperatorError;
use crate::metrics::OperatorMetrics;
use crate::token::TokenDigest;

/// What all routes share.
#[derive(Clone)]
pub struct OperatorServer {
    /// The daemon's calls.
    pub calls: OperatorCalls,
    /// The token; nobody needs one when absent.
    pub token: Option<TokenDigest>,
    /// Everything that the daemon counts.
    pub registry: Registry,
    /// The API's own counters.
    pub metrics: OperatorMetrics,
    /// Where log lines go.
    pub log: Logger,
}

impl OperatorServer {
    /// A server that registers its counters.
    ///
    /// # Errors
    /// When the registry has counters of these names already.
    pub fn new(
        calls: OperatorCalls,
        token: Option<TokenDigest>,
        registry: Registry,
        log: Logger,
    ) -> Result<Self, prometheus::Error> {
        let metrics = OperatorMetrics::register(&registry)?;
        Ok(Self {
            calls,
            token,
            registry,
            metrics,
            log,
        })
    }

    /// Refuses a call without the token.
    ///
    /// # Errors
    /// When the token is missing or wrong.
    pub fn authorize(&self, request: &Request) -> Result<(), OperatorError> {
        let Some(token) = &self.token else {
            return Ok(());
        };
        let header = request.headers().get(AUTHORIZATION);
        if token.allows(header.and_then(|value| value.to_str().ok())) {
            return Ok(());
        }
        self.metrics.unauthorized.inc();
        warn!(
            self.log, "operators: token refused";
            "peer" => remote(request), "path" => request.path(), "given" => header.is_some(),
        );
        Err(OperatorError::refused(
            ResultCode::Unauthorized,
            match header {
                Some(_) => "the token is wrong",
                None => "the token is missing",
            },
        ))
    }
}

fn remote(request: &Request) -> String {
    request
        .extensions()
        .get::<Option<SocketAddr>>()
        .copied()
        .flatten()
        .map_or_else(|| "unknown".to_owned(), |address| address.to_string())
}
