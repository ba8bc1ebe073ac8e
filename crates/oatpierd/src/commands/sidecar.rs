//! `oatpierd sidecar`: runs a sidecar.

use clap::{ArgMatches, Command};
use oatpier_duty::duty::stop_on_signal;
use oatpier_duty::observe::logs;

use super::node::{node_args, read_node, settings_source};
use super::{duty_failure, start_failure};
use crate::cli::{self, CommandFailure};

/// What `--help` says.
const LONG_ABOUT: &str = "\
Runs a sidecar: the only process that gives the engine beside it orders, and tells gateways what the
engine holds.

Settings come from the platform's settings file. Metrics are at the last port of the range in it.
Decisions go to the standard output as JSON lines, other log lines to the standard error.

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
    let Some(settings) = read_node(matches)? else {
        return Ok(());
    };
    logs::install(&settings.name);
    let process = oatpier_gateway::sidecar::start(&settings, settings_source(matches))
        .map_err(start_failure)?;
    stop_on_signal(&process.stop);
    process.join().map_err(duty_failure)
}
