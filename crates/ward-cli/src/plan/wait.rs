//! Waits until a plan is in force and shows the progress.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::time::{Instant, sleep};
use ward_operator::{DaemonItem, PlanStatusAnswer, RowStatus};
use ward_protocol::PlanRevision;

use super::submit::open_rows_request;
use crate::client::DaemonClient;
use crate::error::CliError;
use crate::output::print_error;

/// Prefix of the keys of rows in [`ProgressLines`]; the other keys are those of daemons.
const ROW_KEY: &str = "row ";
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a revision is in force on all daemons and its rows are ready.
/// Meanwhile prints each change of a daemon or row.
///
/// # Errors
/// Fails when that takes longer than the limit, or when a daemon refuses the request.
pub async fn wait_in_force(
    client: &DaemonClient,
    revision: PlanRevision,
    limit: Duration,
) -> Result<(), CliError> {
    let deadline = Instant::now() + limit;
    let request = open_rows_request()?;
    let mut progress = ProgressLines::default();
    let mut missing = vec!["no daemon has reported its progress".to_owned()];
    loop {
        match client.read::<PlanStatusAnswer>(&request).await {
            Ok(status) => {
                progress.print(&status, revision);
                missing = missing_parts(&status, revision);
                if missing.is_empty() {
                    return Ok(());
                }
            }
            Err(CliError::NotReached(_)) => {}
            Err(error) => return Err(error),
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(CliError::NotInForce(revision, missing));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn missing_parts(status: &PlanStatusAnswer, revision: PlanRevision) -> Vec<String> {
    let daemons = status
        .daemons
        .iter()
        .filter(|daemon| daemon.adopted.is_none_or(|adopted| adopted < revision))
        .map(|daemon| daemon_line(daemon, revision));
    let rows = status.rows.iter().map(row_line);
    let mut missing: Vec<String> = daemons.chain(rows).collect();
    if status.adopted < revision {
        missing.push(format!(
            "answering daemon: still revision {}",
            status.adopted
        ));
    }
    missing
}

/// The last line printed for each daemon and row, so that only changes are printed.
#[derive(Debug, Default)]
struct ProgressLines {
    printed: IndexMap<String, String>,
}

impl ProgressLines {
    fn print(&mut self, status: &PlanStatusAnswer, revision: PlanRevision) {
        for daemon in &status.daemons {
            let line = daemon_line(daemon, revision);
            self.print_changed(format!("daemon {}", daemon.daemon), line);
        }
        if status.adopted < revision {
            return;
        }
        for row in &status.rows {
            self.print_changed(row_key(row), row_line(row));
        }
        self.print_ready_rows(status);
    }

    /// Prints the rows that have become ready: the answer no longer contains them.
    fn print_ready_rows(&mut self, status: &PlanStatusAnswer) {
        let open: IndexSet<String> = status.rows.iter().map(row_key).collect();
        let ready = self
            .printed
            .extract_if(.., |key, _| key.starts_with(ROW_KEY) && !open.contains(key));
        for (key, _) in ready {
            print_error(&format!("{key}: ready\n"));
        }
    }

    fn print_changed(&mut self, key: String, line: String) {
        if self.printed.get(&key) == Some(&line) {
            return;
        }
        print_error(&format!("{line}\n"));
        self.printed.insert(key, line);
    }
}

fn row_key(row: &RowStatus) -> String {
    format!("{ROW_KEY}{}", row.target)
}

fn daemon_line(daemon: &DaemonItem, revision: PlanRevision) -> String {
    let name = &daemon.daemon;
    match daemon.adopted {
        Some(adopted) if adopted >= revision => format!("daemon {name}: in force"),
        Some(adopted) => format!("daemon {name}: still revision {adopted}"),
        None => format!("daemon {name}: revision unknown"),
    }
}

fn row_line(row: &RowStatus) -> String {
    let counts = format!("{} of {} ready", row.ready, row.wanted);
    let reason = row
        .reason
        .map_or(String::new(), |reason| format!(", {reason}"));
    format!("row {}: {}, {counts}{reason}", row.target, row.phase)
}
