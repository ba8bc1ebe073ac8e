//! `oatpier config check`: validates a configuration file and checks that everything fits into memory.

use clap::{ArgMatches, Command};
use oatpier_types::config::capacity::{CapacityReport, check_capacity};
use serde::Serialize;

use super::{file_arg, file_of};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::capacity_text::{format_capacity, zone_warnings};
use crate::ops::files::read_config;

/// The answer that `--json` prints.
#[derive(Serialize)]
struct CheckAnswer {
    models: usize,
    adapters: usize,
    classes: usize,
    content: String,
    warnings: Vec<String>,
    reach: CapacityReport,
}

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("check")
        .about("Check a configuration file, without contacting the store")
        .arg(file_arg())
}

/// Checks the file and prints the capacity of each pool.
///
/// # Errors
///
/// Returns an error if the file is invalid, or if not every model and adapter would be reachable.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let path = file_of(matches);
    context.shell.status("Checking", path.display());
    let config = read_config(&path)?.config;
    let report = check_capacity(&config);
    if !report.fits() {
        return Err(CommandError::InsufficientMemory { report });
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
    context.answer(&answer, || format_capacity(&answer.reach))
}
