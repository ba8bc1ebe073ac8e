//! `oatpier config`: the configuration, from a file to everywhere.

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

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("config")
        .about("Check, change and look at the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::cli())
        .subcommand(diff::cli())
        .subcommand(apply::cli())
        .subcommand(show::cli())
        .subcommand(history::cli())
        .subcommand(wait::cli())
}

/// Runs the subcommand that was given.
///
/// # Errors
///
/// What it failed with.
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

/// The configuration file that a command is about.
fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("The configuration, in TOML; `-` is stdin")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn file_of(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default()
}

/// A generation, where a command takes one.
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
        .map_err(|error| format!("{error}; write a number and a unit, such as 10s"))
}
