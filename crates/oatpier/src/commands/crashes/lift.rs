//! `oatpier crashes lift`: removes the recorded crashes of a request, so that it may run again.

use clap::{Arg, ArgMatches, Command};
use oatpier_serving::fingerprint::RequestFingerprint;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::crashes::PlatformStore;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("lift")
        .about("Remove the recorded crashes of a request, for example after an engine upgrade")
        .arg(
            Arg::new("fingerprint")
                .value_name("FINGERPRINT")
                .required(true),
        )
}

/// Removes the crashes of the request from the store.
///
/// # Errors
///
/// Returns an error if no crash of the request is recorded, or the store does not answer.
pub fn exec(context: &CliContext, store: &PlatformStore, matches: &ArgMatches) -> CommandResult {
    let raw = matches.get_one::<String>("fingerprint");
    let raw = raw.map_or("", String::as_str);
    let fingerprint = RequestFingerprint::try_from(raw).map_err(|error| CommandError::Refused {
        message: error.to_string(),
        help: "`oatpier crashes list` lists the fingerprints".to_owned(),
    })?;
    let crashes = context.block_on(store.lift(&fingerprint))?;
    context
        .shell
        .status("Lifted", format!("{fingerprint}, {crashes} crashes"));
    context.answer(&[raw], String::new)
}
