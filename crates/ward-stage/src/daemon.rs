//! A daemon that runs as a separate process.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use quick_error::quick_error;
use rustix::process::{Pid, Signal, kill_process};
use ward_adapter::served::settings_json;
use ward_adapter::settings::PATH_VARIABLE;
use ward_fleet::{HostCapacity, HostSettings};
use ward_protocol::MemorySize;

quick_error! {
    /// Why a stage cannot be set up or controlled.
    #[derive(Debug)]
    pub enum StageError {
        /// A file, socket or process operation failed.
        Io(cause: io::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A signal could not be sent to the daemon's process.
        Signal(cause: rustix::io::Errno) {
            from()
            display("cannot send the signal: {cause}")
            source(cause)
        }
        /// At least one daemon was not ready in time.
        NotReady {
            display("not all daemons became ready in time")
        }
        /// An id or name in the stage's settings is not valid.
        Name(cause: ward_protocol::IdError) {
            from()
            display("{cause}")
            source(cause)
        }
    }
}

/// A daemon's process with its settings and log file; killed when dropped.
pub struct DaemonProcess {
    program: PathBuf,
    settings: HostSettings,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended by itself; errors are ignored.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl DaemonProcess {
    /// Writes a daemon's settings file into `folder` and starts it; its log file is there too.
    ///
    /// # Errors
    /// When the settings file cannot be written or the program cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        settings: HostSettings,
    ) -> Result<Self, StageError> {
        let settings_file = folder.join(format!("{}.json", settings.daemon));
        let log_file = folder.join(format!("{}.log", settings.daemon));
        std::fs::write(&settings_file, settings_json(&settings))?;
        let mut daemon = Self {
            program: program.to_owned(),
            settings,
            settings_file,
            log_file,
            child: None,
        };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Kills the process if it still runs and starts it again with the same settings.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn restart(&mut self) -> Result<(), StageError> {
        self.kill();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file)?;
        let child = Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings_file)
            // Read again on SIGHUP.
            .env(PATH_VARIABLE, &self.settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Like [`Self::restart`], but with standard output in a pipe that is never read,
    /// so that the pipe fills up. The log file gets no further lines.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn restart_with_unread_output(&mut self) -> Result<(), StageError> {
        self.kill();
        let child = Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings_file)
            // Read again on SIGHUP.
            .env(PATH_VARIABLE, &self.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL, if it still runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself; errors are ignored.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal to the process; does nothing after [`Self::kill`].
    ///
    /// # Errors
    /// When the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), StageError> {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    /// Like [`Self::restart`], with another capacity of the host in the settings.
    ///
    /// # Errors
    /// When the settings file cannot be written or the program cannot be started.
    pub fn restart_with_capacity(&mut self, capacity: HostCapacity) -> Result<(), StageError> {
        self.settings.capacity = capacity;
        std::fs::write(&self.settings_file, settings_json(&self.settings))?;
        self.restart()
    }

    /// Changes the settings file so that it names another address for connections of other
    /// daemons; in force after SIGHUP, while the process goes on listening where it did.
    ///
    /// # Errors
    /// When the settings file cannot be written.
    pub fn write_peers(&self, peers: SocketAddr) -> Result<(), StageError> {
        let mut settings = self.settings.clone();
        settings.peers = peers;
        // The platform's settings place the metrics on the next port.
        settings.metrics.set_port(peers.port() + 1);
        std::fs::write(&self.settings_file, settings_json(&settings))?;
        Ok(())
    }

    /// Resident memory of the process, from `VmRSS` in `/proc`.
    ///
    /// # Errors
    /// When `/proc` does not report it, such as after the end of the process.
    pub fn resident_memory(&self) -> Result<MemorySize, StageError> {
        self.memory_in_status("VmRSS:")
    }

    /// Highest resident memory of the process so far, from `VmHWM` in `/proc`.
    ///
    /// # Errors
    /// When `/proc` does not report it, such as after the end of the process.
    pub fn peak_memory(&self) -> Result<MemorySize, StageError> {
        self.memory_in_status("VmHWM:")
    }

    fn memory_in_status(&self, label: &str) -> Result<MemorySize, StageError> {
        let status = std::fs::read_to_string(self.proc_path("status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix(label));
        let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        let kibibytes = kibibytes
            .ok_or_else(|| io::Error::other(format!("no {label} line in the process status")))?;
        Ok(MemorySize::from_bytes(kibibytes << 10))
    }

    /// Number of file descriptors that the process has open.
    ///
    /// # Errors
    /// When `/proc` does not list them, such as after the end of the process.
    pub fn open_descriptors(&self) -> Result<usize, StageError> {
        Ok(std::fs::read_dir(self.proc_path("fd"))?.count())
    }

    fn proc_path(&self, name: &str) -> PathBuf {
        let id = self.child.as_ref().map_or(0, Child::id);
        PathBuf::from(format!("/proc/{id}/{name}"))
    }

    /// Whether the process has ended or was killed.
    #[must_use]
    pub fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        self.child.as_mut().is_none_or(ended)
    }

    /// Address on which the daemon takes requests of callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Settings that the daemon was started with.
    #[must_use]
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// The daemon's log so far, over all restarts.
    ///
    /// # Errors
    /// When the log file cannot be read.
    pub fn log(&self) -> Result<String, StageError> {
        Ok(std::fs::read_to_string(&self.log_file)?)
    }
}
