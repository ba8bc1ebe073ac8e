//! `cargo bench-state`: spread of changes, recovery, moves, lost registrars and slopes of cost.

use std::process::ExitCode;

use clap::Arg;
use oatpier_bench::report::{self, cli};
use oatpier_bench::state;

fn main() -> ExitCode {
    let about = "Spread of changes, recovery, moves, lost registrars and slopes of cost";
    let part = Arg::new("part")
        .long("part")
        .help("Run only this part")
        .value_parser(state::PARTS)
        .conflicts_with("check");
    let matches = cli::command("bench-state", about).arg(part).get_matches();
    let only = matches.get_one::<String>("part");
    let states = state::run(|part| only.is_none_or(|only| only == part));
    report::print(&states, matches.get_flag("json"), state::table);
    cli::finish(&matches, "state", &state::figures(&states))
}
