//! `oatpierd agent`: runs an agent.

use clap::{ArgMatches, Command};

use super::{duty_failure, read_settings, start_failure};
use crate::cli::{self, CommandFailure};
use oatpier_duty::duty::stop_on_signal;
use oatpier_duty::observe::logs;
use oatpier_duty::settings::AgentSettings;

/// What `--help` says.
const LONG_ABOUT: &str = "\
Runs an agent: the only way to the one endpoint beside it, an engine or a plain service.

Entries connect to `listen.peers`. Metrics and health are at `listen.observe`: /metrics, /live and
/ready. Log lines go to the standard error, spans to the standard output, as JSON lines.

SIGTERM and SIGINT start a planned stop: new work is refused and goes to other endpoints, and the
process ends when the last call at its endpoint is over.";

/// The command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("agent")
        .about("Run an agent")
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
    let settings: AgentSettings = read_settings(matches)?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are good", settings.name);
        return Ok(());
    }
    logs::install_on_stderr(&settings.name);
    let process = oatpier_agent::start(&settings).map_err(start_failure)?;
    stop_on_signal(&process.stop);
    process.join().map_err(duty_failure)
}
