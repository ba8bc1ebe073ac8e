//! The policy bench.

use oatpier_bench::load::deployment::{ijoko, tussock};
use oatpier_bench::load::scenario::BenchScenario;
use oatpier_bench::policy::{BenchPolicy, PolicyReport};

use crate::support::short_run;

fn text(report: &PolicyReport) -> String {
    serde_json::to_string(report).expect("plain data")
}

/// A hash map's order, a clock of the machine or a cell that runs beside another one gets into a
/// decision. The figures then differ between two runs of the same code, and a bound on them
/// fails or passes by luck.
#[test]
fn equal_seeds_give_equal_reports_to_the_byte() {
    for deployment in [ijoko(), tussock()] {
        let policies = [BenchPolicy::Oatpier, BenchPolicy::LeastOutstanding];
        let run = || short_run(&deployment, BenchScenario::RetryStorm, &policies);
        let (first, second) = (run(), run());
        assert!(first.runs.iter().all(|run| run.requests > 1_000));
        assert_eq!(text(&first), text(&second));
    }
}

#[test]
fn oatpier_breaks_no_promise_in_a_short_storm() {
    let policies = [BenchPolicy::Oatpier];
    let report = short_run(&ijoko(), BenchScenario::RetryStorm, &policies);
    assert_eq!(report.runs[0].breaches, Vec::<String>::new());
    assert!(report.runs[0].attainment > 0.5, "{report:?}");
}
