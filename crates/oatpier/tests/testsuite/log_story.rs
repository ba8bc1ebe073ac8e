//! Stories out of decision lines.

use oatpier::ops::log_story::{StorySubject, read_story};

const LOG: &str = r#"not a line
  6.1 gateway-1 {"decision":"attempt failed","request":"r1","endpoint":"i-1","cause":"cut","time_ms":20,"process":"gateway-1"}
{"decision":"answer","request":"r2","outcome":"answered","weights":"m1/a3","time_ms":30,"process":"gateway-1"}
{"decision":"answer","request":"r1","outcome":"broken","failed_at":["i-1"],"time_ms":21,"process":"gateway-1"}
{"decision":"load advised","model":"m1","endpoint":"i-2","time_ms":10,"process":"gateway-2"}
{"decision":"directory","change":"Gone(\"i-1\")","time_ms":40,"process":"gateway-2"}
{"decision":"request suspected","fingerprint":"00112233445566778899aabbccddeeff","endpoint":"i-3","time_ms":50,"process":"gateway-1"}
{"decision":"answer","request":"r5","outcome":"barred","fingerprint":"001122334455","time_ms":60,"process":"gateway-1"}
{"decision":"answer","request":"r6","outcome":"broken","fingerprint":"ff1122334455","time_ms":61,"process":"gateway-1"}
{"decision":"answer","request":"r1
"#;

fn decisions(subject: StorySubject<'_>) -> Vec<String> {
    let story = read_story(LOG.as_bytes(), subject).unwrap();
    story.into_iter().map(|line| line.decision).collect()
}

#[test]
fn a_requests_lines_are_told_in_order_of_time() {
    assert_eq!(
        decisions(StorySubject::Request("r1")),
        ["attempt failed", "answer"]
    );
    assert!(decisions(StorySubject::Request("r9")).is_empty());
}

#[test]
fn a_models_story_has_its_adapters() {
    assert_eq!(
        decisions(StorySubject::Model("m1")),
        ["load advised", "answer"]
    );
    assert!(decisions(StorySubject::Model("m")).is_empty());
}

#[test]
fn an_endpoints_story_has_failures_and_changes() {
    assert_eq!(
        decisions(StorySubject::Endpoint("i-1")),
        ["attempt failed", "answer", "directory"]
    );
}

#[test]
fn a_fingerprints_story_has_its_returns_and_its_crashes() {
    for wanted in ["00112233445566778899aabbccddeeff", "001122334455"] {
        assert_eq!(
            decisions(StorySubject::Fingerprint(wanted)),
            ["request suspected", "answer"]
        );
    }
}

#[test]
fn a_line_keeps_its_process_and_details() {
    let story = read_story(LOG.as_bytes(), StorySubject::Request("r2")).unwrap();
    assert_eq!(
        (story[0].process.as_str(), story[0].time_ms),
        ("gateway-1", 30)
    );
    assert_eq!(story[0].details["weights"], "m1/a3");
}
