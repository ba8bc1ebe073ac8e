//! `oatpierd entry`: runs an entry.

use clap::{ArgMatches, Command};

use super::{duty_failure, read_settings, start_failure};
use crate::cli::{self, CommandFailure};
use oatpier_duty::duty::stop_on_signal;
use oatpier_duty::observe::logs;
use oatpier_duty::settings::EntrySettings;

/// The text of `--help`.
const LONG_ABOUT: &str = "\
Runs an entry: accepts callers' requests, chooses an endpoint for each, and reports the outcome
to the caller.

Callers use /v1/chat/completions, /v1/completions, /v1/models and /services/NAME/... at
`listen.callers`. Metrics and health are at `listen.observe`: /metrics, /live and /ready. Log
lines go to the standard error, spans to the standard output, as JSON lines.

SIGTERM and SIGINT start a planned stop: /ready answers 503 for `stop_notice`, then new requests are
refused, and the process exits when the last answer is complete.";

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("entry")
        .about("Run an entry")
        .long_about(LONG_ABOUT)
        .after_help(cli::EXIT_CODES)
        .args(cli::settings_args())
}

/// Runs the process until it is asked to stop and its last request is done.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or an address can't be listened on.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let settings: EntrySettings = read_settings(matches)?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are valid", settings.name);
        return Ok(());
    }
    logs::install_on_stderr(&settings.name);
    let process = oatpier_entry::start(&settings).map_err(start_failure)?;
    stop_on_signal(&process.stop);
    process.join().map_err(duty_failure)
}
