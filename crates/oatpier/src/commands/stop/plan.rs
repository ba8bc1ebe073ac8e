//! `oatpier stop plan`: plans graceful stops, which let running requests finish.

use std::collections::BTreeSet;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use oatpier_ports::store::KeyStore;
use oatpier_types::config::error::nearest_name;
use oatpier_types::names::{DaemonName, EndpointName, ZoneName};
use oatpier_types::operator::{DaemonState, StatusAnswer};
use serde::Serialize;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::record_store::read_record;
use crate::ops::stops::{PlannedStop, list_stops, plan_stop, unreachable_mib};
use crate::ops::timestamp::unix_seconds;

/// The answer that `--json` prints.
#[derive(Serialize)]
struct PlanAnswer {
    planned: Vec<String>,
    planned_before: Vec<String>,
    short_mib: u64,
}

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("plan")
        .about("Plan the graceful stop of a process, or of all processes in an availability zone")
        .args([
            Arg::new("name")
                .value_name("NAME")
                .help("Name of the process, as in `oatpier status`")
                .required_unless_present("zone")
                .conflicts_with("zone"),
            Arg::new("zone")
                .long("zone")
                .value_name("ZONE")
                .help("Stop all processes of this availability zone"),
            Arg::new("reason")
                .long("reason")
                .short('m')
                .value_name("TEXT")
                .help("Reason for the stop")
                .default_value(""),
            Arg::new("force")
                .long("force")
                .help("Plan the stop even if models become unreachable or no entry answers")
                .action(ArgAction::SetTrue)
                .value_parser(value_parser!(bool)),
        ])
}

/// Plans the stops, unless they would make models unreachable.
///
/// # Errors
///
/// Returns an error if there is no such process, models would become unreachable, or the store does not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let force = matches.get_flag("force");
    let status = fetch_status(context, matches, force)?;
    let names = names_of(matches, status.as_ref())?;
    let store = context.store()?;
    let unreachable = unreachable_after(store.as_ref(), &names, status.as_ref());
    let short_mib = context.block_on(unreachable)?;
    check_reachability(context, short_mib, force)?;
    let stop = PlannedStop {
        operator: context.settings()?.operator.clone(),
        at: unix_seconds(),
        reason: matches
            .get_one::<String>("reason")
            .cloned()
            .unwrap_or_default(),
    };
    let answer = PlanAnswer {
        planned: Vec::new(),
        planned_before: Vec::new(),
        short_mib,
    };
    let answer = plan_all(context, store.as_ref(), &names, &stop, answer)?;
    context.answer(&answer, String::new)
}

fn plan_all(
    context: &CliContext,
    store: &dyn KeyStore,
    names: &[DaemonName],
    stop: &PlannedStop,
    mut answer: PlanAnswer,
) -> Result<PlanAnswer, CommandError> {
    for name in names {
        match context.block_on(plan_stop(store, name, stop)) {
            Ok(true) => {
                context.shell.status("Planned", format!("stop of {name}"));
                answer.planned.push(name.to_string());
            }
            Ok(false) => {
                let message = format!("stop of {name} is planned already");
                context.shell.status("Unchanged", message);
                answer.planned_before.push(name.to_string());
            }
            Err(error) if answer.planned.is_empty() => return Err(error),
            Err(error) => {
                return Err(CommandError::Partial {
                    done: format!("planned the stops of {}", answer.planned.join(", ")),
                    source: Box::new(error),
                });
            }
        }
    }
    Ok(answer)
}

/// Returns the status from an entry. With `--force`, a single process can be stopped even if no entry answers.
fn fetch_status(
    context: &CliContext,
    matches: &ArgMatches,
    force: bool,
) -> Result<Option<StatusAnswer>, CommandError> {
    let entries = context.entries()?;
    match context.block_on(entries.status()) {
        Ok(status) => Ok(Some(status)),
        Err(_) if force && !matches.contains_id("zone") => Ok(None),
        Err(error) => Err(error),
    }
}

fn names_of(
    matches: &ArgMatches,
    status: Option<&StatusAnswer>,
) -> Result<Vec<DaemonName>, CommandError> {
    if let Some((zone, status)) = matches.get_one::<String>("zone").zip(status) {
        return zone_names(status, zone);
    }
    let raw = matches.get_one::<String>("name").map_or("", String::as_str);
    let name = DaemonName::try_from(raw).map_err(|error| CommandError::Refused {
        message: error.to_string(),
        help: "`oatpier status` lists the processes".to_owned(),
    })?;
    match status {
        Some(status) if status.daemons.iter().all(|row| row.name != name) => {
            Err(unknown_name(raw, status))
        }
        _ => Ok(vec![name]),
    }
}

fn zone_names(status: &StatusAnswer, zone: &str) -> Result<Vec<DaemonName>, CommandError> {
    let rows = status.daemons.iter();
    let names = rows
        .filter(|row| row.zone.as_str() == zone && row.state != DaemonState::Leaving)
        .map(|row| row.name.clone())
        .collect::<Vec<_>>();
    if names.is_empty() {
        let zones = status.daemons.iter().map(|row| &row.zone);
        return Err(CommandError::NotFound {
            kind: "process in availability zone",
            name: zone.to_owned(),
            nearest: nearest_name(zone, zones.map(ZoneName::as_str)),
        });
    }
    Ok(names)
}

fn unknown_name(name: &str, status: &StatusAnswer) -> CommandError {
    let names = status.daemons.iter().map(|row| row.name.as_str());
    CommandError::NotFound {
        kind: "process",
        name: name.to_owned(),
        nearest: nearest_name(name, names),
    }
}

/// Returns how many MiB of models and adapters become unreachable with these stops and those planned before.
async fn unreachable_after(
    store: &dyn KeyStore,
    names: &[DaemonName],
    status: Option<&StatusAnswer>,
) -> Result<u64, CommandError> {
    let record = read_record(store).await?.record;
    let planned = list_stops(store).await?;
    let planned = planned.iter().map(|row| &row.daemon);
    let leaving = names.iter().chain(planned);
    let leaving = leaving.map(|name| endpoint_of(name, status));
    Ok(unreachable_mib(
        &record.content,
        &leaving.collect::<BTreeSet<_>>(),
    ))
}

/// Returns the endpoint that leaves with a process, or the process's own name if no entry reports an endpoint.
fn endpoint_of<'a>(name: &'a DaemonName, status: Option<&'a StatusAnswer>) -> &'a str {
    let mut rows = status.into_iter().flat_map(|status| &status.daemons);
    let row = rows.find(|row| row.name == *name);
    let endpoint = row.and_then(|row| row.endpoint.as_ref());
    endpoint.map_or(name.as_str(), EndpointName::as_str)
}

fn check_reachability(context: &CliContext, short_mib: u64, force: bool) -> CommandResult {
    if short_mib == 0 {
        return Ok(());
    }
    let message =
        format!("with all planned stops, {short_mib} MiB of models and adapters do not fit");
    if force {
        context.shell.warn(message);
        return Ok(());
    }
    Err(CommandError::Refused {
        message,
        help: "add endpoints first, or use --force".to_owned(),
    })
}
