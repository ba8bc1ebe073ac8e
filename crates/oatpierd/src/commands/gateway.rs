//! `oatpierd gateway`: runs a gateway.

use clap::{ArgMatches, Command};

use super::node::{node_args, run_node};
use crate::cli::{self, CommandFailure};

/// The text of `--help`.
const LONG_ABOUT: &str = "\
Runs a gateway: accepts callers' requests, sends each directly to an endpoint, and reports the outcome
to the caller.

Settings come from the platform's settings file. Metrics are at the last port of the range in it.
All log lines go to the standard output as JSON lines.

SIGTERM starts a planned stop: the process is no longer ready, asks callers to close their
connections, and exits when the last answer is complete.";

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("gateway")
        .about("Run a gateway")
        .long_about(LONG_ABOUT)
        .after_help(cli::EXIT_CODES)
        .args(node_args())
}

/// Runs the process until it is asked to stop and its last request is done.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or an address can't be listened on.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    run_node(matches, oatpier_gateway::gateway::start)
}
