//! `oatpier completions`: prints a completion script for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use super::CommandResult;
use crate::error::CommandError;
use crate::shell::print_text;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Prints the completion script.
///
/// # Errors
///
/// Returns an error if writing to stdout fails.
pub fn exec(matches: &ArgMatches) -> CommandResult {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell = shell.unwrap_or(Shell::Bash);
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut crate::cli::cli(), "oatpier", &mut text);
    let text = String::from_utf8_lossy(&text);
    print_text(&text).map_err(|source| CommandError::System { source })
}
