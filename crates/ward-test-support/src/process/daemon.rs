//! A daemon as a process.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use super::port::free_address;
use super::program::{ProcessError, RunningProgram};

const DAEMON: &str = "persimmonward";

/// Times for tests: short, but in the proportions of the defaults.
#[derive(Debug, Clone, Copy)]
pub struct DaemonTimes {
    /// Lease in milliseconds.
    pub lease: u64,
    /// Longest order life in milliseconds.
    pub order_life: u64,
    /// Time that callers may keep the address list, in milliseconds.
    pub entry_ttl: u64,
}

impl Default for DaemonTimes {
    fn default() -> Self {
        Self {
            lease: 1_500,
            order_life: 500,
            entry_ttl: 1_000,
        }
    }
}

/// A daemon with its settings file and addresses.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// The process.
    pub program: RunningProgram,
    settings: PathBuf,
}

impl DaemonProcess {
    /// Writes settings for a daemon and starts it.
    ///
    /// # Errors
    /// When the file cannot be written or the program not started.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        log: SocketAddr,
        hosts: SocketAddr,
        times: DaemonTimes,
    ) -> Result<Self, ProcessError> {
        let callers = free_address()?;
        let operators = free_address()?;
        let peers = free_address()?;
        let settings = json!({
            "daemon": name,
            "zone": zone,
            "addresses": {
                "callers": { "bind": callers },
                "operators": { "bind": operators },
                "peers": { "bind": peers },
            },
            "platform": { "log": log, "hosts": hosts },
            "lease": lease_settings(times),
            "traffic": {
                "entry_ttl": millis(times.entry_ttl),
                "stop_slack": "200ms",
            },
            "policy": { "standby_after": "1h", "load_memory": "500ms", "load_disk": "2s", "load_remote": "5s" },
            "logging": { "level": "warning" },
        });
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(Self {
            callers,
            operators,
            program: start_program(&path)?,
            settings: path,
        })
    }

    /// Starts it again with the same settings, after its process has ended.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn restart(&mut self) -> Result<(), ProcessError> {
        self.program = start_program(&self.settings)?;
        Ok(())
    }
}

fn start_program(settings: &Path) -> Result<RunningProgram, ProcessError> {
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    RunningProgram::start(DAEMON, &arguments)
}

fn lease_settings(times: DaemonTimes) -> Value {
    json!({
        "lease": millis(times.lease),
        "order_life": millis(times.order_life),
        "read_interval": "50ms",
        "probe_interval": "100ms",
        "probe_timeout": "600ms",
        "status_interval": "100ms",
        "hosts_interval": "200ms",
    })
}

fn millis(count: u64) -> String {
    format!("{count}ms")
}
