//! Runs a daemon on the users' platform until a signal stops it.

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
    /// Why the settings cannot be loaded.
    #[derive(Debug)]
    enum LoadError {
        /// Neither the arguments nor the platform give a path.
        NoPath {
            display("no settings file is given; name one with --settings FILE")
        }
        /// The file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("{}: {cause}; check the path and its permissions", path.display())
        }
        /// The file contains invalid settings.
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
            crit!(logger, "settings: invalid"; "cause" => %cause);
            return ProgramExit::Settings;
        }
    };
    if options.check {
        info!(logger, "settings: valid"; "daemon" => %settings.daemon);
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
