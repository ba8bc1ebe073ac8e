//! Tests of the policy bench.

use oatpier_bench::load::deployment::{ijoko, tussock};
use oatpier_bench::load::scenario::BenchScenario;
use oatpier_bench::policy::{BenchPolicy, PolicyReport};

use crate::support::short_run;

fn text(report: &PolicyReport) -> String {
    serde_json::to_string(report).expect("reports serialize to JSON")
}

/// Guards against decisions that depend on the order of a hash map, the system clock or a concurrent run. The figures
/// would then differ between two runs of the same code, and checks of their bounds would pass or fail at random.
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
fn oatpier_violates_no_invariant_in_a_short_retry_storm() {
    let policies = [BenchPolicy::Oatpier];
    let report = short_run(&ijoko(), BenchScenario::RetryStorm, &policies);
    assert_eq!(report.runs[0].breaches, Vec::<String>::new());
    assert!(report.runs[0].attainment > 0.5, "{report:?}");
}
