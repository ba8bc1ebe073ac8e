//! `cargo fault-matrix`: runs all cells and prints the matrix.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use oatpier_faults::matrix::run_matrix;
use oatpier_faults::report::{MatrixDocument, OutcomeCounts, render};

/// Default number of runs of each cell.
const SEEDS: u64 = 20;

fn command() -> Command {
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    let seeds = Arg::new("seeds").long("seeds").default_value("20");
    // Cargo passes this flag to every bench target.
    let bench = Arg::new("bench").long("bench").action(ArgAction::SetTrue);
    Command::new("fault-matrix")
        .about("Runs every fault at every step and prints the matrix")
        .arg(json.help("Print one JSON document"))
        .arg(
            seeds
                .help("Runs of each cell")
                .value_parser(value_parser!(u64)),
        )
        .arg(bench.hide(true))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seeds = matches.get_one("seeds").copied().unwrap_or(SEEDS);
    let cells = run_matrix(seeds);
    if matches.get_flag("json") {
        match serde_json::to_string_pretty(&MatrixDocument { cells: &cells }) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("failed to write the matrix as JSON: {error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print!("{}", render(&cells));
    }
    if OutcomeCounts::of(&cells).failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
