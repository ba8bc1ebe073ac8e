//! `oatpierd entry`: runs an entry.

use clap::{ArgMatches, Command};

use super::{duty_failure, read_settings, start_failure};
use crate::cli::{self, CommandFailure};
use oatpier_duty::duty::stop_on_signal;
use oatpier_duty::observe::logs;
use oatpier_duty::settings::EntrySettings;

/// What `--help` says.
const LONG_ABOUT: &str = "\
Runs an entry: takes callers' requests, chooses an endpoint for each, and answers for the
outcome.

Callers use /v1/chat/completions, /v1/completions, /v1/models and /services/NAME/... at
`listen.callers`. Metrics and health are at `listen.observe`: /metrics, /live and /ready. Log
lines go to the standard error, spans to the standard output, as JSON lines.

SIGTERM and SIGINT start a planned stop: /ready says 503 for `stop_notice`, then new requests are
refused, and the process ends when the last answer is whole.";

/// The command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("entry")
        .about("Run an entry")
        .long_about(LONG_ABOUT)
        .after_help(cli::EXIT_CODES)
        .args(cli::settings_args())
}

/// Runs the process until it is told to stop and its last request is done.
///
/// # Errors
///
/// Settings that are not accepted, or an address that can't be listened on.
pub fn exec(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let settings: EntrySettings = read_settings(matches)?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are good", settings.name);
        return Ok(());
    }
    logs::install_on_stderr(&settings.name);
    let process = oatpier_entry::start(&settings).map_err(start_failure)?;
    stop_on_signal(&process.stop);
    process.join().map_err(duty_failure)
}
