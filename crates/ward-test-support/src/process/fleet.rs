//! A platform, backend servers and daemons as separate processes.

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

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// One engine of a fleet.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its availability zone.
    pub zone: String,
    /// Whether it checks fencing numbers.
    pub checks_fencing: bool,
    /// Further arguments of the stand-in.
    pub arguments: Vec<String>,
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Zones of the daemons, one daemon each.
    pub daemons: Vec<String>,
    /// The engines.
    pub engines: Vec<EngineOptions>,
    /// Plain services, by name.
    pub services: Vec<String>,
    /// Times of the daemons.
    pub times: DaemonTimes,
}

impl FleetSettings {
    /// Three daemons and three engines in as many zones, the second engine
    /// without a check of fencing numbers, and a booking service.
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

/// A process with the address that it listens on.
#[derive(Debug)]
pub struct ListeningProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub program: RunningProgram,
}

impl ListeningProcess {
    fn standin(arguments: &[&str]) -> Result<Self, ProcessError> {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let (program, address) = RunningProgram::start_listening(STANDIN, &arguments)?;
        Ok(Self { address, program })
    }

    /// Sets its faults and reads its history.
    #[must_use]
    pub fn control(&self) -> StandinControl {
        StandinControl::new(self.address)
    }
}

/// Running processes; all are killed when the fleet is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    // Dropped in this order: daemons first, so that none complains of the others' end.
    /// The daemons, named `entry-1` and so on.
    pub daemons: Vec<DaemonProcess>,
    /// The plain services.
    pub services: Vec<ListeningProcess>,
    /// The engines, named `engine-1` and so on.
    pub engines: Vec<ListeningProcess>,
    /// The host list and weight store.
    pub hosts: ListeningProcess,
    /// The log service.
    pub log: ListeningProcess,
    folder: PathBuf,
}

impl ProcessFleet {
    /// Starts all processes.
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
            folder: make_folder()?,
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

    /// A folder of this fleet's own, removed with it.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts one more engine.
    ///
    /// # Errors
    /// When it cannot be started.
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

    /// Starts one more daemon.
    ///
    /// # Errors
    /// When it cannot be started.
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
        // What is left lies in the folder for temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn make_folder() -> Result<PathBuf, ProcessError> {
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    let name = format!("ward-fleet-{}-{number}", process::id());
    let folder = env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
