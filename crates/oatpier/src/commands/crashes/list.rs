//! `oatpier crashes list`: the requests under suspicion.

use clap::Command;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::ops::crashes::{PlatformStore, SuspectRow};
use crate::ops::stamp::stamp_text;
use crate::shell::table;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("list").about("List the requests, those that are barred first")
}

/// Lists them.
///
/// # Errors
///
/// The store did not answer.
pub fn exec(context: &CliContext, store: &PlatformStore) -> CommandResult {
    let rows = context.block_on(store.suspects())?;
    context.answer(&rows, || text(&rows))
}

fn text(rows: &[SuspectRow]) -> String {
    let cells = rows.iter().map(|row| {
        let standing = if row.barred { "barred" } else { "suspect" };
        vec![
            row.fingerprint.clone(),
            standing.to_owned(),
            row.host.clone(),
            row.route.clone(),
            stamp_text(row.seen_ms / 1_000),
            row.endpoints.join(","),
        ]
    });
    let head = [
        "FINGERPRINT",
        "STANDING",
        "HOST",
        "ROUTE",
        "LAST CRASH",
        "ENDPOINTS",
    ];
    table(&head, &cells.collect::<Vec<_>>())
}
