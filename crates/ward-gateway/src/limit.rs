//! Engines in need that name in their answers how many requests they take.

use http::{HeaderMap, StatusCode};
use slog::{info, warn};
use ward_adapter::header::{RateLimit, parse_rate_limit};
use ward_fleet::{EngineIncarnation, EngineInfo, LimitEvidence};
use ward_protocol::MonoTime;

use crate::clock;
use crate::gateway::Gateway;

/// Records what an answer, known to be the request's own, says about its engine's limit.
pub(crate) fn record_limit(
    gateway: &Gateway,
    engine: &EngineInfo,
    status: StatusCode,
    headers: &HeaderMap,
    sent_at: MonoTime,
) {
    // Another engine may have the address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let rate = match parse_rate_limit(headers) {
        RateLimit::Absent => None,
        RateLimit::Rate(rate) => Some(rate),
        RateLimit::Garbled => {
            warn!(gateway.logger, "engines: limit is not a number"; "engine" => %engine.id);
            return;
        }
    };
    let evidence = LimitEvidence {
        incarnation: EngineIncarnation::from(engine),
        rate,
        sent_at,
        answered_at: clock::now(),
    };
    if !gateway.table.borrow_mut().limits.record(&evidence) {
        return;
    }
    info!(
        gateway.logger, "engines: limit changed"; "engine" => %engine.id,
        "birth" => engine.birth.map(|birth| birth.0),
        "rate" => rate.map(|rate| rate.to_string()), "status" => status.as_u16(),
    );
}
