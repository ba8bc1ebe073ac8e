//! `cargo plot --out DIR`: draws the main plots as SVG from bench runs.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use oatpier_bench::plots;

fn main() -> ExitCode {
    let out = Arg::new("out")
        .long("out")
        .help("Directory for the plots")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/plots");
    // Cargo passes this to every bench.
    let bench = Arg::new("bench").long("bench").hide(true);
    let matches = Command::new("plot")
        .about("Draws the main plots as SVG from bench runs")
        .args([out, bench.action(ArgAction::SetTrue)])
        .get_matches();
    let folder = matches
        .get_one::<PathBuf>("out")
        .expect("--out has a default value");
    match plots::draw_all(folder) {
        Ok(files) => {
            for file in files {
                println!("{}", file.display());
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
