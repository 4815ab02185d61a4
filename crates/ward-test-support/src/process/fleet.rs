//! Platform stand-ins, backend servers and daemons as separate processes.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

use super::daemon::{DaemonProcess, DaemonTimes};
use super::program::{ProcessError, RunningProgram};
use crate::control::StandinControl;

const STANDIN: &str = "ward-standin";

static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// Settings of one engine of a fleet.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Availability zone of the engine.
    pub zone: String,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Further command-line arguments of the stand-in.
    pub arguments: Vec<String>,
}

/// Composition of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Availability zone of each daemon, one daemon per entry.
    pub daemons: Vec<String>,
    /// Settings of each engine.
    pub engines: Vec<EngineOptions>,
    /// Names of the plain services, one server each.
    pub services: Vec<String>,
    /// Timing settings of all daemons.
    pub times: DaemonTimes,
}

impl FleetSettings {
    /// Three daemons and three engines, one of each in each of three zones, and a
    /// booking service. The second engine doesn't check fencing numbers.
    #[must_use]
    pub fn small() -> Self {
        let zones = ["bezigrad", "vic", "moste"];
        let engine = |zone: &&str| EngineOptions {
            zone: (*zone).to_owned(),
            checks_fencing: *zone != "vic",
            arguments: Vec::new(),
        };
        Self {
            daemons: zones.map(str::to_owned).to_vec(),
            engines: zones.iter().map(engine).collect(),
            services: vec!["booking".to_owned()],
            times: DaemonTimes::default(),
        }
    }
}

/// A stand-in's process and the address on which it listens.
#[derive(Debug)]
pub struct ListeningProcess {
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// The running program.
    pub program: RunningProgram,
}

impl ListeningProcess {
    fn standin(arguments: &[&str]) -> Result<Self, ProcessError> {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let (program, address) = RunningProgram::start_listening(STANDIN, &arguments)?;
        Ok(Self { address, program })
    }

    /// A client that sets the stand-in's faults and reads its history.
    #[must_use]
    pub fn control(&self) -> StandinControl {
        StandinControl::new(self.address)
    }
}

/// The running processes of a deployment; all are killed when the fleet is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    // Fields are dropped in this order: daemons first, so that none logs errors about
    // the end of the others.
    /// Daemons, named `entry-1` and so on.
    pub daemons: Vec<DaemonProcess>,
    /// Plain services, in the order of the settings.
    pub services: Vec<ListeningProcess>,
    /// Engines, named `engine-1` and so on.
    pub engines: Vec<ListeningProcess>,
    /// Stand-in for the host list and the weight store.
    pub hosts: ListeningProcess,
    /// Stand-in for the log service.
    pub log: ListeningProcess,
    folder: PathBuf,
}

impl ProcessFleet {
    /// Starts all processes; daemons may not be ready yet when it returns.
    ///
    /// # Errors
    /// When one of them cannot be started.
    pub fn start(settings: &FleetSettings) -> Result<Self, ProcessError> {
        let log = ListeningProcess::standin(&["log"])?;
        let hosts = ListeningProcess::standin(&["hosts"])?;
        let mut fleet = Self {
            log,
            hosts,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            folder: create_folder()?,
        };
        for engine in &settings.engines {
            fleet.add_engine(engine)?;
        }
        for service in &settings.services {
            fleet.add_service(service)?;
        }
        for zone in &settings.daemons {
            fleet.add_daemon(zone, settings.times)?;
        }
        Ok(fleet)
    }

    /// Folder of this fleet for settings and sheets, removed when the fleet is dropped.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts one more engine, with the next number in its name.
    ///
    /// # Errors
    /// When its program cannot be started.
    pub fn add_engine(&mut self, engine: &EngineOptions) -> Result<(), ProcessError> {
        let id = format!("engine-{}", self.engines.len() + 1);
        let hosts = self.hosts.address.to_string();
        let fencing = if engine.checks_fencing {
            "checks"
        } else {
            "ignores"
        };
        let mut arguments = vec![
            "engine",
            "--id",
            &id,
            "--zone",
            &engine.zone,
            "--memory",
            "80GiB",
            "--fencing",
            fencing,
            "--hosts",
            &hosts,
            "--store",
            &hosts,
            "--token-time",
            "1ms",
        ];
        arguments.extend(engine.arguments.iter().map(String::as_str));
        self.engines.push(ListeningProcess::standin(&arguments)?);
        Ok(())
    }

    /// Starts a stand-in backend server of a plain service.
    fn add_service(&mut self, name: &str) -> Result<(), ProcessError> {
        let hosts = self.hosts.address.to_string();
        let id = format!("{name}-1");
        let arguments = [
            "service",
            "--id",
            &id,
            "--zone",
            "vic",
            "--service",
            name,
            "--hosts",
            &hosts,
        ];
        self.services.push(ListeningProcess::standin(&arguments)?);
        Ok(())
    }

    /// Starts one more daemon, with the next number in its name.
    ///
    /// # Errors
    /// When its settings cannot be written or its program cannot be started.
    pub fn add_daemon(&mut self, zone: &str, times: DaemonTimes) -> Result<(), ProcessError> {
        let name = format!("entry-{}", self.daemons.len() + 1);
        let (log, hosts) = (self.log.address, self.hosts.address);
        let daemon = DaemonProcess::start(&self.folder, &name, zone, log, hosts, times)?;
        self.daemons.push(daemon);
        Ok(())
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        // On failure the files stay behind in the system's folder for temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn create_folder() -> Result<PathBuf, ProcessError> {
    let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("ward-fleet-{}-{number}", process::id());
    let folder = env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
