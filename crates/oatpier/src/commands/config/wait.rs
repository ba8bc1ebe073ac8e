//! `oatpier config wait`: waits until a generation is in force everywhere.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use oatpier_types::ids::Generation;

use super::{generation_arg, generation_of, parse_time};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::record_store::read_record;
use crate::ops::wait::wait_in_force;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("wait")
        .about("Wait until a generation is in force at every process, or list the processes that are behind")
        .args([
            generation_arg("The generation to wait for [default: the newest in the store]"),
            Arg::new("timeout")
                .long("timeout")
                .value_name("TIME")
                .help("How long to wait")
                .default_value("10s")
                .value_parser(parse_time),
        ])
}

/// Waits for the generation, and prints how many processes have reached it.
///
/// # Errors
///
/// Returns an error on a timeout, if the store does not answer when asked for the newest generation, or if no entry
/// answers.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let wanted = match generation_of(matches) {
        Some(wanted) => wanted,
        None => newest_generation(context)?,
    };
    let limit = matches.get_one::<Duration>("timeout").copied();
    let entries = context.entries()?;
    context
        .shell
        .status("Waiting", format!("for generation {wanted}"));
    let rollout = wait_in_force(&entries, wanted, limit.unwrap_or_default());
    let report = context.block_on(rollout)?;
    if !report.silent.is_empty() {
        let silent = report.silent.join(", ");
        context
            .shell
            .warn(format!("no recent contact, and not waited for: {silent}"));
    }
    let message = format!("generation {wanted} on {} processes", report.reached);
    context.shell.status("In force", message);
    context.answer(&report, || format!("{wanted}\n"))
}

fn newest_generation(context: &CliContext) -> Result<Generation, CommandError> {
    let store = context.store()?;
    let read = context.block_on(read_record(store.as_ref()))?;
    Ok(read.record.generation)
}
