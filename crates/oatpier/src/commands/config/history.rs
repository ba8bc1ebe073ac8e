//! `oatpier config history`: who changed what, and when.

use clap::{ArgMatches, Command};
use oatpier_types::config::record::ConfigChange;

use super::{diff, generation_arg, generation_of};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::record_store::read_record;
use crate::ops::stamp::stamp_text;
use crate::shell::table;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("history")
        .about("List the last changes, newest first, or what one of them changed")
        .arg(generation_arg("Show what the change that made it changed"))
}

/// Reads the record and prints its changes.
///
/// # Errors
///
/// The generation is not known, or the store did not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let store = context.store()?;
    let record = context.block_on(read_record(store.as_ref()))?.record;
    let Some(wanted) = generation_of(matches) else {
        let changes = record.recent.iter().rev().collect::<Vec<_>>();
        return context.answer(&changes, || list_text(&changes));
    };
    let change = record.recent.iter().find(|row| row.generation == wanted);
    let change = change.ok_or_else(|| CommandError::NotFound {
        kind: "remembered change to generation",
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
            stamp_text(change.at),
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
        || "its edits are no longer remembered\n".to_owned(),
        |edits| diff::text(edits),
    );
    format!("{}\n{edits}", list_text(&[change]))
}
