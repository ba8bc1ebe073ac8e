//! The command line that the benches share.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::bounds::{BoundBook, MeasuredFigure};

/// The command of a bench: `--json` and `--check`.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print one JSON document")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Fail if a figure is out of its committed bound, or was not measured")
                .action(ArgAction::SetTrue),
        )
        // Cargo passes this to every bench.
        .arg(
            Arg::new("bench")
                .long("bench")
                .hide(true)
                .action(ArgAction::SetTrue),
        )
}

/// Holds the figures to the committed bounds of a bench if `--check` asks for it.
#[must_use]
pub fn finish(matches: &ArgMatches, bench: &str, figures: &[MeasuredFigure]) -> ExitCode {
    if !matches.get_flag("check") || BoundBook::of(bench).enforce(figures) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
