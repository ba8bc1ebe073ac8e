//! `cargo bench-policy`: attainment per accelerator and moves, beside baselines.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use oatpier_bench::load::deployment;
use oatpier_bench::load::scenario::BenchScenario;
use oatpier_bench::policy::{self, BenchPolicy, PolicyCell, PolicyReport};
use oatpier_bench::report;

fn cli() -> Command {
    Command::new("bench-policy")
        .about("Attainment per accelerator and moves, beside baselines")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("Run only this scenario"),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .help("Run only this deployment"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .help("Run only this policy"),
        )
        .arg(
            Arg::new("bench")
                .long("bench")
                .hide(true)
                .action(ArgAction::SetTrue),
        )
}

fn main() -> ExitCode {
    let matches = cli().get_matches();
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
                    cells.push(PolicyCell {
                        deployment,
                        scenario,
                        policy,
                    });
                }
            }
        }
    }
    let runs = policy::run_cells(&cells);
    report::print(
        &PolicyReport { runs },
        matches.get_flag("json"),
        policy::table,
    );
    ExitCode::SUCCESS
}
