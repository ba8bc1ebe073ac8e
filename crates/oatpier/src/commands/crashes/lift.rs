//! `oatpier crashes lift`: lets a request run again.

use clap::{Arg, ArgMatches, Command};
use oatpier_serving::fingerprint::RequestFingerprint;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::crashes::PlatformStore;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("lift")
        .about("Forget what is held against a request, as after a new version of the engines")
        .arg(
            Arg::new("fingerprint")
                .value_name("FINGERPRINT")
                .required(true),
        )
}

/// Lifts it.
///
/// # Errors
///
/// Nothing is held against it, or the store did not answer.
pub fn exec(context: &CliContext, store: &PlatformStore, matches: &ArgMatches) -> CommandResult {
    let raw = matches.get_one::<String>("fingerprint");
    let raw = raw.map_or("", String::as_str);
    let fingerprint = RequestFingerprint::try_from(raw).map_err(|error| CommandError::Refused {
        message: error.to_string(),
        mend: "`oatpier crashes list` lists the fingerprints".to_owned(),
    })?;
    let crashes = context.block_on(store.lift(&fingerprint))?;
    context
        .shell
        .status("Lifted", format!("{fingerprint}, {crashes} crashes"));
    context.answer(&[raw], String::new)
}
