//! Starting, freezing and killing one of our programs.

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

const START_TIME: Duration = Duration::from_secs(20);
const EXIT_PAUSE: Duration = Duration::from_millis(10);
const LISTENING: &str = "listening on ";

quick_error! {
    /// A program that does not do as asked.
    #[derive(Debug)]
    pub enum ProcessError {
        /// The system refused.
        System(cause: io::Error) {
            from()
            display("the program cannot be run: {cause}")
            source(cause)
        }
        /// The program is not built and cannot be.
        Missing(name: String) {
            display("{name} is not built; run cargo build --workspace --bins")
        }
        /// The program did not say where it listens.
        NoAddress(name: String) {
            display("{name} did not say where it listens")
        }
        /// The program has not ended in time.
        Timeout(name: String) {
            display("{name} has not ended in time")
        }
    }
}

/// Where a program of this workspace is built, beside the running test.
///
/// # Errors
/// When it is not built and cannot be built now.
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

/// A running program; killed when dropped.
#[derive(Debug)]
pub struct RunningProgram {
    name: String,
    child: Child,
}

impl RunningProgram {
    /// Starts a program.
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

    /// Starts a stand-in and waits until it says where it listens.
    ///
    /// # Errors
    /// When it cannot be started, or says nothing in time.
    pub fn start_listening(
        name: &str,
        arguments: &[String],
    ) -> Result<(Self, SocketAddr), ProcessError> {
        let mut program = Self::start(name, arguments)?;
        let line = program.first_line()?;
        let address = line
            .strip_prefix(LISTENING)
            .and_then(|text| text.trim().parse().ok());
        match address {
            Some(address) => Ok((program, address)),
            None => Err(ProcessError::NoAddress(name.to_owned())),
        }
    }

    fn first_line(&mut self) -> Result<String, ProcessError> {
        let silent = || ProcessError::NoAddress(self.name.clone());
        let output = self.child.stdout.take().ok_or_else(silent)?;
        let (sender, lines) = mpsc::channel();
        // Goes on reading, so that the program never waits for its output.
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // The test may have ended.
                let _ = sender.send(line);
            }
        });
        lines.recv_timeout(START_TIME).map_err(|_| silent())
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it without notice.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes it.
    ///
    /// # Errors
    /// When it has ended.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after a freeze.
    ///
    /// # Errors
    /// When it has ended.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Tells it to stop as planned.
    ///
    /// # Errors
    /// When it has ended.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// When it has not ended within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            thread::sleep(EXIT_PAUSE);
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
        // A frozen process is killed as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
