//! `oatpier config history`: lists who changed what, and when.

use clap::{ArgMatches, Command};
use oatpier_types::config::record::ConfigChange;

use super::{diff, generation_arg, generation_of};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::record_store::read_record;
use crate::ops::timestamp::format_timestamp;
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("history")
        .about("List the recent changes, newest first, or show the edits of one of them")
        .arg(generation_arg(
            "Show the edits of the change that made this generation",
        ))
}

/// Reads the configuration record and prints its changes.
///
/// # Errors
///
/// Returns an error if the generation is unknown or the store does not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let store = context.store()?;
    let record = context.block_on(read_record(store.as_ref()))?.record;
    let Some(wanted) = generation_of(matches) else {
        let changes = record.recent.iter().rev().collect::<Vec<_>>();
        return context.answer(&changes, || list_text(&changes));
    };
    let change = record.recent.iter().find(|row| row.generation == wanted);
    let change = change.ok_or_else(|| CommandError::NotFound {
        kind: "change in the history that made generation",
        name: wanted.to_string(),
        nearest: None,
    })?;
    context.answer(change, || change_text(change))
}

fn list_text(changes: &[&ConfigChange]) -> String {
    let rows = changes.iter().map(|change| {
        let edits = change.edits.as_ref();
        vec![
            change.generation.to_string(),
            format_timestamp(change.at),
            change.operator.clone(),
            edits.map_or_else(|| "-".to_owned(), |edits| edits.len().to_string()),
            change.summary.clone(),
            change.change.to_string(),
        ]
    });
    let head = [
        "GENERATION",
        "WHEN",
        "OPERATOR",
        "EDITS",
        "SUMMARY",
        "CHANGE",
    ];
    table(&head, &rows.collect::<Vec<_>>())
}

fn change_text(change: &ConfigChange) -> String {
    let edits = change.edits.as_ref();
    let edits = edits.map_or_else(
        || "its edits are no longer in the history\n".to_owned(),
        |edits| diff::text(edits),
    );
    format!("{}\n{edits}", list_text(&[change]))
}
