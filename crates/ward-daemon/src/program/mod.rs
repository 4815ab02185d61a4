//! The command line of `persimmonward`.

mod arguments;
mod exit;
mod gateway;
mod serve;
mod settings;

pub use arguments::{DemoOptions, command};
pub use exit::ProgramExit;
pub(crate) use serve::traffic_runtime;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::{ProgramTask, parse};

/// Runs the program with the given arguments, the program name first.
#[must_use]
pub fn run_program(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let exit = match parse(arguments) {
        Ok(task) => run_task(task),
        Err(error) => {
            // clap returns the help and version texts as errors for standard output.
            let exit = if error.use_stderr() {
                ProgramExit::Usage
            } else {
                ProgramExit::Done
            };
            // A closed output is not a failure of the program.
            let _ = error.print();
            exit
        }
    };
    exit.into()
}

fn run_task(task: ProgramTask) -> ProgramExit {
    match task {
        ProgramTask::Serve(path) => serve::serve(&path),
        ProgramTask::CheckSettings(path) => settings::check(&path),
        ProgramTask::PrintSettings(path) => settings::print(&path),
        ProgramTask::Gateway(options) => gateway::run(&options),
        ProgramTask::Demo(options) => crate::demo::run_demo(options),
    }
}
