//! `oatpier config apply`: makes a file the configuration.

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
use crate::ops::files::read_config;
use crate::ops::reach_text::zone_warnings;
use crate::ops::stamp::{new_change, unix_seconds};
use crate::ops::wait::wait_in_force;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("apply")
        .about("Make a file the configuration, beside what others changed meanwhile")
        .arg(file_arg())
        .args([
            Arg::new("message")
                .long("message")
                .short('m')
                .value_name("TEXT")
                .help("What the change is for, for the history")
                .default_value(""),
            Arg::new("base")
                .long("base")
                .value_name("N")
                .help("The generation that FILE was made from [default: its `based_on`]")
                .value_parser(value_parser!(u64)),
            Arg::new("change")
                .long("change")
                .value_name("ID")
                .help("Try a change again of which it is not known whether it was accepted")
                .value_parser(parse_change),
            Arg::new("timeout")
                .long("timeout")
                .value_name("TIME")
                .help("How long to try while the store is away")
                .default_value("10s")
                .value_parser(parse_time),
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .help("Then wait until it is in force everywhere, at most so long")
                .value_parser(parse_time),
        ])
}

fn parse_change(raw: &str) -> Result<u128, String> {
    u128::from_str_radix(raw, 16).map_err(|_| "a change's id has 32 hex digits".to_owned())
}

/// Makes the change and prints its generation.
///
/// # Errors
///
/// The file is wrong, the change is refused or clashes, or the store did not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let path = file_of(matches);
    let document = read_config(&path)?;
    let report = check_capacity(&document.config);
    if !report.fits() {
        return Err(CommandError::Unreachable { report });
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
        let message = format!("the file names no `based_on`: it replaced all of generation {base}");
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
        // Without it nobody can tell whether the history reaches back to the earlier try.
        return Err(CommandError::Refused {
            message: "`--change` needs the generation that the earlier try began from".to_owned(),
            mend: "add `--base N` as the earlier try said".to_owned(),
        });
    }
    let message = matches.get_one::<String>("message");
    Ok(ChangeRequest {
        change: change.unwrap_or_else(new_change),
        tried: change.is_some(),
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
        let message = format!("generation {generation} is so already");
        context.shell.status("Unchanged", message);
        return;
    }
    let message = format!("generation {generation} (change {})", outcome.change);
    context.shell.status("Accepted", message);
    if !outcome.beside.is_empty() {
        let message = format!("changes {} of others", outcome.beside.join(", "));
        context.shell.status("Beside", message);
    }
}

fn wait(context: &CliContext, outcome: &ApplyOutcome, limit: Duration) -> CommandResult {
    let entries = context.entries()?;
    let generation = outcome.generation;
    let waited = context.block_on(wait_in_force(&entries, generation, limit));
    let waited = waited.map_err(|error| CommandError::Partly {
        done: format!("generation {generation} is accepted"),
        source: Box::new(error),
    })?;
    let message = format!("generation {generation} at {} processes", waited.reached);
    context.shell.status("In force", message);
    Ok(())
}
