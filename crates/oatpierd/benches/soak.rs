//! `cargo soak`: runs soak tests against the real daemon, and reports violated guarantees.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command, value_parser};
use oatpier_soak::plan::SoakSize;
use oatpier_soak::run::{self, SoakReport, SoakSettings};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .help(help)
            .value_parser(value_parser!(u64))
    };
    // Cargo passes `--bench` to every bench target.
    let bench = Arg::new("bench").long("bench").num_args(0).hide(true);
    let from = Arg::new("from")
        .long("from")
        .value_parser(value_parser!(u64));
    Command::new("soak")
        .about("Runs gateways and sidecars as processes while faults are injected from outside")
        .arg(from.help("First seed [default: the current time]"))
        .arg(number(
            "seeds",
            "1",
            "Number of soaks, with consecutive seeds",
        ))
        .arg(number("seconds", "12", "Duration of the load, in seconds"))
        .arg(number("gateways", "3", "Gateways"))
        .arg(number("engines", "6", "Engines, each with a sidecar"))
        .arg(number("services", "3", "Endpoints of the plain service"))
        .arg(number("callers", "16", "Callers"))
        .arg(bench)
}

fn count(matches: &ArgMatches, name: &str) -> usize {
    let value = matches.get_one::<u64>(name).copied().unwrap_or(1);
    usize::try_from(value).unwrap_or(usize::MAX).max(1)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_seconds = now.map_or(1, |now| now.as_secs());
    let first = matches.get_one("from").copied().unwrap_or(now_seconds);
    let seeds = count(&matches, "seeds") as u64;
    let seconds = count(&matches, "seconds") as u64;
    let mut failed = 0;
    for seed in first..first.saturating_add(seeds) {
        let settings = SoakSettings {
            daemon: PathBuf::from(env!("CARGO_BIN_EXE_oatpierd")),
            seed,
            length: Duration::from_secs(seconds),
            size: SoakSize {
                gateways: count(&matches, "gateways"),
                engines: count(&matches, "engines"),
                services: count(&matches, "services"),
                callers: count(&matches, "callers"),
            },
        };
        if !soak(&settings) {
            failed += 1;
        }
    }
    println!("{failed} of {seeds} soaks violated a guarantee or did not run");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn soak(settings: &SoakSettings) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let report = runtime.and_then(|runtime| runtime.block_on(run::run(settings)));
    match report {
        Ok(report) => print_report(settings.seed, report),
        Err(error) => {
            println!("seed {}: did not run: {error}", settings.seed);
            false
        }
    }
}

fn print_report(seed: u64, report: SoakReport) -> bool {
    let served = report.count_responses(|status| status == 200);
    let refused = report.count_responses(|status| status == 503);
    let other = report.count_responses(|status| !matches!(status, 200 | 503));
    let faults = report.steps.len();
    println!("seed {seed}: {faults} faults; {served} served, {refused} refused, {other} otherwise");
    if report.breaches.is_empty() {
        return true;
    }
    for breach in &report.breaches {
        println!("  {breach}");
    }
    for step in &report.steps {
        println!("  {:?} for {:?}: {:?}", step.at, step.lasts, step.fault);
    }
    let kept = report.folder.keep();
    println!("  settings and logs: {}", kept.display());
    false
}
