//! Parsing of query strings and bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use viz::{Request, RequestExt};
use ward_plan::MAX_BYTES;
use ward_protocol::ResultCode;

use crate::error::OperatorError;

const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Parses the query string of a request.
pub(super) fn read_query<T: DeserializeOwned>(request: &Request) -> Result<T, OperatorError> {
    request.query().map_err(|error| {
        let detail = format!("the query cannot be read: {error}");
        OperatorError::refused(ResultCode::MalformedRequest, detail)
    })
}

/// Reads the body of a request, with a limit on its size and a timeout.
pub(super) async fn read_body(request: Request) -> Result<Bytes, OperatorError> {
    let body = Limited::new(request.into_body(), MAX_BYTES);
    let Ok(collected) = timeout(BODY_TIMEOUT, BodyExt::collect(body)).await else {
        let detail = format!("the time allowed is {} s", BODY_TIMEOUT.as_secs());
        return Err(OperatorError::refused(ResultCode::BodyTimeout, detail));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("a sheet has at most {MAX_BYTES} bytes");
            Err(OperatorError::refused(ResultCode::BodyTooLarge, detail))
        }
        Err(error) => {
            let detail = format!("the body cannot be read: {error}");
            Err(OperatorError::refused(ResultCode::MalformedRequest, detail))
        }
    }
}
