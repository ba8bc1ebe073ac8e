//! `oatpier stop`: plans, lists and withdraws graceful stops of processes.

mod cancel;
mod list;
mod plan;

use clap::{ArgMatches, Command};

use super::CommandResult;
use crate::context::CliContext;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("stop")
        .about("Plan, list and withdraw graceful stops")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(plan::cli())
        .subcommand(list::cli())
        .subcommand(cancel::cli())
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("plan", matches)) => plan::exec(context, matches),
        Some(("list", _)) => list::exec(context),
        Some(("cancel", matches)) => cancel::exec(context, matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
