//! Starting, freezing and killing programs of this workspace.

use std::env;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use rustix::process::{Pid, Signal, kill_process};

const START_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
const LISTENING_PREFIX: &str = "listening on ";

quick_error! {
    /// Why a program could not be run or controlled.
    #[derive(Debug)]
    pub enum ProcessError {
        /// A call to the operating system failed.
        System(cause: io::Error) {
            from()
            display("the program cannot be run: {cause}")
            source(cause)
        }
        /// The program is not built, and building it has failed.
        Missing(name: String) {
            display("{name} is not built; run cargo build --workspace --bins")
        }
        /// The program did not print the address on which it listens.
        NoAddress(name: String) {
            display("{name} did not print its listen address")
        }
        /// The program did not end within the given time.
        Timeout(name: String) {
            display("{name} did not end in time")
        }
    }
}

/// Path of a program of this workspace in the target folder of the running test;
/// builds the programs if this one is missing.
///
/// # Errors
/// When the program is missing and cannot be built.
pub fn program_path(name: &str) -> Result<PathBuf, ProcessError> {
    let test = env::current_exe()?;
    let folder = test.ancestors().nth(2).unwrap_or(Path::new("."));
    let path = folder.join(name);
    if path.exists() {
        return Ok(path);
    }
    // A test of one crate alone does not build the programs of the others.
    let mut build = Command::new(env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
    build.args(["build", "--quiet", "--workspace", "--bins"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    build.status()?;
    if path.exists() {
        Ok(path)
    } else {
        Err(ProcessError::Missing(name.to_owned()))
    }
}

/// A running program of this workspace; killed when dropped.
#[derive(Debug)]
pub struct RunningProgram {
    name: String,
    child: Child,
}

impl RunningProgram {
    /// Starts a program with its standard output in a pipe.
    ///
    /// # Errors
    /// When it is not built or cannot be started.
    pub fn start(name: &str, arguments: &[String]) -> Result<Self, ProcessError> {
        let child = Command::new(program_path(name)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Starts a stand-in and waits until it prints the address on which it listens.
    ///
    /// # Errors
    /// When it cannot be started, or does not print its address in time.
    pub fn start_listening(
        name: &str,
        arguments: &[String],
    ) -> Result<(Self, SocketAddr), ProcessError> {
        let mut program = Self::start(name, arguments)?;
        let line = program.first_line()?;
        let address = line
            .strip_prefix(LISTENING_PREFIX)
            .and_then(|text| text.trim().parse().ok());
        match address {
            Some(address) => Ok((program, address)),
            None => Err(ProcessError::NoAddress(name.to_owned())),
        }
    }

    fn first_line(&mut self) -> Result<String, ProcessError> {
        let no_address = || ProcessError::NoAddress(self.name.clone());
        let output = self.child.stdout.take().ok_or_else(no_address)?;
        let (sender, lines) = mpsc::channel();
        // Reads until the end, so that the program never blocks on a full pipe.
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // Fails once the receiver is dropped after the first line; ignored.
                let _ = sender.send(line);
            }
        });
        lines.recv_timeout(START_TIMEOUT).map_err(|_| no_address())
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the program with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    /// When the system call fails.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes the program with SIGSTOP.
    ///
    /// # Errors
    /// When it has ended.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes the program after a freeze, with SIGCONT.
    ///
    /// # Errors
    /// When it has ended.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop of the program, with SIGTERM.
    ///
    /// # Errors
    /// When it has ended.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Waits until the program has ended.
    ///
    /// # Errors
    /// When it has not ended within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
        Err(ProcessError::Timeout(self.name.clone()))
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let Some(pid) = pid else {
            return Err(ProcessError::Missing(self.name.clone()));
        };
        kill_process(pid, signal).map_err(|cause| ProcessError::System(cause.into()))
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        // SIGKILL also ends a frozen process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
