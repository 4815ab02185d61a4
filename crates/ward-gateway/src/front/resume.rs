//! Requests that take up a stream: they go on only at the software version that began
//! it.

use slog::{info, warn};
use ward_protocol::{MonoTime, SoftwareVersion, TimeSpan};

use super::refusal::{Refusal, not_run};
use super::route::RoutedRequest;
use crate::gateway::Gateway;
use crate::streams::{StreamTry, find_origin};

/// Time after the caller's whole time for which a stream is still known.
const KEEP_GRACE: TimeSpan = TimeSpan::from_secs(5);

/// The software version that must serve a request: for one that takes up a stream, the
/// version that began it; `None` if any will do. Also routes the request to the service
/// that began the stream, if the route has it.
///
/// # Errors
/// A refusal if the stream's version is not known.
pub(super) async fn required_software(
    gateway: &Gateway,
    routed: &mut RoutedRequest,
) -> Result<Option<SoftwareVersion>, Refusal> {
    let fields = &routed.fields;
    if !routed.route.kind.is_stream() || !fields.is_resumption() {
        return Ok(None);
    }
    let counts = &gateway.metrics.resumptions;
    let found = find_origin(gateway, fields.resumed_stream(), &routed.service).await;
    let Some((origin, source)) = found else {
        counts.with_label_values(&["unknown"]).inc();
        warn!(
            gateway.logger, "stream: version not known"; "request" => fields.id_text(),
            "first_try" => fields.first_try_text(), "service" => %routed.service,
        );
        return Err(not_run("the software version of its stream is not known"));
    };
    counts.with_label_values(&[source.label()]).inc();
    info!(
        gateway.logger, "stream: taken up"; "request" => fields.id_text(),
        "first_try" => fields.first_try_text(), "service" => %origin.service,
        "software" => %origin.software, "source" => source.label(),
    );
    let mut targets = routed.route.targets.iter();
    if targets.any(|target| target.service == origin.service) {
        routed.service = origin.service;
    }
    Ok(Some(origin.software))
}

/// The stream that a request begins or takes up.
pub(super) fn stream_try(routed: &RoutedRequest, arrival: MonoTime) -> StreamTry {
    let fields = &routed.fields;
    let timeout = routed.route.timeout;
    let whole_time = fields.time_left.map_or(timeout, |time| time.max(timeout));
    StreamTry {
        own: fields.own_stream(),
        first_try: fields.resumed_stream(),
        keep_until: arrival + whole_time + KEEP_GRACE,
        on_time_until: arrival + routed.route.target_latency,
    }
}
