//! `persimmonward`: one daemon, or a demonstration of several.

use std::process::ExitCode;

fn main() -> ExitCode {
    ward_daemon::program::run_program(std::env::args_os())
}
