//! Tests of the bounds of figures.

use oatpier_bench::load::deployment;
use oatpier_bench::load::scenario::BenchScenario;
use oatpier_bench::report::bounds::{BoundSet, MeasuredFigure};

const SAMPLE_BOUNDS: &str = r#"
[policy]
"ijoko.burst.attainment" = { min = 0.95, set_by = "a test" }
"ijoko.burst.moves" = { max = 10.0, set_by = "a test" }
"#;

fn figure(name: &str, value: f64) -> MeasuredFigure {
    let name = name.to_owned();
    MeasuredFigure { name, value }
}

fn violations(figures: &[MeasuredFigure]) -> Vec<String> {
    let bounds = BoundSet::parse(SAMPLE_BOUNDS, "policy").expect("well-formed");
    assert_eq!(bounds.enforce(figures), bounds.check(figures).is_empty());
    bounds
        .check(figures)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn figures_within_their_bounds_pass() {
    let figures = [
        figure("ijoko.burst.attainment", 0.95),
        figure("ijoko.burst.moves", 10.0),
    ];
    assert_eq!(violations(&figures), Vec::<String>::new());
}

/// Guards against a regression that passes the check or cannot be located. The report must name the figure, its value,
/// its bound and what set the bound.
#[test]
fn a_figure_out_of_bounds_fails_and_is_named() {
    let figures = [
        figure("ijoko.burst.attainment", 0.9),
        figure("ijoko.burst.moves", 11.0),
    ];
    assert_eq!(
        violations(&figures),
        [
            "ijoko.burst.attainment is 0.9000, at least 0.95 is wanted (set by a test)",
            "ijoko.burst.moves is 11.0000, at most 10 is allowed (set by a test)",
        ]
    );
}

/// Guards against a bound that passes because there is no number to compare, for example after a scenario was removed
/// or a figure was divided by zero.
#[test]
fn a_figure_that_is_missing_or_nan_fails() {
    let figures = [figure("ijoko.burst.attainment", f64::NAN)];
    assert_eq!(
        violations(&figures),
        [
            "ijoko.burst.attainment is NaN, at least 0.95 is wanted (set by a test)",
            "ijoko.burst.moves was not measured, at most 10 is allowed (set by a test)",
        ]
    );
}

#[test]
fn every_run_of_the_policy_bench_has_a_committed_bound() {
    let bounds = BoundSet::of("policy");
    let names: Vec<&str> = bounds.names().collect();
    for deployment in deployment::all() {
        for scenario in BenchScenario::ALL {
            let name = format!("{}.{}.attainment", deployment.name, scenario.as_str());
            assert!(names.contains(&name.as_str()), "{name}");
        }
    }
}

#[test]
fn the_other_benches_have_committed_bounds() {
    for (bench, figure) in [
        ("state", "spread.340.cut.max_s"),
        ("cost", "routing-choice.3500.allocations"),
    ] {
        let bounds = BoundSet::of(bench);
        assert!(bounds.names().any(|name| name == figure), "{figure}");
    }
}
