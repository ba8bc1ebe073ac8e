//! `oatpier status`: shows the state of processes, models and classes.

use clap::Command;
use oatpier_types::operator::{DaemonRow, ModelRow, StatusAnswer};

use super::CommandResult;
use crate::context::CliContext;
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("status")
        .about("Show the processes, the models and how far the classes meet their targets")
}

/// Asks an entry for the status and prints it.
///
/// # Errors
///
/// Returns an error if no entry answers.
pub fn exec(context: &CliContext) -> CommandResult {
    let entries = context.entries()?;
    let answer = context.block_on(entries.status())?;
    context.answer(&answer, || text(&answer))
}

fn text(answer: &StatusAnswer) -> String {
    let daemons = answer.daemons.iter().map(daemon_cells).collect::<Vec<_>>();
    let models = answer.models.iter().map(model_cells).collect::<Vec<_>>();
    let classes = answer.attainment.iter().map(|row| {
        let attained = row.attained.map(|share| format!("{share:.4}"));
        vec![
            row.class.to_string(),
            row.target.to_string(),
            attained.unwrap_or_else(|| "-".to_owned()),
            row.requests.to_string(),
        ]
    });
    let planner = answer.planner.holder.as_ref();
    let planner = planner.map_or_else(|| "none known".to_owned(), ToString::to_string);
    let store = if answer.store.available {
        "available"
    } else {
        "away"
    };
    [
        table(
            &["DAEMON", "DUTY", "ZONE", "GENERATION", "STATE", "HEARD MS"],
            &daemons,
        ),
        table(&["MODEL", "VERSION", "READY", "ZONES"], &models),
        table(
            &["CLASS", "TARGET", "ATTAINED", "REQUESTS"],
            &classes.collect::<Vec<_>>(),
        ),
        format!(
            "planner: {planner}\nstore: {store}\nmoves: {} loads, {} unloads, {} role changes\n",
            answer.moves.loads, answer.moves.unloads, answer.moves.role_changes
        ),
    ]
    .join("\n")
}

fn daemon_cells(row: &DaemonRow) -> Vec<String> {
    vec![
        row.name.to_string(),
        serialized_name(&row.duty),
        row.zone.to_string(),
        row.generation.to_string(),
        serialized_name(&row.state),
        row.heard_ms.to_string(),
    ]
}

fn model_cells(row: &ModelRow) -> Vec<String> {
    let zones = row.zones.iter().map(ToString::to_string);
    vec![
        row.model.to_string(),
        row.version.to_string(),
        row.ready.to_string(),
        zones.collect::<Vec<_>>().join(","),
    ]
}

/// Returns the name that a value has in the JSON answer.
fn serialized_name<T: serde::Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).ok();
    let name = value.as_ref().and_then(serde_json::Value::as_str);
    name.unwrap_or("?").to_owned()
}
