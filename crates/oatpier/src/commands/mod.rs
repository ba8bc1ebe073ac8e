//! The subcommands, one file each: `cli` declares the arguments, `exec` runs the subcommand.

pub mod completions;
pub mod config;
pub mod crashes;
pub mod explain;
pub mod limits;
pub mod logs;
pub mod status;
pub mod stop;

use clap::{ArgMatches, Command};

use crate::context::CliContext;
use crate::error::CommandError;

/// The result of a subcommand.
pub type CommandResult = Result<(), CommandError>;

/// Returns the clap definitions of all subcommands.
#[must_use]
pub fn all() -> Vec<Command> {
    vec![
        config::cli(),
        stop::cli(),
        status::cli(),
        explain::cli(),
        logs::cli(),
        crashes::cli(),
        limits::cli(),
        completions::cli(),
    ]
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("config", matches)) => config::exec(context, matches),
        Some(("stop", matches)) => stop::exec(context, matches),
        Some(("status", _)) => status::exec(context),
        Some(("explain", matches)) => explain::exec(context, matches),
        Some(("logs", matches)) => logs::exec(context, matches),
        Some(("crashes", matches)) => crashes::exec(context, matches),
        Some(("limits", matches)) => limits::exec(context, matches),
        Some(("completions", matches)) => completions::exec(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
