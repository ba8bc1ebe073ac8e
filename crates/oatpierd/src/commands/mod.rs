//! The subcommands: in each module, `cli()` declares the arguments and `exec()` runs the subcommand.

pub mod agent;
pub mod entry;
pub mod gateway;
pub mod node;
pub mod sidecar;

use std::path::PathBuf;

use clap::ArgMatches;
use miette::Report;

use crate::cli::{CommandFailure, EXIT_FAILED, EXIT_SETTINGS};
use oatpier_duty::duty::{DutyPanic, StartError};
use oatpier_duty::settings::{SettingsErrors, SettingsFailure, SettingsText};

/// Reads and validates the settings file given on the command line.
fn read_settings<T>(matches: &ArgMatches) -> Result<T, CommandFailure>
where
    T: for<'t> TryFrom<&'t SettingsText, Error = SettingsErrors>,
{
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires it");
    SettingsText::read(path)
        .and_then(|text| T::try_from(&text).map_err(SettingsFailure::Invalid))
        .map_err(|failure| CommandFailure {
            code: EXIT_SETTINGS,
            report: Report::new(failure),
        })
}

fn start_failure(error: StartError) -> CommandFailure {
    CommandFailure {
        code: EXIT_FAILED,
        report: Report::new(error),
    }
}

fn duty_failure(error: DutyPanic) -> CommandFailure {
    CommandFailure {
        code: EXIT_FAILED,
        report: Report::new(error),
    }
}
