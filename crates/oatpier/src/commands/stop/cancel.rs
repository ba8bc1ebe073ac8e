//! `oatpier stop cancel`: withdraws a planned stop.

use clap::{Arg, ArgMatches, Command};
use oatpier_types::names::DaemonName;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::stops::cancel_stop;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("cancel")
        .about("Withdraw a planned stop; a process that has already exited is not restarted")
        .arg(Arg::new("name").value_name("NAME").required(true))
}

/// Withdraws the planned stop.
///
/// # Errors
///
/// Returns an error if no such stop is planned, or the store does not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let raw = matches.get_one::<String>("name").map_or("", String::as_str);
    let name = DaemonName::try_from(raw).map_err(|error| CommandError::Refused {
        message: error.to_string(),
        help: "`oatpier stop list` lists the planned stops".to_owned(),
    })?;
    let store = context.store()?;
    context.block_on(cancel_stop(store.as_ref(), &name))?;
    context.shell.status("Withdrawn", format!("stop of {name}"));
    context.answer(&[name.as_str()], String::new)
}
