//! Short runs of the policy bench.

use std::time::Duration;

use oatpier_bench::load::deployment::BenchDeployment;
use oatpier_bench::load::scenario::{BenchCase, BenchScenario, RunSpan};
use oatpier_bench::policy::{self, BenchPolicy, PolicyCell, PolicyReport};

/// Duration that is long enough for a plan, a few loads and over a thousand requests.
pub const SHORT: RunSpan = RunSpan {
    warm_up: Duration::from_secs(2),
    length: Duration::from_secs(8),
};

pub fn short_run(
    deployment: &BenchDeployment,
    scenario: BenchScenario,
    policies: &[BenchPolicy],
) -> PolicyReport {
    let case = BenchCase {
        deployment,
        scenario,
        span: SHORT,
    };
    let cells: Vec<PolicyCell<'_>> = policies
        .iter()
        .map(|policy| PolicyCell {
            case,
            policy: *policy,
        })
        .collect();
    PolicyReport {
        runs: policy::run_cells(&cells),
    }
}
