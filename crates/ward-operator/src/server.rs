//! State that all routes share.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::AUTHORIZATION;
use prometheus::Registry;
use slog::{Logger, warn};
use tokio::sync::{Semaphore, SemaphorePermit};
use viz::{Request, RequestExt};
use ward_protocol::ResultCode;

use crate::calls::OperatorCalls;
use crate::error::OperatorError;
use crate::metrics::OperatorMetrics;
use crate::token::TokenDigest;

/// Maximum number of sheets read concurrently; each may take many times its size in memory.
pub const MAX_UPLOADS: usize = 2;

/// State that all routes share: functions of the daemon, token, metrics and log.
#[derive(Clone)]
pub struct OperatorServer {
    /// Functions of the daemon.
    pub calls: OperatorCalls,
    /// Digest of the token; without it, every call is allowed.
    pub token: Option<TokenDigest>,
    /// All metrics of the daemon, shown by `GET /metrics`.
    pub registry: Registry,
    /// Metrics of the API itself.
    pub metrics: OperatorMetrics,
    /// Logger of the API.
    pub logger: Logger,
    /// Permits for reading sheets, [`MAX_UPLOADS`] in all.
    uploads: Arc<Semaphore>,
}

impl OperatorServer {
    /// Creates the state and registers the metrics of the API.
    ///
    /// # Errors
    /// Fails when the registry already has metrics with these names.
    pub fn new(
        calls: OperatorCalls,
        token: Option<TokenDigest>,
        registry: Registry,
        logger: Logger,
    ) -> Result<Self, prometheus::Error> {
        let metrics = OperatorMetrics::register(&registry)?;
        if token.is_none() {
            warn!(
                logger,
                "operators: no token is set, anybody may submit plans"
            );
        }
        Ok(Self {
            calls,
            token,
            registry,
            metrics,
            logger,
            uploads: Arc::new(Semaphore::new(MAX_UPLOADS)),
        })
    }

    /// Waits for a permit to read a sheet.
    ///
    /// # Errors
    /// Fails when the daemon is stopping.
    pub async fn acquire_upload_permit(&self) -> Result<SemaphorePermit<'_>, OperatorError> {
        let permit = self.uploads.acquire().await;
        permit.map_err(|_| OperatorError::refused(ResultCode::Stopping, "the daemon is stopping"))
    }

    /// Checks the token of a call; logs and counts calls without the right token.
    ///
    /// # Errors
    /// Fails when the token is missing or wrong.
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
            self.logger, "operators: token refused";
            "peer" => peer_address(request), "path" => request.path(), "given" => header.is_some(),
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

fn peer_address(request: &Request) -> String {
    request
        .extensions()
        .get::<Option<SocketAddr>>()
        .copied()
        .flatten()
        .map_or_else(|| "unknown".to_owned(), |address| address.to_string())
}
