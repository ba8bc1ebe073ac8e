//! `oatpierd sidecar`: runs a sidecar.

use clap::{ArgMatches, Command};

use super::node::{node_args, run_node};
use crate::cli::{self, CommandFailure};

/// What `--help` says.
const LONG_ABOUT: &str = "\
Runs a sidecar: the only process that gives the engine beside it orders, and tells gateways what the
engine holds.

Settings come from the platform's settings file. Metrics are at the last port of the range in it.
All log lines go to the standard output as JSON lines.

SIGTERM ends it at once: the engine carries out what it was ordered by itself.";

/// The command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("sidecar")
        .about("Run a sidecar")
        .long_about(LONG_ABOUT)
        .after_help(cli::EXIT_CODES)
        .args(node_args())
}

/// Runs the process until it is told to stop.
///
/// # Errors
///
/// Settings that are not accepted, or an address that can't be listened on.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    run_node(matches, oatpier_gateway::sidecar::start)
}
