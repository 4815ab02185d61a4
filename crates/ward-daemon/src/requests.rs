//! Lists the requests that this daemon is processing, for the operator API.

use std::sync::Arc;

use ward_operator::{RequestItem, RequestPhase, RequestsAnswer};
use ward_traffic::ServerHandle;
use ward_traffic::waiting::{EntryPhase, RequestEntry};

use crate::operator::RequestLister;

/// Maximum number of requests in one answer; the total counts all of them.
const MAX_LISTED: usize = 1_000;

/// Returns a function that lists the current requests of a server.
pub(crate) fn request_lister(server: &Arc<ServerHandle>) -> RequestLister {
    let server = Arc::clone(server);
    Arc::new(move || {
        let entries = server.requests();
        RequestsAnswer {
            total: u32::try_from(entries.len()).unwrap_or(u32::MAX),
            requests: entries
                .into_iter()
                .take(MAX_LISTED)
                .map(request_item)
                .collect(),
        }
    })
}

fn request_item(entry: RequestEntry) -> RequestItem {
    let phase = match entry.phase {
        EntryPhase::Waiting => RequestPhase::Waiting,
        EntryPhase::Running => RequestPhase::Running,
        EntryPhase::Answering => RequestPhase::Answering,
    };
    RequestItem {
        request: entry.request,
        target: entry.target,
        phase,
        priority: entry.priority,
        age: entry.age,
        time_left: entry.time_left,
        backend: entry.backend,
        once: entry.once,
    }
}
