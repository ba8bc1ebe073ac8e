//! `oatpier logs summary`: shows who was served late or refused in a period, where and why.

use clap::{ArgMatches, Command};

use super::super::CommandResult;
use crate::context::CliContext;
use crate::ops::log_summary::{LogSummary, NamedCounts, RefusalSummary, SummaryBuilder};
use crate::shell::table;

/// Name of the subcommand.
pub const NAME: &str = "summary";

/// Number of endpoints and of refusal causes in the tables. The JSON output has all of them.
const MAX_ROWS: usize = 20;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new(NAME)
        .about("Show who was served late or refused, where and why, over all log files")
        .arg(super::files())
}

/// Reads the logs and prints their summary.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let mut builder = SummaryBuilder::default();
    super::read_files(matches, |input| builder.read(input))?;
    let summary = builder.finish();
    context.answer(&summary, || text(&summary))
}

fn text(summary: &LogSummary) -> String {
    let endpoints = &summary.endpoints[..summary.endpoints.len().min(MAX_ROWS)];
    let mut tables = vec![counts_table("ROUTE", &summary.routes)];
    if !summary.workspaces.is_empty() {
        tables.push(counts_table("WORKSPACE", &summary.workspaces));
    }
    tables.push(counts_table("ENDPOINT", endpoints));
    tables.push(refusals_table(&summary.refusals));
    if summary.lines_left_out > 0 {
        tables.push(format!(
            "{} lines, mostly about successes, were left out by the processes\n",
            summary.lines_left_out
        ));
    }
    tables.join("\n")
}

fn counts_table(name: &str, rows: &[NamedCounts]) -> String {
    let cells = rows.iter().map(|row| {
        let counts = &row.counts;
        vec![
            row.name.clone(),
            counts.answered.to_string(),
            counts.late_start.to_string(),
            counts.late_pause.to_string(),
            counts.refused.to_string(),
        ]
    });
    table(
        &[name, "ANSWERED", "LATE START", "LATE PAUSE", "REFUSED"],
        &cells.collect::<Vec<_>>(),
    )
}

fn refusals_table(rows: &[RefusalSummary]) -> String {
    let cells = rows.iter().take(MAX_ROWS).map(|row| {
        let returns = row.return_ms.map(|ms| format!("{ms:.0}"));
        vec![
            row.route.clone(),
            row.cause.clone(),
            row.requests.to_string(),
            row.with_free_slots.to_string(),
            format!("{:.0}", row.waited_ms),
            returns.unwrap_or_else(|| "-".to_owned()),
        ]
    });
    table(
        &[
            "ROUTE",
            "CAUSE",
            "REQUESTS",
            "FREE SLOTS",
            "WAITED MS",
            "RETURN MS",
        ],
        &cells.collect::<Vec<_>>(),
    )
}
