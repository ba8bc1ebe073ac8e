//! Tests of extracting decisions from log lines.

use oatpier::ops::decision_log::{LogSubject, read_decisions};

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

fn decisions(subject: LogSubject<'_>) -> Vec<String> {
    let decisions = read_decisions(LOG.as_bytes(), subject).unwrap();
    decisions.into_iter().map(|line| line.decision).collect()
}

#[test]
fn decisions_on_a_request_are_sorted_by_time() {
    assert_eq!(
        decisions(LogSubject::Request("r1")),
        ["attempt failed", "answer"]
    );
    assert!(decisions(LogSubject::Request("r9")).is_empty());
}

#[test]
fn decisions_on_a_model_include_its_adapters() {
    assert_eq!(
        decisions(LogSubject::Model("m1")),
        ["load advised", "answer"]
    );
    assert!(decisions(LogSubject::Model("m")).is_empty());
}

#[test]
fn decisions_on_an_endpoint_include_failures_and_changes() {
    assert_eq!(
        decisions(LogSubject::Endpoint("i-1")),
        ["attempt failed", "answer", "directory"]
    );
}

#[test]
fn decisions_on_a_fingerprint_include_answers_and_crashes() {
    for wanted in ["00112233445566778899aabbccddeeff", "001122334455"] {
        assert_eq!(
            decisions(LogSubject::Fingerprint(wanted)),
            ["request suspected", "answer"]
        );
    }
}

#[test]
fn decision_keeps_its_process_and_details() {
    let decisions = read_decisions(LOG.as_bytes(), LogSubject::Request("r2")).unwrap();
    assert_eq!(
        (decisions[0].process.as_str(), decisions[0].time_ms),
        ("gateway-1", 30)
    );
    assert_eq!(decisions[0].details["weights"], "m1/a3");
}
