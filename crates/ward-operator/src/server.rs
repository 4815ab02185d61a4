//! What all routes share.

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

/// Sheets that are read at a time; each may take many times its size in memory.
pub const MAX_UPLOADS: usize = 2;

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
    /// Places for sheets that are read at a time.
    uploads: Arc<Semaphore>,
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
        if token.is_none() {
            warn!(log, "operators: no token is set, anybody may submit plans");
        }
        Ok(Self {
            calls,
            token,
            registry,
            metrics,
            log,
            uploads: Arc::new(Semaphore::new(MAX_UPLOADS)),
        })
    }

    /// Waits for a place to read a sheet.
    ///
    /// # Errors
    /// When the daemon is stopping.
    pub async fn acquire_upload_permit(&self) -> Result<SemaphorePermit<'_>, OperatorError> {
        let permit = self.uploads.acquire().await;
        permit.map_err(|_| OperatorError::refused(ResultCode::Stopping, "no sheets are read now"))
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
