//! End-to-end tests of the commands that query an entry.

use serde_json::{Value, json};

use crate::fixture::Platform;

fn generations(rows: &[(&str, u64, &str)]) -> Value {
    let daemons = rows.iter().map(
        |(name, generation, state)| json!({"name": name, "generation": generation, "state": state}),
    );
    json!({"newest": 4, "content": 0, "daemons": daemons.collect::<Vec<_>>()})
}

#[test]
fn wait_ends_when_all_live_processes_reached_the_generation() {
    let platform = Platform::start();
    let rows = [
        ("entry-1", 4, "live"),
        ("agent-1", 5, "leaving"),
        ("agent-2", 3, "silent"),
    ];
    platform
        .entry
        .answer("/operator/config", generations(&rows));
    let run = platform.run_ok(&["--json", "config", "wait", "--generation", "4"]);
    assert_eq!(run.document()["reached"], 2);
    assert_eq!(run.document()["silent"], json!(["agent-2"]));
    assert!(
        run.stderr.contains("not waited for: agent-2"),
        "{}",
        run.stderr
    );
}

#[test]
fn wait_timeout_lists_processes_behind() {
    let platform = Platform::start();
    let rows = [("entry-1", 4, "live"), ("agent-1", 3, "live")];
    platform
        .entry
        .answer("/operator/config", generations(&rows));
    let args = ["config", "wait", "--generation", "4", "--timeout", "300ms"];
    let run = platform.run(&args);
    assert_eq!(run.code, 4);
    assert!(run.stderr.contains("agent-1 (3) behind"), "{}", run.stderr);
}

/// Guards against a wait that ends with a failed call, and without the processes that it waited for, because the entry did not
/// answer the last of several calls.
#[test]
fn a_failed_call_does_not_hide_the_processes_behind() {
    let platform = Platform::start();
    let rows = [("entry-1", 4, "live"), ("agent-1", 3, "live")];
    platform
        .entry
        .answer_once("/operator/config", generations(&rows));
    let args = ["config", "wait", "--generation", "4", "--timeout", "300ms"];
    let run = platform.run(&args);
    assert_eq!(run.code, 4, "{}", run.stderr);
    assert!(run.stderr.contains("agent-1 (3) behind"), "{}", run.stderr);
}

#[test]
fn status_prints_tables() {
    let platform = Platform::start();
    let status = json!({
        "daemons": [
            {"name": "entry-ikeja-1", "duty": "entry", "endpoint": null, "zone": "ikeja", "generation": 4,
             "state": "live", "heard_ms": 0},
            {"name": "seat-llm-lekki-1", "duty": "agent", "endpoint": "seat-llm-lekki-1",
             "zone": "lekki", "generation": 3, "state": "silent", "heard_ms": 5400},
        ],
        "models": [
            {"model": "tables", "version": "2026-11", "ready": 2, "zones": ["ikeja", "lekki"]},
        ],
        "planner": {"holder": "entry-ikeja-1", "plan_age_ms": 800},
        "store": {"available": false, "answered_ms": 61000},
        "attainment": [
            {"class": "drafting", "target": 0.95, "attained": 0.9731, "requests": 4021},
            {"class": "lookup", "target": 0.99, "attained": null, "requests": 0},
        ],
        "moves": {"loads": 12, "unloads": 7, "role_changes": 0},
    });
    platform.entry.answer("/operator/status", status.clone());
    insta::assert_snapshot!(platform.run_ok(&["status"]).stdout);
    assert_eq!(platform.run_ok(&["status", "--json"]).document(), status);
}

#[test]
fn explain_model_prints_reasons_and_suggests_names() {
    let platform = Platform::start();
    let answer = json!({
        "model": "tables", "adapter": null, "pool": "seat-llm", "version": "2026-11",
        "replicas": [
            {"endpoint": "seat-llm-ikeja-1", "zone": "ikeja", "ready": "2026-11", "planned": true,
             "queued": 0, "running": 3, "reason": "last ready replica"},
            {"endpoint": "seat-llm-lekki-1", "zone": "lekki", "ready": null, "planned": true,
             "queued": 0, "running": 0, "reason": "being loaded"},
        ],
        "reasons": ["demand of lekki rose above one replica"],
    });
    platform
        .entry
        .answer("/operator/explain/model/tables", answer);
    let status = json!({
        "daemons": [], "planner": {"holder": null, "plan_age_ms": null},
        "models": [{"model": "tables", "version": "1", "ready": 1, "zones": []}],
        "store": {"available": true, "answered_ms": 1}, "attainment": [],
        "moves": {"loads": 0, "unloads": 0, "role_changes": 0},
    });
    platform.entry.answer("/operator/status", status);
    insta::assert_snapshot!(platform.run_ok(&["explain", "model", "tables"]).stdout);
    let run = platform.run(&["explain", "model", "tabels"]);
    assert_eq!(run.code, 1);
    assert!(
        run.stderr.contains("did you mean `tables`?"),
        "{}",
        run.stderr
    );
}

#[test]
fn explain_request_prints_steps() {
    let platform = Platform::start();
    let id = "00000000000000000000000000000a1b";
    let answer = json!({
        "request": id, "class": "drafting", "verdict": "not-run", "refusal": "too-late",
        "in_time": null,
        "steps": [
            {"after_us": 0, "hop": "admit", "endpoint": null, "detail": "320 ms left"},
            {"after_us": 1840, "hop": "attempt", "endpoint": "seat-llm-ikeja-1",
             "detail": "refused: too-late"},
        ],
    });
    platform
        .entry
        .answer(&format!("/operator/explain/request/{id}"), answer);
    insta::assert_snapshot!(platform.run_ok(&["explain", "request", id]).stdout);
    let run = platform.run(&["explain", "request", &id.replace("a1b", "a1c")]);
    assert_eq!(run.code, 1, "{}", run.stderr);
    let run = platform.run(&["explain", "request", "7"]);
    assert_eq!(run.code, 2, "{}", run.stderr);
}

#[test]
fn unexpected_json_answer_is_an_error() {
    let platform = Platform::start();
    platform
        .entry
        .answer("/operator/status", json!({"hello": 1}));
    let run = platform.run(&["status"]);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("expected a status"), "{}", run.stderr);
    let run = platform.run(&["config", "wait", "--generation", "1", "--timeout", "0s"]);
    assert_eq!(run.code, 1, "{}", run.stderr);
}
