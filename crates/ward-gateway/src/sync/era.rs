//! Notices when the store has come back from an older copy of itself.

use std::rc::Rc;

use slog::warn;

use crate::gateway::Gateway;

/// Logs each era of the store that becomes known; never returns.
pub(crate) async fn watch_store_era(gateway: Rc<Gateway>) {
    let mut eras = gateway.store.era_changes();
    let mut known = None;
    // The sender lives as long as the store client, so there is no end to wait for.
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        if let Some(former) = std::mem::replace(&mut known, era) {
            warn!(
                gateway.logger, "store: came back from an older copy";
                "era" => era.map(|era| era.0), "former" => former.0,
            );
        }
    }
}
