//! `oatpier config check`: whether a file is right, and whether everything fits.

use clap::{ArgMatches, Command};
use oatpier_types::config::capacity::{CapacityReport, check_capacity};
use serde::Serialize;

use super::{file_arg, file_of};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::files::read_config;
use crate::ops::reach_text::{figures, zone_warnings};

/// The answer, as JSON.
#[derive(Serialize)]
struct CheckAnswer {
    models: usize,
    adapters: usize,
    classes: usize,
    content: String,
    warnings: Vec<String>,
    reach: CapacityReport,
}

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("check")
        .about("Check a configuration file, without the store")
        .arg(file_arg())
}

/// Checks the file and prints the figures.
///
/// # Errors
///
/// The file is wrong, or not everything would be reachable.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let path = file_of(matches);
    context.shell.status("Checking", path.display());
    let config = read_config(&path)?.config;
    let report = check_capacity(&config);
    if !report.fits() {
        return Err(CommandError::Unreachable { report });
    }
    let warnings = zone_warnings(&report);
    for warning in &warnings {
        context.shell.warn(warning);
    }
    let answer = CheckAnswer {
        models: config.models.len(),
        adapters: config.adapters.len(),
        classes: config.classes.len(),
        content: format!("{:016x}", config.content_hash()),
        warnings,
        reach: report,
    };
    let counts = format!(
        "{} models and {} adapters, all reachable",
        answer.models, answer.adapters
    );
    context.shell.status("Finished", counts);
    context.answer(&answer, || figures(&answer.reach))
}
