//! The command line of `oatpierd`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;

/// The exit code for settings that are not accepted.
pub const EXIT_SETTINGS: u8 = 2;
/// The exit code for a process that could not start.
pub const EXIT_FAILED: u8 = 1;

/// What `--help` says of exit codes.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  stopped as asked, or the settings are good
  1  could not start: an address can't be listened on
  2  wrong command line or settings";

/// Runs the command line of this process.
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

/// Why a command ended without success.
#[derive(Debug)]
pub struct CommandFailure {
    /// The process's exit code.
    pub code: u8,
    /// What the operator is told.
    pub report: miette::Report,
}

/// The whole command line.
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
/// What the command failed with.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    match matches.subcommand() {
        Some(("entry", matches)) => commands::entry::exec(matches),
        Some(("agent", matches)) => commands::agent::exec(matches),
        Some(("gateway", matches)) => commands::gateway::exec(matches),
        Some(("sidecar", matches)) => commands::sidecar::exec(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

/// The arguments that both commands take.
pub(crate) fn settings_args() -> [Arg; 2] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("The process's settings, in TOML; read once, at the start")
            .required(true)
            .value_parser(value_parser!(PathBuf)),
        Arg::new("check-settings")
            .long("check-settings")
            .help("Check the settings, name every error with its place and mend, and stop")
            .action(ArgAction::SetTrue),
    ]
}
