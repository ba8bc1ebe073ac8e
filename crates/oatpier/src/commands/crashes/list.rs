//! `oatpier crashes list`: lists the requests and prompt parts suspected of crashing endpoints.

use clap::Command;

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::ops::crashes::{PlatformStore, SuspectRow};
use crate::ops::timestamp::format_timestamp;
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("list").about("List the suspected requests and prompt parts, barred ones first")
}

/// Prints the list.
///
/// # Errors
///
/// Returns an error if the store does not answer.
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
            format_timestamp(row.seen_ms / 1_000),
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
