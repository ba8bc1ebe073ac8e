//! `oatpier explain`: why things are as they are.

mod model;
mod request;

use clap::{ArgMatches, Command};

use super::CommandResult;
use crate::context::CliContext;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("explain")
        .about("Say why a model is where it is, or what became of a request")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(model::cli())
        .subcommand(request::cli())
}

/// Runs the subcommand that was given.
///
/// # Errors
///
/// What it failed with.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("model", matches)) => model::exec(context, matches),
        Some(("request", matches)) => request::exec(context, matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
