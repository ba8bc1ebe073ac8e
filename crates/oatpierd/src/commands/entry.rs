//! `oatpierd entry`: runs an entry.

use clap::{ArgMatches, Command};

use super::{read_settings, start_failure};
use crate::cli::{self, CommandFailure};
use oatpier_duty::duty::stop_on_signal;
use oatpier_duty::observe::logs;
use oatpier_duty::settings::EntrySettings;

/// The command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("entry")
        .about("Runs an entry")
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
    logs::install(&settings.name);
    let process = oatpier_entry::start(&settings).map_err(start_failure)?;
    stop_on_signal(&process.stop);
    process.join();
    Ok(())
}
