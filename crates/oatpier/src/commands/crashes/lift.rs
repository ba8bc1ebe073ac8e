//! `oatpier crashes lift`: removes the recorded crashes of a request or a prompt part, so that it may run again.

use clap::{Arg, ArgMatches, Command};

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::crashes::{PlatformStore, SuspectName};

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("lift")
        .about("Remove the recorded crashes of a request or a prompt part, for example after an engine upgrade")
        .arg(
            Arg::new("fingerprint")
                .value_name("FINGERPRINT")
                .help("Fingerprint of a request, or `part:` and the id of a prompt part")
                .required(true),
        )
}

/// Removes the crashes of the request or prompt part from the store.
///
/// # Errors
///
/// Returns an error if no crash of it is recorded, or the store does not answer.
pub fn exec(context: &CliContext, store: &PlatformStore, matches: &ArgMatches) -> CommandResult {
    let raw = matches.get_one::<String>("fingerprint");
    let raw = raw.map_or("", String::as_str);
    let name = SuspectName::try_from(raw).map_err(|error| CommandError::Refused {
        message: error.to_string(),
        help: "`oatpier crashes list` lists the fingerprints and prompt parts".to_owned(),
    })?;
    let crashes = context.block_on(store.lift(&name))?;
    context
        .shell
        .status("Lifted", format!("{name}, {crashes} crashes"));
    context.answer(&[raw], String::new)
}
