//! `oatpier explain request`: what became of a request, and why.

use clap::{Arg, ArgMatches, Command};
use oatpier_types::operator::{ExplainRequest, RequestStep};

use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::shell::table;

/// The length of a request's id, in hex digits.
const ID_DIGITS: usize = 32;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("request")
        .about("Say what became of a request, and why")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("The request's id: 32 hex digits, as in its answer and in the logs")
                .required(true)
                .value_parser(parse_id),
        )
}

fn parse_id(raw: &str) -> Result<String, String> {
    let hex = raw.bytes().all(|byte| byte.is_ascii_hexdigit());
    if hex && raw.len() == ID_DIGITS {
        Ok(raw.to_ascii_lowercase())
    } else {
        Err(format!("a request's id has {ID_DIGITS} hex digits"))
    }
}

/// Asks the entries and prints the steps.
///
/// # Errors
///
/// No entry remembers the request, or none answered.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let entries = context.entries()?;
    let answer = context.block_on(entries.explain_request(id))?;
    let answer = answer.ok_or_else(|| CommandError::NotFound {
        kind: "remembered request",
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
