//! `cargo bench-policy`: attainment per accelerator and moves, compared with baselines.

use std::process::ExitCode;

use clap::Arg;
use oatpier_bench::load::deployment;
use oatpier_bench::load::scenario::{BenchCase, BenchScenario, RunSpan};
use oatpier_bench::policy::{self, BenchPolicy, PolicyCell, PolicyReport};
use oatpier_bench::report::{self, cli};

fn only(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).conflicts_with("check")
}

fn main() -> ExitCode {
    let about = "Attainment per accelerator and moves, compared with baselines";
    let matches = cli::command("bench-policy", about)
        .arg(only("scenario", "Run only this scenario"))
        .arg(only("deployment", "Run only this deployment"))
        .arg(only("policy", "Run only this policy"))
        .get_matches();
    let wanted = |key: &str, name: &str| {
        matches
            .get_one::<String>(key)
            .is_none_or(|only| only == name)
    };
    let deployments = deployment::all();
    let mut cells = Vec::new();
    for deployment in &deployments {
        for scenario in BenchScenario::ALL {
            for policy in BenchPolicy::ALL {
                if wanted("deployment", deployment.name)
                    && wanted("scenario", scenario.as_str())
                    && wanted("policy", policy.as_str())
                {
                    let case = BenchCase {
                        deployment,
                        scenario,
                        span: RunSpan::WHOLE,
                    };
                    cells.push(PolicyCell { case, policy });
                }
            }
        }
    }
    let runs = policy::run_cells(&cells);
    let report = PolicyReport { runs };
    report::print(&report, matches.get_flag("json"), policy::table);
    cli::finish(&matches, "policy", &policy::figures(&report))
}
