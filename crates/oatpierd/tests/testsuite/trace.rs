//! The spans of a request in one trace.

use bytes::Bytes;
use http::Request;
use serde_json::{Value, json};

use crate::support::fleet::{Fleet, FleetSize, eventually};
use crate::support::http::read;
use crate::support::process::TestProcess;

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 1,
    services: 0,
};
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT: &str = "b7ad6b7169203331";

fn spans(process: &TestProcess) -> Vec<Value> {
    let lines = process.spans.lock().unwrap();
    lines
        .iter()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|span| span["trace_id"] == TRACE)
        .collect()
}

#[tokio::test]
async fn trace_of_a_caller_covers_all_hops() {
    let fleet = Fleet::start(SIZE).await;
    let body = json!({"model": "tables", "prompt": "x", "max_tokens": 3, "stream": true});
    let request = Request::post("/v1/completions")
        .header("traceparent", format!("00-{TRACE}-{PARENT}-01"))
        .body(Bytes::from(body.to_string()))
        .unwrap();
    let answer = read(&fleet.client, fleet.entries[0].serve, request).await;
    assert!(answer.unwrap().text.ends_with("data: [DONE]\n\n"));
    let all = || {
        let mut all = spans(&fleet.entries[0].process);
        all.extend(spans(&fleet.agents[0].process));
        all
    };
    eventually("all spans are exported", async || all().len() >= 7).await;
    let all = all();
    let mut names: Vec<_> = all
        .iter()
        .map(|span| span["span"].as_str().unwrap())
        .collect();
    names.sort_unstable();
    assert_eq!(
        names,
        [
            "agent.queue",
            "agent.run",
            "entry.admit",
            "entry.attempt",
            "entry.choose",
            "entry.relay",
            "entry.request",
        ]
    );
    let parent_of = |name: &str| {
        let span = all.iter().find(|span| span["span"] == name).unwrap();
        span["parent_id"].clone()
    };
    let id_of = |name: &str| {
        let span = all.iter().find(|span| span["span"] == name).unwrap();
        span["span_id"].clone()
    };
    assert_eq!(parent_of("entry.request"), PARENT);
    assert_eq!(parent_of("entry.attempt"), id_of("entry.request"));
    assert_eq!(parent_of("agent.run"), id_of("entry.attempt"));
}
