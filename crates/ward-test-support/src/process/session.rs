//! Operator and caller calls to a test fleet, and functions that wait until the fleet has
//! reached an expected state.

use std::fs;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::fleet::ProcessFleet;
use super::program::{ProcessError, program_path};
use crate::caller::CallerClient;

const CLIENT: &str = "persimmon";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of waits for a state that the fleet must reach.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

impl ProcessFleet {
    /// Runs the command-line client `persimmon` against the daemon with this index.
    ///
    /// # Errors
    /// When the client cannot be run.
    pub fn run_client(&self, daemon: usize, arguments: &[&str]) -> Result<Output, ProcessError> {
        let address = self.daemons[daemon].operators.to_string();
        let output = Command::new(program_path(CLIENT)?)
            .args(arguments)
            .args(["--daemon", &address])
            .output()?;
        Ok(output)
    }

    /// Submits a plan sheet on top of the revision `base` and waits until it is in
    /// force and its models are loaded.
    ///
    /// # Errors
    /// When the sheet cannot be written or the client cannot be run.
    pub fn submit(&self, daemon: usize, sheet: &str, base: u64) -> Result<Output, ProcessError> {
        self.submit_with(daemon, sheet, base, &["--wait"])
    }

    /// Submits a plan sheet on top of the revision `base` without waiting for loads.
    ///
    /// # Errors
    /// When the sheet cannot be written or the client cannot be run.
    pub fn submit_without_wait(
        &self,
        daemon: usize,
        sheet: &str,
        base: u64,
    ) -> Result<Output, ProcessError> {
        self.submit_with(daemon, sheet, base, &[])
    }

    fn submit_with(
        &self,
        daemon: usize,
        sheet: &str,
        base: u64,
        options: &[&str],
    ) -> Result<Output, ProcessError> {
        let path = self.folder().join(format!("sheet-{daemon}-{base}.csv"));
        fs::write(&path, sheet)?;
        let (file, base) = (path.display().to_string(), base.to_string());
        let submit = [
            "plan", "submit", &file, "--base", &base, "--author", "planner",
        ];
        self.run_client(daemon, &[&submit, options].concat())
    }

    /// A client that calls the daemon with this index.
    #[must_use]
    pub fn caller(&self, daemon: usize) -> CallerClient {
        CallerClient::new(self.daemons[daemon].callers)
    }

    /// Reads the state dump of the daemon with this index; null if it doesn't answer.
    pub async fn dump(&self, daemon: usize) -> Value {
        let client = CallerClient::new(self.daemons[daemon].operators);
        let reply = client.get("/dump").await;
        let dump = reply.ok().and_then(|reply| reply.json().ok());
        dump.unwrap_or_default()
    }

    /// Index of the daemon that owns the engine which holds or loads a key, according
    /// to the state dump of the daemon with the index `daemon`.
    pub async fn engine_owner(&self, daemon: usize, key: &str) -> Option<usize> {
        let dump = self.dump(daemon).await;
        let reservations = dump["control"]["reservations"].as_array()?;
        let reservation = reservations.iter().find(|item| item["key"] == key)?;
        let backends = dump["control"]["backends"].as_array()?;
        let engine = backends
            .iter()
            .find(|item| item["info"]["backend"] == reservation["backend"])?;
        let number = engine["owner"].as_str()?.strip_prefix("entry-")?;
        number.parse::<usize>().ok()?.checked_sub(1)
    }

    /// Waits until every daemon is in the mode `full` and lists all daemons as members.
    ///
    /// # Panics
    /// When that takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_until_full(&self) {
        for daemon in 0..self.daemons.len() {
            let is_full = async || {
                let dump = self.dump(daemon).await;
                let members = dump["control"]["members"].as_array().map_or(0, Vec::len);
                dump["view"]["mode"] == "full" && members == self.daemons.len()
            };
            wait_until("a daemon in full mode with all members", is_full).await;
        }
    }

    /// Polls the state dump of a daemon until a check holds; `what` names the awaited
    /// state in the failure message.
    ///
    /// # Panics
    /// When that takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_until_dump(&self, daemon: usize, what: &str, check: impl Fn(&Value) -> bool) {
        wait_until(what, async || check(&self.dump(daemon).await)).await;
    }
}

/// Polls a check until it holds; `what` names the awaited state in the failure
/// message.
///
/// # Panics
/// When that takes longer than [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(Instant::now() < deadline, "timeout waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
