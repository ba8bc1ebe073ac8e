//! `oatpier config`: checks, applies and shows the configuration.

mod apply;
mod check;
mod diff;
mod history;
mod show;
mod wait;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use oatpier_types::ids::Generation;

use super::CommandResult;
use crate::context::CliContext;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("config")
        .about("Check, change and show the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::cli())
        .subcommand(diff::cli())
        .subcommand(apply::cli())
        .subcommand(show::cli())
        .subcommand(history::cli())
        .subcommand(wait::cli())
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("check", matches)) => check::exec(context, matches),
        Some(("diff", matches)) => diff::exec(context, matches),
        Some(("apply", matches)) => apply::exec(context, matches),
        Some(("show", matches)) => show::exec(context, matches),
        Some(("history", matches)) => history::exec(context, matches),
        Some(("wait", matches)) => wait::exec(context, matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

/// Returns the argument for the configuration file of a command.
fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Configuration file in TOML; `-` reads stdin")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn file_of(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default()
}

/// Returns the `--generation` argument with the given help text.
fn generation_arg(help: &'static str) -> Arg {
    Arg::new("generation")
        .long("generation")
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn generation_of(matches: &ArgMatches) -> Option<Generation> {
    matches
        .get_one::<u64>("generation")
        .copied()
        .map(Generation)
}

fn parse_time(raw: &str) -> Result<std::time::Duration, String> {
    humantime_serde::re::humantime::parse_duration(raw)
        .map_err(|error| format!("{error}; use a number and a unit, such as 10s"))
}
