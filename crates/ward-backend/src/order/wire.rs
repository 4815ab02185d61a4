//! Wire format of orders: JSON over HTTP.

use http::StatusCode;
use serde::Deserialize;
use ward_http::HttpReply;
use ward_protocol::{OrderRefusal, OrderResult};

pub(super) const ORDER_PATH: &str = "/orders";

#[derive(Deserialize)]
struct TakenAnswer {
    taken: bool,
}

/// Result of an order as its answer states it; `Unknown` when the answer cannot be parsed.
pub(super) fn parse_answer(reply: &HttpReply) -> OrderResult {
    match reply.status {
        StatusCode::OK => parse_taken(reply),
        StatusCode::CONFLICT => parse_refusal(reply),
        _ => OrderResult::Unknown,
    }
}

fn parse_taken(reply: &HttpReply) -> OrderResult {
    match serde_json::from_slice(&reply.body) {
        Ok(TakenAnswer { taken: true }) => OrderResult::Taken,
        Ok(TakenAnswer { taken: false }) | Err(_) => OrderResult::Unknown,
    }
}

fn parse_refusal(reply: &HttpReply) -> OrderResult {
    match serde_json::from_slice::<OrderRefusal>(&reply.body) {
        Ok(refusal) => OrderResult::Refused(refusal),
        Err(_) => OrderResult::Unknown,
    }
}
