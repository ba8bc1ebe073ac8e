//! Tests of the summary of decision lines.

use oatpier::ops::log_summary::{LogSummary, ResponseCounts, SummaryBuilder};

const LOG: &str = r#"
 1.0 gateway-1 {"decision":"answer","route":"chat","outcome":"answered","endpoint":"i-1","workspace":"a"}
{"decision":"answer","route":"chat","outcome":"answered","endpoint":"i-2","workspace":"b"}
{"decision":"stream late","route":"chat","endpoint":"i-2","cause":"start and pause"}
{"decision":"stream late","route":"chat","endpoint":"i-2","cause":"pause"}
{"decision":"answer","route":"chat","outcome":"too-late","workspace":"a","waited_ms":1200.0,"return_ms":300.0,"best_taken":0.5}
{"decision":"answer","route":"chat","outcome":"too-late","workspace":"a","waited_ms":1300.0,"return_ms":400.0,"best_taken":1.0}
{"decision":"answer","route":"note","outcome":"weights-missing","waited_ms":0.2,"best_taken":null}
{"decision":"lines left out","lines":7}
"#;

fn summary() -> LogSummary {
    let mut builder = SummaryBuilder::default();
    builder.read(LOG.as_bytes()).unwrap();
    builder.finish()
}

#[test]
fn counts_responses_by_route_workspace_and_endpoint() {
    let summary = summary();
    assert_eq!(summary.routes[0].name, "chat");
    assert_eq!(
        summary.routes[0].counts,
        ResponseCounts {
            answered: 2,
            late_start: 1,
            late_pause: 2,
            refused: 2,
        }
    );
    assert_eq!(summary.workspaces[0].counts.refused, 2);
    assert_eq!(summary.workspaces[1].counts.answered, 1);
    assert_eq!(summary.endpoints[0].name, "i-2");
    assert_eq!(summary.endpoints[0].counts.late_pause, 2);
    assert_eq!(summary.lines_left_out, 7);
}

#[test]
fn lists_refusals_by_route_and_cause_with_waits_and_return_times() {
    let refusals = summary().refusals;
    assert_eq!(refusals.len(), 2);
    assert_eq!(refusals[0].cause, "too-late");
    assert_eq!(refusals[0].requests, 2);
    assert_eq!(refusals[0].with_free_slots, 1);
    assert!((refusals[0].waited_ms - 1300.0).abs() < f64::EPSILON);
    assert_eq!(refusals[0].return_ms, Some(400.0));
    assert_eq!(refusals[1].return_ms, None);
}
