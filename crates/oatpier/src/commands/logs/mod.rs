//! `oatpier logs`: what decision lines say of a request, a model or an endpoint.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use super::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::log_story::{self, StoryLine, StorySubject};
use crate::shell::table;

/// The arguments.
#[must_use]
pub fn cli() -> Command {
    Command::new("logs")
        .about("Tell the story of a request, a model, an endpoint or a fingerprint from log files")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subject(
            "request",
            "ID",
            "The id that the caller gave the request",
        ))
        .subcommand(subject("model", "NAME", "The model's name"))
        .subcommand(subject(
            "endpoint",
            "NAME",
            "The endpoint's name in the registry",
        ))
        .subcommand(subject(
            "fingerprint",
            "FINGERPRINT",
            "The fingerprint of requests with one content, as `oatpier crashes list` gives it",
        ))
}

fn subject(name: &'static str, value: &'static str, help: &'static str) -> Command {
    Command::new(name)
        .about(format!("Tell the story of one {name}"))
        .arg(Arg::new("name").value_name(value).help(help).required(true))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Log files of gateways and sidecars; the standard input if there are none")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Reads the logs and prints the story.
///
/// # Errors
///
/// A file can't be read, or no line names the subject.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let Some((kind, matches)) = matches.subcommand() else {
        unreachable!("clap requires one of the subcommands");
    };
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let (subject, kind) = match kind {
        "request" => (StorySubject::Request(name), "request in the logs"),
        "model" => (StorySubject::Model(name), "model in the logs"),
        "fingerprint" => (StorySubject::Fingerprint(name), "fingerprint in the logs"),
        _ => (StorySubject::Endpoint(name), "endpoint in the logs"),
    };
    let story = read(matches, subject)?;
    if story.is_empty() {
        return Err(CommandError::NotFound {
            kind,
            name: name.to_owned(),
            nearest: None,
        });
    }
    context.answer(&story, || text(&story))
}

fn read(matches: &ArgMatches, subject: StorySubject<'_>) -> Result<Vec<StoryLine>, CommandError> {
    let mut story = Vec::new();
    let files = matches.get_many::<PathBuf>("files");
    let Some(files) = files else {
        return read_input(subject);
    };
    for path in files {
        let failed = |source| CommandError::ReadFile {
            path: path.clone(),
            source,
        };
        let file = File::open(path).map_err(failed)?;
        story.extend(log_story::read_story(BufReader::new(file), subject).map_err(failed)?);
    }
    story.sort_by_key(|line| line.time_ms);
    Ok(story)
}

fn read_input(subject: StorySubject<'_>) -> Result<Vec<StoryLine>, CommandError> {
    let input = std::io::stdin().lock();
    log_story::read_story(input, subject).map_err(|source| CommandError::ReadFile {
        path: PathBuf::from("-"),
        source,
    })
}

fn text(story: &[StoryLine]) -> String {
    let begun = story.first().map_or(0, |line| line.time_ms);
    let rows = story.iter().map(|line| {
        vec![
            format!("+{}", line.time_ms.saturating_sub(begun)),
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

fn details(line: &StoryLine) -> String {
    let cells = line.details.iter().filter(|(_, value)| !value.is_null());
    let cells = cells.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    cells.collect::<Vec<_>>().join(" ")
}
