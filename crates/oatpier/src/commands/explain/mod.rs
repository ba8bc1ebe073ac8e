//! `oatpier explain`: shows the reasons for placements and the course of requests.

mod model;
mod request;

use clap::{ArgMatches, Command};

use super::CommandResult;
use crate::context::CliContext;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("explain")
        .about("Show why a model is placed where it is, or what happened to a request")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(model::cli())
        .subcommand(request::cli())
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("model", matches)) => model::exec(context, matches),
        Some(("request", matches)) => request::exec(context, matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
