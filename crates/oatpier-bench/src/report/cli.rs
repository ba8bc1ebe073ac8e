//! Command line that the benches share.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::bounds::{BoundSet, MeasuredFigure};

/// Creates the command of a bench, with the flags `--json` and `--check`.
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
                .help("Fail if a figure is outside its committed bound or was not measured")
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

/// Checks the figures against the committed bounds of a bench if `--check` is given, and returns the exit code.
#[must_use]
pub fn finish(matches: &ArgMatches, bench: &str, figures: &[MeasuredFigure]) -> ExitCode {
    if !matches.get_flag("check") || BoundSet::of(bench).enforce(figures) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
