//! Loads the settings of a daemon, and checks or prints them without starting one.

use std::path::Path;

use ward_settings::DaemonSettings;

use super::exit::ProgramExit;

/// Loads the settings; prints every mistake to standard error when there are any.
pub(super) fn load(path: &Path) -> Result<DaemonSettings, ProgramExit> {
    DaemonSettings::load(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ProgramExit::Settings
    })
}

pub(super) fn check(path: &Path) -> ProgramExit {
    match load(path) {
        Ok(_) => {
            println!("{}: no mistakes", path.display());
            ProgramExit::Done
        }
        Err(exit) => exit,
    }
}

pub(super) fn print(path: &Path) -> ProgramExit {
    match load(path) {
        Ok(settings) => {
            println!("{}", settings.to_json());
            ProgramExit::Done
        }
        Err(exit) => exit,
    }
}
