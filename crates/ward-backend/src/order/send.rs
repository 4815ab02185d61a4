//! Sends one order, without retries.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use ward_http::{CallBounds, UnpooledClient, json_request};
use ward_protocol::{BackendOrder, OrderResult, TimeSpan};

use super::wire;

const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Sends an order to the engine at an address, without retries.
///
/// `Unknown` also covers an order that was certainly not sent: orders are
/// idempotent by id, and the sender retries one after reading the engine's status.
pub async fn send_order(
    client: &UnpooledClient,
    address: SocketAddr,
    order: &BackendOrder,
    timeout: TimeSpan,
) -> OrderResult {
    let Ok(body) = serde_json::to_vec(order) else {
        return OrderResult::Unknown;
    };
    let request = json_request(Method::POST, address, wire::ORDER_PATH, Bytes::from(body));
    let Ok(request) = request else {
        return OrderResult::Unknown;
    };
    let bounds = CallBounds {
        timeout,
        answer_bytes: MAX_ANSWER_BYTES,
    };
    match client.call(request, bounds).await {
        Ok(reply) => wire::parse_answer(&reply),
        Err(_) => OrderResult::Unknown,
    }
}
