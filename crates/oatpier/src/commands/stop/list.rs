//! `oatpier stop list`: lists the planned stops.

use clap::Command;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::ops::stops::{StopRow, list_stops};
use crate::ops::timestamp::format_timestamp;
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("list").about("List the planned stops")
}

/// Prints the list.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub fn exec(context: &CliContext) -> CommandResult {
    let store = context.store()?;
    let rows = context.block_on(list_stops(store.as_ref()))?;
    context.answer(&rows, || text(&rows))
}

fn text(rows: &[StopRow]) -> String {
    let cells = rows.iter().map(|row| {
        let stop = row.stop.as_ref();
        vec![
            row.daemon.to_string(),
            stop.map_or_else(|| "-".to_owned(), |stop| format_timestamp(stop.at)),
            stop.map_or_else(|| "-".to_owned(), |stop| stop.operator.clone()),
            stop.map_or_else(String::new, |stop| stop.reason.clone()),
        ]
    });
    let head = ["DAEMON", "PLANNED", "OPERATOR", "REASON"];
    table(&head, &cells.collect::<Vec<_>>())
}
