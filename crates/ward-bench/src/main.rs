//! The `ward-bench` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = ward_bench::command::command_line().get_matches();
    match ward_bench::command::run_command(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
