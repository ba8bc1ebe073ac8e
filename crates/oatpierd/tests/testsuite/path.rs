//! Single requests through separate processes.

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::{Value, json};

use crate::support::fleet::{Fleet, FleetSize};
use crate::support::http::{StreamEnd, chat, get, read, send};

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 1,
    services: 1,
};

#[tokio::test]
async fn streamed_answer_is_complete() {
    let fleet = Fleet::start(SIZE).await;
    let entry = fleet.entries[0].serve;
    let prompt = "arrange twelve tables";
    let answer = chat(&fleet.client, entry, "tables", prompt, 20).await;
    let answer = answer.expect("the entry answers");
    assert_eq!(
        answer.stream_end(prompt, 20),
        StreamEnd::Whole,
        "{answer:?}"
    );
    assert!(answer.headers.contains_key("oatpier-request-id"));
}

#[tokio::test]
async fn unstreamed_answer_is_complete() {
    let fleet = Fleet::start(SIZE).await;
    let body = json!({"model": "tables", "prompt": "seat", "max_tokens": 5}).to_string();
    let path = "/v1/completions";
    let entry = fleet.entries[0].serve;
    let answer = send(&fleet.client, entry, Method::POST, path, body).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let answer: Value = serde_json::from_slice(answer.body()).unwrap();
    let wanted = oatpier_standin::answer::answer_text("seat", 5);
    assert_eq!(answer["choices"][0]["text"], wanted.as_str());
}

#[tokio::test]
async fn service_answer_is_complete() {
    let fleet = Fleet::start(SIZE).await;
    let entry = fleet.entries[0].serve;
    let path = "/services/plan-api/plans/7?floor=2";
    let request = Request::get(path).body(Bytes::new()).unwrap();
    let answer = read(&fleet.client, entry, request).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let call: Value = serde_json::from_str(&answer.text).unwrap();
    assert_eq!(call["path"], "/plans/7?floor=2");
}

#[tokio::test]
async fn models_are_listed_and_unknown_ones_get_404() {
    let fleet = Fleet::start(SIZE).await;
    let entry = fleet.entries[0].serve;
    let answer = get(&fleet.client, entry, "/v1/models").await;
    let list: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(list["data"][0]["id"], "tables");
    let answer = chat(&fleet.client, entry, "chairs", "?", 1).await.unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let body: Value = serde_json::from_str(&answer.text).unwrap();
    assert_eq!(body["error"]["verdict"], "not-run");
    assert_eq!(answer.headers["oatpier-verdict"], "not-run");
}
