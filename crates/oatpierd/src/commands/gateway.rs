//! `oatpierd gateway`: runs a gateway.

use clap::{ArgMatches, Command};

use super::node::{node_args, run_node};
use crate::cli::{self, CommandFailure};

/// What `--help` says.
const LONG_ABOUT: &str = "\
Runs a gateway: takes callers' requests, sends each straight to an endpoint, and answers for the
outcome.

Settings come from the platform's settings file. Metrics are at the last port of the range in it.
All log lines go to the standard output as JSON lines.

SIGTERM starts a planned stop: the process is no longer ready, tells callers to close their
connections, and ends when the last answer is whole.";

/// The command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("gateway")
        .about("Run a gateway")
        .long_about(LONG_ABOUT)
        .after_help(cli::EXIT_CODES)
        .args(node_args())
}

/// Runs the process until it is told to stop and its last request is done.
///
/// # Errors
///
/// Settings that are not accepted, or an address that can't be listened on.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    run_node(matches, oatpier_gateway::gateway::start)
}
