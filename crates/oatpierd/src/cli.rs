//! The command line of `oatpierd`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code for a process that could not start.
pub const EXIT_FAILED: u8 = 1;

/// The exit codes, for `--help`.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  stopped as requested, or the settings are valid
  1  could not start: an address can't be listened on
  2  invalid command line or settings";

/// Parses and runs the command line of this process, and returns its exit code.
#[must_use]
pub fn main() -> ExitCode {
    match exec(&cli().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{:?}", failure.report);
            ExitCode::from(failure.code)
        }
    }
}

/// The failure of a command.
#[derive(Debug)]
pub struct CommandFailure {
    /// The process's exit code.
    pub code: u8,
    /// The error report for the operator.
    pub report: miette::Report,
}

/// Returns the command line with all subcommands.
#[must_use]
pub fn cli() -> Command {
    Command::new("oatpierd")
        .about("Serves many models from fewer accelerators: the daemon")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(commands::entry::cli())
        .subcommand(commands::agent::cli())
        .subcommand(commands::gateway::cli())
        .subcommand(commands::sidecar::cli())
        .after_help(EXIT_CODES)
}

/// Runs a parsed command line.
///
/// # Errors
///
/// Returns the error of the command.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    match matches.subcommand() {
        Some(("entry", matches)) => commands::entry::exec(matches),
        Some(("agent", matches)) => commands::agent::exec(matches),
        Some(("gateway", matches)) => commands::gateway::exec(matches),
        Some(("sidecar", matches)) => commands::sidecar::exec(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

/// Returns the arguments that `entry` and `agent` share.
pub(crate) fn settings_args() -> [Arg; 2] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("Settings file in TOML, read once at startup")
            .required(true)
            .value_parser(value_parser!(PathBuf)),
        Arg::new("check-settings")
            .long("check-settings")
            .help("Check the settings, report every error with its position and a fix, and exit")
            .action(ArgAction::SetTrue),
    ]
}
