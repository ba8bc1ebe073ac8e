//! End-to-end tests of `oatpier stop`.

use oatpier_standin::store::StoreFaults;
use serde_json::json;

use crate::fixture::{Platform, SMALL_CONFIG};

/// Starts a platform with the small configuration and an entry whose status lists its engines.
fn platform() -> Platform {
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL_CONFIG);
    platform.run_ok(&["config", "apply", "fleet.toml"]);
    let row = |endpoint: &str, zone: &str| {
        json!({
            "name": format!("agent-{endpoint}"), "duty": "agent", "endpoint": endpoint, "zone": zone, "generation": 1, "state": "live",
            "heard_ms": 12,
        })
    };
    let daemons = [
        row("seat-llm-ikeja-1", "ikeja"),
        row("seat-llm-ikeja-2", "ikeja"),
        row("seat-llm-lekki-1", "lekki"),
    ];
    let status = json!({
        "daemons": daemons, "models": [], "planner": {"holder": null, "plan_age_ms": null},
        "store": {"available": true, "answered_ms": 1}, "attainment": [],
        "moves": {"loads": 0, "unloads": 0, "role_changes": 0},
    });
    platform.entry.answer("/operator/status", status);
    platform
}

#[test]
fn stop_is_planned_listed_and_withdrawn() {
    let platform = platform();
    platform.run_ok(&["stop", "plan", "agent-seat-llm-ikeja-1", "-m", "new disk"]);
    let run = platform.run_ok(&["--json", "stop", "list"]);
    assert_eq!(run.document()[0]["daemon"], "agent-seat-llm-ikeja-1");
    assert_eq!(run.document()[0]["stop"]["operator"], "ada");
    assert_eq!(run.document()[0]["stop"]["reason"], "new disk");
    let run = platform.run_ok(&["stop", "plan", "agent-seat-llm-ikeja-1"]);
    assert!(run.stderr.contains("planned already"), "{}", run.stderr);
    let run = platform.run(&["stop", "cancel", "agent-seat-llm-ikea-1"]);
    assert_eq!(run.code, 1);
    assert!(
        run.stderr
            .contains("did you mean `agent-seat-llm-ikeja-1`?"),
        "{}",
        run.stderr
    );
    platform.run_ok(&["stop", "cancel", "agent-seat-llm-ikeja-1"]);
    let run = platform.run_ok(&["--json", "stop", "list"]);
    assert_eq!(run.document(), json!([]));
}

#[test]
fn mistyped_process_is_not_stopped() {
    let platform = platform();
    let run = platform.run(&["stop", "plan", "agent-seat-llm-ikeja-3"]);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("did you mean"), "{}", run.stderr);
    let run = platform.run(&["stop", "plan", "--zone", "leki"]);
    assert_eq!(run.code, 1);
    assert!(
        run.stderr.contains("did you mean `lekki`?"),
        "{}",
        run.stderr
    );
}

#[test]
fn stop_of_a_zone_includes_all_its_processes() {
    let platform = platform();
    let run = platform.run_ok(&["--json", "stop", "plan", "--zone", "ikeja"]);
    assert_eq!(
        run.document()["planned"],
        json!(["agent-seat-llm-ikeja-1", "agent-seat-llm-ikeja-2"])
    );
}

#[test]
fn stop_without_an_entry_needs_force() {
    let platform = Platform::start();
    let run = platform.run(&["stop", "plan", "agent-1"]);
    assert_eq!(run.code, 1, "{}", run.stderr);
    platform.run_ok(&["stop", "plan", "agent-1", "--force"]);
    let run = platform.run(&["stop", "plan", "--zone", "ikeja", "--force"]);
    assert_ne!(run.code, 0, "{}", run.stderr);
}

#[test]
fn stop_that_makes_models_unreachable_is_refused_with_the_mib() {
    // All engines are stopped one after the other. Stopping the last one makes the models unreachable, even though the
    // command names only that one engine.
    let platform = platform();
    platform.run_ok(&["stop", "plan", "--zone", "ikeja"]);
    let run = platform.run(&["stop", "plan", "agent-seat-llm-lekki-1"]);
    assert_eq!(run.code, 1, "{}", run.stderr);
    assert!(run.stderr.contains("700 MiB"), "{}", run.stderr);
    let run = platform.run_ok(&["stop", "plan", "agent-seat-llm-lekki-1", "--force"]);
    assert!(run.stderr.contains("warning"), "{}", run.stderr);
}

#[test]
fn lost_answers_to_stop_writes_report_the_stored_state() {
    // The writes take effect but their answers are lost. Both commands must report the state in the store.
    let platform = platform();
    let lossy = StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    };
    platform.set_faults(lossy.clone());
    let run = platform.run_ok(&["--json", "stop", "plan", "agent-seat-llm-ikeja-1"]);
    assert_eq!(run.document()["planned"], json!(["agent-seat-llm-ikeja-1"]));
    platform.set_faults(lossy);
    platform.run_ok(&["stop", "cancel", "agent-seat-llm-ikeja-1"]);
    platform.set_faults(StoreFaults {
        lose_writes: 1,
        ..StoreFaults::default()
    });
    let run = platform.run(&["stop", "plan", "agent-seat-llm-ikeja-1"]);
    assert_eq!(run.code, 5, "{}", run.stderr);
}
