//! `oatpierd sidecar`: runs a sidecar.

use clap::{ArgMatches, Command};

use super::node::{node_args, run_node};
use crate::cli::{self, CommandFailure};

/// The text of `--help`.
const LONG_ABOUT: &str = "\
Runs a sidecar: the only process that sends commands to its local engine, and reports to gateways
which weights the engine has loaded.

Settings come from the platform's settings file. Metrics are at the last port of the range in it.
All log lines go to the standard output as JSON lines.

SIGTERM ends it at once: the engine completes the commands that it has received by itself.";

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("sidecar")
        .about("Run a sidecar")
        .long_about(LONG_ABOUT)
        .after_help(cli::EXIT_CODES)
        .args(node_args())
}

/// Runs the process until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or an address can't be listened on.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    run_node(matches, oatpier_gateway::sidecar::start)
}
