//! `oatpier config diff`: shows what a configuration file would change.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use oatpier_types::config::diff::{ConfigEdit, EditKind, diff};
use oatpier_types::config::error::ItemRef;
use oatpier_types::config::text::ConfigDocument;
use serde::Serialize;

use super::{file_arg, file_of, generation_arg, generation_of};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::files::read_config;
use crate::ops::record_store::read_record;

/// One edit, as `--json` prints it.
#[derive(Serialize)]
pub(super) struct EditRow {
    kind: EditKind,
    item: ItemRef,
    edit: ConfigEdit,
}

impl EditRow {
    pub(super) fn new(edit: &ConfigEdit) -> Self {
        Self {
            kind: edit.kind(),
            item: edit.item(),
            edit: edit.clone(),
        }
    }
}

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    let from = Arg::new("from")
        .long("from")
        .value_name("FILE")
        .help("Compare with this file, without contacting the store")
        .conflicts_with("generation")
        .value_parser(value_parser!(PathBuf));
    let generation =
        generation_arg("Compare with this generation [default: `based_on` of FILE, or the newest]");
    Command::new("diff")
        .about("Show what a configuration file would change")
        .args([file_arg(), from, generation])
}

/// Compares the configurations and prints the edits.
///
/// # Errors
///
/// Returns an error if a file is invalid or the store does not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let document = read_config(&file_of(matches))?;
    let edits = match matches.get_one::<PathBuf>("from") {
        Some(from) => edits_from_file(from, &document)?,
        None => edits_from_store(context, matches, &document)?,
    };
    let rows = edits.iter().map(EditRow::new).collect::<Vec<_>>();
    context.answer(&rows, || text(&edits))
}

fn edits_from_file(
    from: &Path,
    document: &ConfigDocument,
) -> Result<Vec<ConfigEdit>, CommandError> {
    let before = read_config(from)?;
    Ok(diff(&before.config, &document.config))
}

fn edits_from_store(
    context: &CliContext,
    matches: &ArgMatches,
    document: &ConfigDocument,
) -> Result<Vec<ConfigEdit>, CommandError> {
    let store = context.store()?;
    let read = context.block_on(read_record(store.as_ref()))?;
    let wanted = generation_of(matches).or(document.based_on);
    let wanted = wanted.unwrap_or(read.record.generation);
    let edits = read.record.edits_from(wanted, &document.config);
    edits.map_err(|source| CommandError::History { wanted, source })
}

/// Formats the edits, one per line.
pub(super) fn text(edits: &[ConfigEdit]) -> String {
    let lines = edits.iter().map(|edit| edit.to_string() + "\n");
    lines.collect()
}
