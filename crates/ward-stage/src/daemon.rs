//! A daemon as a process.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use quick_error::quick_error;
use rustix::process::{Pid, Signal, kill_process};
use ward_adapter::served::settings_json;
use ward_fleet::HostSettings;
use ward_protocol::MemorySize;

quick_error! {
    /// A stage that cannot be set up or go on.
    #[derive(Debug)]
    pub enum StageError {
        /// A file or socket.
        Io(cause: io::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A signal.
        Signal(cause: rustix::io::Errno) {
            from()
            display("the signal cannot be sent: {cause}")
            source(cause)
        }
        /// The stage did not become ready in time.
        NotReady {
            display("no daemon became ready in time")
        }
        /// A name is not valid.
        Name(cause: ward_protocol::IdError) {
            from()
            display("{cause}")
            source(cause)
        }
    }
}

/// A daemon; killed when dropped.
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
            // It may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl DaemonProcess {
    /// Starts a daemon with settings and log in a folder.
    ///
    /// # Errors
    /// When a file cannot be written or the program not started.
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

    /// Starts the process again, after it ended.
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
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process again with a standard output that nobody reads.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn restart_with_unread_output(&mut self) -> Result<(), StageError> {
        self.kill();
        let child = Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// When it is gone.
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

    /// Memory that the process has in use.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn resident_memory(&self) -> Result<MemorySize, StageError> {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        let kibibytes = kibibytes.ok_or_else(|| io::Error::other("no line tells the memory"))?;
        Ok(MemorySize::from_bytes(kibibytes << 10))
    }

    /// Whether the process has ended.
    #[must_use]
    pub fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        self.child.as_mut().is_none_or(ended)
    }

    /// Where it takes requests.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Its settings.
    #[must_use]
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// What it has logged.
    ///
    /// # Errors
    /// When the log cannot be read.
    pub fn log(&self) -> Result<String, StageError> {
        Ok(std::fs::read_to_string(&self.log_file)?)
    }
}
