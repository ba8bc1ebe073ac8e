//! `oatpier config show`: prints the configuration as TOML.

use clap::{ArgMatches, Command};
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::Generation;
use serde::Serialize;

use super::{generation_arg, generation_of};
use crate::commands::CommandResult;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::ops::record_store::read_record;

/// The answer that `--json` prints.
#[derive(Serialize)]
struct ShowAnswer {
    generation: Generation,
    newest: Generation,
    content: String,
    config: FleetConfig,
}

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("show")
        .about("Print the configuration, ready to be edited and applied")
        .arg(generation_arg(
            "An earlier generation [default: the newest]",
        ))
}

/// Reads the configuration record and prints the content of a generation.
///
/// # Errors
///
/// Returns an error if the generation is unknown or the store does not answer.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let store = context.store()?;
    let record = context.block_on(read_record(store.as_ref()))?.record;
    let wanted = generation_of(matches).unwrap_or(record.generation);
    let config = record.content_at(wanted);
    let config = config.map_err(|source| CommandError::History { wanted, source })?;
    let answer = ShowAnswer {
        generation: wanted,
        newest: record.generation,
        content: format!("{:016x}", config.content_hash()),
        config,
    };
    // `based_on` is the newest generation even if an earlier content is shown: applying that content undoes all later
    // changes, as a change of its own.
    context.answer(&answer, || {
        let text = answer.config.to_text(Some(answer.newest));
        format!("# content of generation {wanted}\n{text}")
    })
}
