//! `oatpier logs`: shows the logged decisions on a request, a model, an endpoint or a fingerprint, or a summary of all.

pub mod summary;

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use super::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::decision_log::{self, DecisionLine, LogSubject};
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("logs")
        .about(
            "Show the decisions on a request, a model, an endpoint or a fingerprint from log files",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subject(
            "request",
            "ID",
            "Id that the caller gave the request",
        ))
        .subcommand(subject("model", "NAME", "Name of the model"))
        .subcommand(subject(
            "endpoint",
            "NAME",
            "Name of the endpoint in the registry",
        ))
        .subcommand(subject(
            "fingerprint",
            "FINGERPRINT",
            "Fingerprint of requests with the same content, as `oatpier crashes list` shows it",
        ))
        .subcommand(summary::cli())
}

fn subject(name: &'static str, value: &'static str, help: &'static str) -> Command {
    Command::new(name)
        .about(format!("Show the decisions on one {name}"))
        .arg(Arg::new("name").value_name(value).help(help).required(true))
        .arg(files())
}

fn files() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .help("Log files of gateways and sidecars [default: standard input]")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// Reads the logs and prints the decisions on the subject.
///
/// # Errors
///
/// Returns an error if a file can't be read, or no line names the subject.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let Some((kind, matches)) = matches.subcommand() else {
        unreachable!("clap requires one of the subcommands");
    };
    if kind == summary::NAME {
        return summary::exec(context, matches);
    }
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let (subject, kind) = match kind {
        "request" => (LogSubject::Request(name), "request in the logs"),
        "model" => (LogSubject::Model(name), "model in the logs"),
        "fingerprint" => (LogSubject::Fingerprint(name), "fingerprint in the logs"),
        _ => (LogSubject::Endpoint(name), "endpoint in the logs"),
    };
    let decisions = read(matches, subject)?;
    if decisions.is_empty() {
        return Err(CommandError::NotFound {
            kind,
            name: name.to_owned(),
            nearest: None,
        });
    }
    context.answer(&decisions, || text(&decisions))
}

fn read(matches: &ArgMatches, subject: LogSubject<'_>) -> Result<Vec<DecisionLine>, CommandError> {
    let mut decisions = Vec::new();
    read_files(matches, |input| {
        decisions.extend(decision_log::read_decisions(input, subject)?);
        Ok(())
    })?;
    decisions.sort_by_key(|line| line.time_ms);
    Ok(decisions)
}

/// Calls `read` with each log file, or with the standard input if no file is given.
fn read_files(
    matches: &ArgMatches,
    mut read: impl FnMut(Box<dyn BufRead>) -> io::Result<()>,
) -> CommandResult {
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |source| CommandError::ReadFile { path, source }
    };
    let Some(files) = matches.get_many::<PathBuf>("files") else {
        let input = Box::new(BufReader::new(io::stdin()));
        return read(input).map_err(failed(Path::new("-")));
    };
    for path in files {
        let file = File::open(path).map_err(failed(path))?;
        read(Box::new(BufReader::new(file))).map_err(failed(path))?;
    }
    Ok(())
}

fn text(decisions: &[DecisionLine]) -> String {
    let start_ms = decisions.first().map_or(0, |line| line.time_ms);
    let rows = decisions.iter().map(|line| {
        vec![
            format!("+{}", line.time_ms.saturating_sub(start_ms)),
            line.process.clone(),
            line.decision.clone(),
            details(line),
        ]
    });
    table(
        &["MS", "PROCESS", "DECISION", "DETAILS"],
        &rows.collect::<Vec<_>>(),
    )
}

fn details(line: &DecisionLine) -> String {
    let cells = line.details.iter().filter(|(_, value)| !value.is_null());
    let cells = cells.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    cells.collect::<Vec<_>>().join(" ")
}
