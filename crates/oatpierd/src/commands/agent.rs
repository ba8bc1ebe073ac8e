//! `oatpierd agent`: runs an agent.

use clap::{ArgMatches, Command};

use super::{duty_failure, read_settings, start_failure};
use crate::cli::{self, CommandFailure};
use oatpier_duty::duty::stop_on_signal;
use oatpier_duty::observe::logs;
use oatpier_duty::settings::AgentSettings;

/// The text of `--help`.
const LONG_ABOUT: &str = "\
Runs an agent: the proxy through which all requests reach its local endpoint, an engine or a plain
service.

Entries connect to `listen.peers`. Metrics and health are at `listen.observe`: /metrics, /live and
/ready. Log lines go to the standard error, spans to the standard output, as JSON lines.

SIGTERM and SIGINT start a planned stop: new requests are refused and go to other endpoints, and the
process exits when the last call at its endpoint is done.";

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("agent")
        .about("Run an agent")
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
    let settings: AgentSettings = read_settings(matches)?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are valid", settings.name);
        return Ok(());
    }
    logs::install_on_stderr(&settings.name);
    let process = oatpier_agent::start(&settings).map_err(start_failure)?;
    stop_on_signal(&process.stop);
    process.join().map_err(duty_failure)
}
