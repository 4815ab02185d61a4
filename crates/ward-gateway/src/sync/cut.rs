//! Records reads of the store whose answer held only some of the records asked for.

use slog::info;
use ward_adapter::{StoreChanges, StoreTopic};

use crate::gateway::Gateway;

/// Logs and counts a read if records were left out of its answer.
pub(crate) fn record_cut_read(gateway: &Gateway, topic: StoreTopic, changes: &StoreChanges) {
    let left_out = changes.left_out();
    if left_out == 0 {
        return;
    }
    gateway.metrics.count_cut_read(topic.label());
    info!(
        gateway.logger, "store: read was cut"; "topic" => topic.label(),
        "records" => changes.records.len(), "next" => changes.next.0.offset,
        "end" => changes.end.offset, "left_out" => left_out,
    );
}
