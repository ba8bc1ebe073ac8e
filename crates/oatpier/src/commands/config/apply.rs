//! `oatpier config apply`: applies a configuration file.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use oatpier_types::config::capacity::check_capacity;
use oatpier_types::config::text::ConfigDocument;
use oatpier_types::ids::{ChangeId, Generation};

use super::{file_arg, file_of, parse_time};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::apply::{ApplyOutcome, ChangeRequest, apply_change};
use crate::ops::capacity_text::zone_warnings;
use crate::ops::files::read_config;
use crate::ops::timestamp::{new_change_id, unix_seconds};
use crate::ops::wait::wait_in_force;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("apply")
        .about("Apply a configuration file, merged with concurrent changes by other operators")
        .arg(file_arg())
        .args([
            Arg::new("message")
                .long("message")
                .short('m')
                .value_name("TEXT")
                .help("Reason for the change, recorded in the history")
                .default_value(""),
            Arg::new("base")
                .long("base")
                .value_name("N")
                .help("The generation that FILE is based on [default: its `based_on`]")
                .value_parser(value_parser!(u64)),
            Arg::new("change")
                .long("change")
                .value_name("ID")
                .help("Retry the change with this id, if it is not known whether it was accepted")
                .value_parser(parse_change),
            Arg::new("timeout")
                .long("timeout")
                .value_name("TIME")
                .help("How long to retry while the store is unavailable")
                .default_value("10s")
                .value_parser(parse_time),
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .help("Then wait up to this long until the change is in force everywhere")
                .value_parser(parse_time),
        ])
}

fn parse_change(raw: &str) -> Result<u128, String> {
    u128::from_str_radix(raw, 16)
        .map_err(|_| "the id of a change is a hexadecimal number of at most 32 digits".to_owned())
}

/// Applies the change and prints its generation.
///
/// # Errors
///
/// Returns an error if the file is invalid, the change is refused or conflicts with another one, or the store does
/// not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let path = file_of(matches);
    let document = read_config(&path)?;
    let report = check_capacity(&document.config);
    if !report.fits() {
        return Err(CommandError::InsufficientMemory { report });
    }
    for warning in zone_warnings(&report) {
        context.shell.warn(warning);
    }
    let request = request_of(context, matches, document)?;
    context.shell.status("Applying", path.display());
    let store = context.store()?;
    let limit = time_of(matches, "timeout").unwrap_or_default();
    let outcome = context.block_on(apply_change(store.as_ref(), &request, limit))?;
    report_outcome(context, &outcome);
    if request.base.is_none() && outcome.changed && outcome.base > Generation(0) {
        let base = outcome.base;
        let message = format!("the file has no `based_on`: it replaced all of generation {base}");
        context.shell.warn(message);
    }
    if let Some(limit) = time_of(matches, "wait") {
        wait(context, &outcome, limit)?;
    }
    context.answer(&outcome, || format!("{}\n", outcome.generation))
}

fn request_of(
    context: &CliContext,
    matches: &ArgMatches,
    document: ConfigDocument,
) -> Result<ChangeRequest, CommandError> {
    let base = matches.get_one::<u64>("base").copied().map(Generation);
    let base = base.or(document.based_on);
    let change = matches.get_one::<u128>("change").copied().map(ChangeId);
    if change.is_some() && base.is_none() {
        // The base tells whether the history is long enough to contain the earlier attempt.
        return Err(CommandError::Refused {
            message: "`--change` needs the generation that the earlier attempt was based on"
                .to_owned(),
            help: "add `--base N`, as the error of the earlier attempt shows".to_owned(),
        });
    }
    let message = matches.get_one::<String>("message");
    Ok(ChangeRequest {
        change: change.unwrap_or_else(new_change_id),
        is_retry: change.is_some(),
        base,
        wanted: document.config,
        operator: context.settings()?.operator.clone(),
        at: unix_seconds(),
        summary: message.cloned().unwrap_or_default(),
    })
}

fn time_of(matches: &ArgMatches, name: &str) -> Option<Duration> {
    matches.get_one::<Duration>(name).copied()
}

fn report_outcome(context: &CliContext, outcome: &ApplyOutcome) {
    let generation = outcome.generation;
    if !outcome.changed {
        let message = format!("generation {generation} already has this content");
        context.shell.status("Unchanged", message);
        return;
    }
    let message = format!("generation {generation} (change {})", outcome.change);
    context.shell.status("Accepted", message);
    if !outcome.concurrent.is_empty() {
        let message = format!("changes {} of others", outcome.concurrent.join(", "));
        context.shell.status("Beside", message);
    }
}

fn wait(context: &CliContext, outcome: &ApplyOutcome, limit: Duration) -> CommandResult {
    let entries = context.entries()?;
    let generation = outcome.generation;
    let waited = context.block_on(wait_in_force(&entries, generation, limit));
    let waited = waited.map_err(|error| CommandError::Partial {
        done: format!("generation {generation} is accepted"),
        source: Box::new(error),
    })?;
    let message = format!("generation {generation} on {} processes", waited.reached);
    context.shell.status("In force", message);
    Ok(())
}
