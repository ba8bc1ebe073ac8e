//! Entries that another program has written among those of the endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::{BoxFuture, join_all};
use http::{Request, StatusCode};
use oatpier_platform::registry;
use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::site::RouteKind;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::RequestHandler;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::store_reading::ReadingGateway;
use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, endpoint_response, record, request,
};

/// Depth of nesting at which a recursive decoder without a limit overflows its stack.
const NESTING: usize = 200_000;

/// A valid entry with a field that gateways do not read.
const ENTRY: &str = r#"{"service":"llm","address":"127.0.0.1:9","zone":"near","slots":2,"state":"ready","cold_ms":0,"born":1,"models":[],"other":0}"#;

/// Returns values of an entry that no endpoint writes.
fn strange_values() -> Vec<String> {
    let replaced = |from: &str, to: &str| {
        assert!(ENTRY.contains(from), "{from}");
        ENTRY.replace(from, to)
    };
    let numbers = [
        "1e400",
        "-1e400",
        "1e308",
        "-1",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
    ];
    let long = "9".repeat(10_000);
    let numbers = || numbers.into_iter().chain([long.as_str()]);
    let fields = ["\"slots\":2", "\"cold_ms\":0", "\"born\":1", "\"other\":0"];
    let with_numbers = fields.into_iter().flat_map(|field| {
        let name = field.split_once(':').unwrap().0;
        numbers().map(move |number| replaced(field, &format!("{name}:{number}")))
    });
    let ports = ["0", "65536", "99999999999999999999", "-1", ""];
    let with_ports = ports.map(|port| replaced(":9\"", &format!(":{port}\"")));
    let nested = [
        format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING)),
        format!("{}1{}", "{\"a\":".repeat(NESTING), "}".repeat(NESTING)),
        "[".repeat(NESTING),
    ];
    let with_nesting = nested.iter().flat_map(|nested| {
        let models = format!("\"models\":{nested}");
        let in_field = replaced("\"models\":[]", &models);
        let unknown = replaced("\"other\":0", &format!("\"other\":{nested}"));
        [nested.clone(), in_field, unknown]
    });
    with_numbers.chain(with_ports).chain(with_nesting).collect()
}

/// A configuration, without which a gateway does not follow the registry.
const CONFIG: &str = r#"{"version":1,"routes":[],"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn item(key: &str, value: &str) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "revision": 7, "lease": 0})
}

/// A store that lists a strange entry between two others.
struct StrangeStore {
    value: String,
    /// The revision, and the name of the last entry.
    state: watch::Receiver<(u64, &'static str)>,
}

impl RequestHandler for StrangeStore {
    fn handle(&self, _: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let (revision, last) = *self.state.borrow();
        let items = [
            item("op/config", CONFIG),
            item("servers/a", ENTRY),
            item("servers/odd", &self.value),
            item(&format!("servers/{last}"), ENTRY),
        ];
        let body = json!({"items": items, "truncated": false, "store_revision": revision});
        let reply = reply::whole(StatusCode::OK, "application/json", body.to_string());
        async move { reply }.boxed()
    }
}

/// Starts a gateway that reads a strange entry, and waits until it has seen a change among the others.
async fn follow_beside(value: String) {
    let (change, state) = watch::channel((5, "b"));
    let is_readable = registry::decode("servers/odd", value.as_bytes()).is_ok();
    let names = |last| {
        let names = ["a", last].into_iter();
        let mut names: Vec<&str> = names.chain(is_readable.then_some("odd")).collect();
        names.sort_unstable();
        names
    };
    let store = Arc::new(StrangeStore { value, state });
    let gateway = ReadingGateway::start_with_store(store).await;
    gateway.until_known(&names("b")).await;
    change.send_replace((6, "c"));
    gateway.until_known(&names("c")).await;
}

/// Guards against gateways that end, or stop to follow the registry, because of an entry that is nested deeply or has a number
/// or a port out of range.
#[tokio::test]
async fn a_strange_entry_does_not_keep_a_gateway_from_following_the_registry() {
    join_all(strange_values().into_iter().map(follow_beside)).await;
}

/// Guards against a gateway that ends when it chooses an endpoint: one of them has an entry with the largest numbers that can be
/// decoded.
#[tokio::test]
async fn requests_are_served_beside_an_endpoint_with_a_strange_entry() {
    let strange: Vec<EndpointRecord> = strange_values()
        .iter()
        .filter_map(|value| registry::decode("servers/odd", value.as_bytes()).ok())
        .collect();
    assert!(strange.iter().any(|record| record.slots == u32::MAX));
    for record_of_odd in strange {
        let answer = EndpointStep::Answer(endpoint_response("200 OK", "world"));
        let sound = ScriptedEndpoint::start(vec![answer; 8]).await;
        let gateway = TestGateway::with_endpoints(RouteKind::Safe, 2, &[&sound]);
        let records = vec![record(1, sound.address), record_of_odd];
        gateway.core.apply_records(None, records);
        for _ in 0..4 {
            assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
        }
    }
}
