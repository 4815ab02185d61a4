//! Runs one stand-in as its own process.

use std::process::ExitCode;

mod command;

#[tokio::main]
async fn main() -> ExitCode {
    command::run().await
}
