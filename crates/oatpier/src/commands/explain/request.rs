//! `oatpier explain request`: shows what happened to a request, and why.

use clap::{Arg, ArgMatches, Command};
use oatpier_types::operator::{ExplainRequest, RequestStep};

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::shell::table;

/// Length of a request id, in hex digits.
const ID_DIGITS: usize = 32;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("request")
        .about("Show what happened to a request, and why")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("Id of the request: 32 hex digits, as in its answer and in the logs")
                .required(true)
                .value_parser(parse_id),
        )
}

fn parse_id(raw: &str) -> Result<String, String> {
    let hex = raw.bytes().all(|byte| byte.is_ascii_hexdigit());
    if hex && raw.len() == ID_DIGITS {
        Ok(raw.to_ascii_lowercase())
    } else {
        Err(format!("a request id has {ID_DIGITS} hex digits"))
    }
}

/// Asks the entries for the steps of the request and prints them.
///
/// # Errors
///
/// Returns an error if no entry has a record of the request, or none answers.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let entries = context.entries()?;
    let answer = context.block_on(entries.explain_request(id))?;
    let answer = answer.ok_or_else(|| CommandError::NotFound {
        kind: "record of request",
        name: id.to_owned(),
        nearest: None,
    })?;
    context.answer(&answer, || text(&answer))
}

fn text(answer: &ExplainRequest) -> String {
    let rows = answer.steps.iter().map(step_cells).collect::<Vec<_>>();
    let refusal = answer
        .refusal
        .map(|cause| format!(", refused: {}", cause.as_str()));
    let in_time = match answer.in_time {
        Some(true) => ", in time",
        Some(false) => ", late",
        None => "",
    };
    format!(
        "request {}, class {}, {}{}{in_time}\n\n{}",
        answer.request,
        answer.class,
        answer.verdict,
        refusal.unwrap_or_default(),
        table(&["AFTER MS", "HOP", "ENDPOINT", "DETAIL"], &rows)
    )
}

fn step_cells(step: &RequestStep) -> Vec<String> {
    let endpoint = step.endpoint.as_ref();
    vec![
        format!("{}.{:03}", step.after_us / 1_000, step.after_us % 1_000),
        step.hop.clone(),
        endpoint.map_or_else(|| "-".to_owned(), ToString::to_string),
        step.detail.clone(),
    ]
}
