//! Runs the daemon on the users' platform until a signal ends it.

use std::path::PathBuf;

use quick_error::quick_error;
use slog::{crit, info};
use ward_adapter::{SettingsError, parse_settings, settings_path};
use ward_fleet::HostSettings;
use ward_gateway::run_gateway;

use super::arguments::GatewayOptions;
use super::exit::ProgramExit;
use crate::logging::stdout_logger;

quick_error! {
    /// Settings that cannot be had.
    #[derive(Debug)]
    enum LoadError {
        /// Nobody named a file.
        NoPath {
            display("no settings file is named; give one with --settings FILE")
        }
        /// The file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("{}: {cause}; check the path and its permissions", path.display())
        }
        /// The settings have a mistake.
        Settings(cause: SettingsError) {
            from()
            display("{cause}")
        }
    }
}

pub(super) fn run(options: &GatewayOptions) -> ProgramExit {
    let logger = stdout_logger();
    let settings = match load(options) {
        Ok(settings) => settings,
        Err(cause) => {
            crit!(logger, "settings: cannot be used"; "cause" => %cause);
            return ProgramExit::Settings;
        }
    };
    if options.check {
        info!(logger, "settings: can be used"; "daemon" => %settings.daemon);
        return ProgramExit::Done;
    }
    match run_gateway(settings, &logger) {
        Ok(()) => ProgramExit::Done,
        Err(cause) => {
            crit!(logger, "daemon: failed"; "cause" => %cause);
            ProgramExit::Failed
        }
    }
}

fn load(options: &GatewayOptions) -> Result<HostSettings, LoadError> {
    let path = options
        .settings
        .clone()
        .or_else(settings_path)
        .ok_or(LoadError::NoPath)?;
    let text = std::fs::read(&path).map_err(|cause| LoadError::Read(path, cause))?;
    Ok(parse_settings(&text)?)
}
