//! `oatpier stop list`: the planned stops.

use clap::Command;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::ops::stamp::stamp_text;
use crate::ops::stops::{StopRow, list_stops};
use crate::shell::table;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("list").about("List the planned stops")
}

/// Lists them.
///
/// # Errors
///
/// The store did not answer.
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
            stop.map_or_else(|| "-".to_owned(), |stop| stamp_text(stop.at)),
            stop.map_or_else(|| "-".to_owned(), |stop| stop.operator.clone()),
            stop.map_or_else(String::new, |stop| stop.reason.clone()),
        ]
    });
    let head = ["DAEMON", "PLANNED", "OPERATOR", "REASON"];
    table(&head, &cells.collect::<Vec<_>>())
}
