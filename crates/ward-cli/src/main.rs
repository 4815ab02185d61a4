//! The program `persimmon`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ward_cli::run(std::env::args_os()).into()
}
