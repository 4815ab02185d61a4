//! Values of the arguments that every command has.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use ward_protocol::TimeSpan;

use crate::client::DaemonClient;
use crate::error::CliError;
use crate::output::OutputFormat;

/// Client and output format, created from the arguments that every command has.
#[derive(Debug, Clone)]
pub struct CommandContext {
    /// Client for the daemons named on the command line.
    pub client: DaemonClient,
    /// Format in which answers are printed.
    pub format: OutputFormat,
}

impl CommandContext {
    /// Creates the context from the parsed command line.
    ///
    /// # Errors
    /// Fails when the token file cannot be read or holds no token.
    pub fn from_matches(matches: &mut ArgMatches) -> Result<Self, CliError> {
        let daemons = matches
            .remove_many::<SocketAddr>("daemon")
            .map(Iterator::collect)
            .unwrap_or_default();
        let token = matches
            .remove_one::<PathBuf>("token-file")
            .map(|path| read_token(&path))
            .transpose()?;
        let timeout: TimeSpan = matches.remove_one("timeout").unwrap_or_default();
        let format = if matches.get_flag("json") {
            OutputFormat::Json
        } else {
            OutputFormat::Table
        };
        Ok(Self {
            client: DaemonClient::new(daemons, token, timeout.duration()),
            format,
        })
    }
}

fn read_token(path: &Path) -> Result<String, CliError> {
    let text =
        fs::read_to_string(path).map_err(|cause| CliError::File(path.to_path_buf(), cause))?;
    let token = text.trim();
    if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(CliError::Token(path.to_path_buf()));
    }
    Ok(token.to_owned())
}
