//! Software versions of engines.

use ward_fleet::EngineBirth;
use ward_protocol::{BackendId, SoftwareVersion};

use super::{CrashKind, EngineFault, StageEngine};
use crate::store::StageStore;

/// Software version of engines whose events name none.
pub const PLAIN_SOFTWARE: &str = "v1";

impl StageEngine {
    /// Sets the version of the engine's software, and announces it with a heartbeat at once.
    pub fn set_software(&self, software: SoftwareVersion, store: &StageStore) {
        self.shared.lock().entry.software = software;
        self.shared.write_heartbeat(store);
    }

    /// Ends the engine's process as a crash does; it restarts with another software
    /// version under the same id and address, and without loaded models.
    pub fn restart_with_software(&self, software: SoftwareVersion) {
        let mut state = self.shared.lock();
        state.next_software = Some(software);
        state.fault = EngineFault::Crash(CrashKind::BeforeHead);
        drop(state);
        self.shared.process_ended.notify_one();
    }
}

/// Id of an engine's next incarnation.
pub(super) fn next_id(former: &BackendId, birth: EngineBirth) -> BackendId {
    let base = former.as_str().split('.').next().unwrap_or_default();
    let id = format!("{base}.{}", birth.0).parse();
    id.unwrap_or_else(|_| former.clone())
}

/// The text of an event of the version [`PLAIN_SOFTWARE`].
pub(super) fn plain_event_text(number: u64) -> String {
    format!("id: {number}\ndata: part {number}\n\n")
}

/// The text of an event. What two versions write differs, so that a stream that holds
/// events of both can be told from the complete stream of either.
pub(super) fn event_text(number: u64, software: &SoftwareVersion) -> String {
    if software.as_str() == PLAIN_SOFTWARE {
        plain_event_text(number)
    } else {
        format!("id: {number}\ndata: part {number} {software}\n\n")
    }
}
