//! The key-value service over HTTP: the specified calls, and correct reports on failed writes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oatpier_ports::http::HttpStore;
use oatpier_ports::store::{ExpectedValue, KeyChange, KeyStore, LeaseId, StoreError, StoredValue};
use oatpier_types::ids::Revision;

use crate::support::{FixedServer, LONG_TIMEOUT, closed_address, raw_server, silent_server};

fn store(address: SocketAddr) -> HttpStore {
    HttpStore::new(address, LONG_TIMEOUT)
}

async fn put(store: &HttpStore) -> Result<Revision, StoreError> {
    let value = Bytes::from_static(b"plan");
    store.put("plan", value, ExpectedValue::Any, None).await
}

/// Returns the outcome of each kind of write.
async fn writes(store: &HttpStore) -> Vec<Result<(), StoreError>> {
    vec![
        put(store).await.map(drop),
        store.delete("plan", ExpectedValue::Any).await,
        store.grant_lease(LONG_TIMEOUT).await.map(drop),
        store.renew_lease(LeaseId(3)).await,
        store.revoke_lease(LeaseId(3)).await,
    ]
}

/// Returns the outcome of each kind of read.
async fn reads(store: &HttpStore) -> Vec<Result<(), StoreError>> {
    vec![
        store.get("plan").await.map(drop),
        store.list("endpoint/").await.map(drop),
        store
            .watch("plan", Revision(1), Duration::ZERO)
            .await
            .map(drop),
    ]
}

fn is_unavailable(outcome: &Result<(), StoreError>) -> bool {
    matches!(outcome, Err(StoreError::Unavailable { .. }))
}

fn is_lost(outcome: &Result<(), StoreError>) -> bool {
    matches!(outcome, Err(StoreError::AnswerLost { .. }))
}

#[tokio::test]
async fn value_is_read_with_its_revision() {
    let server = FixedServer::start(200, &[("x-revision", "41")], "content").await;
    let found = store(server.address).get("config/lekki a%").await.unwrap();
    let expected = StoredValue {
        key: "config/lekki a%".to_owned(),
        value: Bytes::from_static(b"content"),
        revision: Revision(41),
    };
    assert_eq!(found, Some(expected));
    assert_eq!(server.only_request().line, "GET /kv/config/lekki%20a%25");
    let server = FixedServer::start(404, &[], "").await;
    assert_eq!(store(server.address).get("plan").await, Ok(None));
}

#[tokio::test]
async fn rows_are_decoded() {
    let rows = r#"[{"key":"e/1","revision":5,"value":"AP8="}]"#;
    let server = FixedServer::start(200, &[], rows).await;
    let expected = StoredValue {
        key: "e/1".to_owned(),
        value: Bytes::from_static(&[0, 255]),
        revision: Revision(5),
    };
    assert_eq!(store(server.address).list("e/").await, Ok(vec![expected]));
    assert_eq!(server.only_request().line, "GET /list/e/");
}

#[tokio::test]
async fn watch_reports_removals() {
    let rows = r#"[{"key":"e/1","revision":6,"value":null}]"#;
    let server = FixedServer::start(200, &[], rows).await;
    let wait = Duration::from_millis(1500);
    let changes = store(server.address).watch("e/", Revision(5), wait).await;
    let expected = KeyChange {
        key: "e/1".to_owned(),
        value: None,
        revision: Revision(6),
    };
    assert_eq!(changes, Ok(vec![expected]));
    let line = "GET /watch/e/?after=5&wait_ms=1500";
    assert_eq!(server.only_request().line, line);
}

#[tokio::test]
async fn writes_send_their_precondition_and_lease() {
    let cases = [
        (ExpectedValue::Absent, None, "absent"),
        (ExpectedValue::Any, None, "any"),
        (
            ExpectedValue::At(Revision(7)),
            Some(LeaseId(9)),
            "7&lease=9",
        ),
    ];
    for (expected, lease, query) in cases {
        let server = FixedServer::start(200, &[("x-revision", "8")], "").await;
        let value = Bytes::from_static(b"plan");
        let written = store(server.address).put("k", value, expected, lease).await;
        assert_eq!(written, Ok(Revision(8)));
        let request = server.only_request();
        assert_eq!(request.line, format!("PUT /kv/k?expect={query}"));
        assert_eq!(request.body, "plan");
    }
}

#[tokio::test]
async fn leases_are_granted_renewed_and_revoked() {
    let server = FixedServer::start(200, &[], r#"{"lease":12}"#).await;
    let lease = store(server.address)
        .grant_lease(Duration::from_secs(3))
        .await;
    assert_eq!(lease, Ok(LeaseId(12)));
    assert_eq!(server.only_request().line, "POST /lease?ttl_ms=3000");
    let server = FixedServer::start(204, &[], "").await;
    let store = store(server.address);
    assert_eq!(store.renew_lease(LeaseId(12)).await, Ok(()));
    assert_eq!(server.only_request().line, "POST /lease/12/renew");
    assert_eq!(store.revoke_lease(LeaseId(12)).await, Ok(()));
    assert_eq!(store.delete("k", ExpectedValue::Any).await, Ok(()));
}

#[tokio::test]
async fn refusals_map_to_distinct_errors() {
    let current = Revision(4);
    let server = FixedServer::start(409, &[("x-revision", "4")], "").await;
    let conflict = Err(StoreError::Conflict { current });
    assert_eq!(put(&store(server.address)).await, conflict);
    let server = FixedServer::start(410, &[], "").await;
    let lapsed = Err(StoreError::LeaseLapsed);
    assert_eq!(put(&store(server.address)).await, lapsed);
    let renewed = store(server.address).renew_lease(LeaseId(1)).await;
    assert_eq!(renewed, Err(StoreError::LeaseLapsed));
    let server = FixedServer::start(413, &[], "").await;
    let large = Err(StoreError::TooLarge { bytes: 4 });
    assert_eq!(put(&store(server.address)).await, large);
}

/// The service is down, or rejects the call because of its rate limit. Nothing was written, and a
/// caller may retry without reading first.
#[tokio::test]
async fn rejected_call_is_unavailable() {
    let down = closed_address().await;
    let overloaded = FixedServer::start(503, &[], "").await;
    let limited = FixedServer::start(429, &[], "").await;
    for address in [down, overloaded.address, limited.address] {
        let store = store(address);
        assert!(writes(&store).await.iter().all(is_unavailable));
        assert!(reads(&store).await.iter().all(is_unavailable));
    }
}

/// A write takes effect, and its answer has a status that is not specified for it, as from a proxy. If it were reported as
/// without effect, a caller could write a second time.
#[tokio::test]
async fn unspecified_status_of_a_write_is_reported_as_lost() {
    for status in [400, 404, 408, 421] {
        let server = FixedServer::start(status, &[], "").await;
        let outcomes = writes(&store(server.address)).await;
        assert!(outcomes.iter().all(is_lost), "{status}: {outcomes:?}");
    }
}

/// The service accepts a write, and the connection breaks before or during its answer, or the
/// answer never arrives. The write may have taken effect. If it were reported as failed, a caller
/// could write a second time, or report an accepted change as refused. Reads have no effect that
/// could be uncertain.
#[tokio::test]
async fn write_without_an_answer_is_reported_as_lost() {
    let closing = raw_server(b"").await;
    let truncated = raw_server(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{").await;
    let broken = FixedServer::start(500, &[], "").await;
    let silent = silent_server().await;
    // Success without a revision.
    let without_revision = FixedServer::start(200, &[], "").await;
    let long_timeout_stores = [closing, truncated, broken.address].map(store);
    let short_timeout_store = HttpStore::new(silent, Duration::from_millis(200));
    for store in long_timeout_stores.into_iter().chain([short_timeout_store]) {
        assert!(writes(&store).await.iter().all(is_lost));
        assert!(reads(&store).await.iter().all(is_unavailable));
    }
    assert!(is_lost(
        &put(&store(without_revision.address)).await.map(drop)
    ));
}
