//! A daemon that runs as a separate process.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use super::port::free_address;
use super::program::{ProcessError, RunningProgram};

const DAEMON: &str = "persimmonward";

/// Timing settings of a daemon: short for tests, in the proportions of the defaults.
#[derive(Debug, Clone, Copy)]
pub struct DaemonTimes {
    /// Setting `lease.lease`, in milliseconds.
    pub lease: u64,
    /// Setting `lease.order_life`, in milliseconds: maximum time from sending an order
    /// until it takes effect.
    pub order_life: u64,
    /// Setting `traffic.entry_ttl`, in milliseconds: time that callers may cache the
    /// list of daemon addresses.
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

/// A running daemon with its settings file and addresses; killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// The daemon's process.
    pub program: RunningProgram,
    settings: PathBuf,
}

impl DaemonProcess {
    /// Writes the settings file of a daemon into `folder` and starts the daemon, on
    /// free ports of this machine.
    ///
    /// # Errors
    /// When the file cannot be written or the program cannot be started.
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

    /// Starts the daemon again with the same settings and ports; the former process
    /// must have ended.
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
