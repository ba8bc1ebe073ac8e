//! `oatpier explain model`: shows why a model or an adapter is placed where it is.

use clap::{Arg, ArgMatches, Command};
use oatpier_types::config::error::nearest_name;
use oatpier_types::names::ModelName;
use oatpier_types::operator::{ExplainModel, ReplicaRow};

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::entries::EntryClient;
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("model")
        .about("Show why a model or an adapter is placed where it is")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .help("Name of the model or adapter, as in requests")
                .required(true),
        )
}

/// Asks an entry for the reasons and prints them.
///
/// # Errors
///
/// Returns an error if there is no such model or adapter, or no entry answers.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let found = ModelName::try_from(name).map_err(|error| CommandError::Refused {
        message: error.to_string(),
        help: "`oatpier status` lists the models".to_owned(),
    })?;
    let entries = context.entries()?;
    let answer = context.block_on(entries.explain_model(found.as_str()))?;
    match answer {
        Some(answer) => context.answer(&answer, || text(&answer)),
        None => Err(context.block_on(not_found(&entries, name))),
    }
}

async fn not_found(entries: &EntryClient, name: &str) -> CommandError {
    let status = entries.status().await.unwrap_or_default();
    let models = status.models.iter().map(|row| row.model.as_str());
    CommandError::NotFound {
        kind: "model or adapter",
        name: name.to_owned(),
        nearest: nearest_name(name, models),
    }
}

fn text(answer: &ExplainModel) -> String {
    let what = answer.adapter.as_ref().map_or_else(
        || format!("model {}", answer.model),
        |adapter| format!("adapter {adapter} on model {}", answer.model),
    );
    let rows = answer.replicas.iter().map(replica_cells);
    let rows = rows.collect::<Vec<_>>();
    let head = [
        "ENDPOINT", "ZONE", "READY", "PLANNED", "QUEUED", "RUNNING", "REASON",
    ];
    let reasons = answer.reasons.iter().map(|reason| reason.clone() + "\n");
    format!(
        "{what}, version {}, pool {}\n\n{}\n{}",
        answer.version,
        answer.pool,
        table(&head, &rows),
        reasons.collect::<String>()
    )
}

fn replica_cells(row: &ReplicaRow) -> Vec<String> {
    let ready = row.ready.as_ref();
    vec![
        row.endpoint.to_string(),
        row.zone.to_string(),
        ready.map_or_else(|| "-".to_owned(), ToString::to_string),
        if row.planned { "yes" } else { "no" }.to_owned(),
        row.queued.to_string(),
        row.running.to_string(),
        row.reason.clone(),
    ]
}
