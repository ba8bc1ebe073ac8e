//! Tests of reads of a store whose contents take several pages.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use oatpier_platform::store::{StoreClient, StoreSnapshot};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use serde_json::{Value, json};

use crate::store_reading::ReadingGateway;

/// Time within which a call of a test is answered. It decides no verdict otherwise.
const PATIENCE: Duration = Duration::from_secs(30);

/// Number of items in a page.
const PAGE_ITEMS: usize = 2;

/// The key of the configuration.
const CONFIG_KEY: &str = "op/config";

/// A store that returns its items page by page and decodes queries as forms are decoded.
pub struct PagedStore {
    keys: BTreeSet<String>,
}

impl PagedStore {
    fn new(names: impl IntoIterator<Item = String>) -> Self {
        let names = names.into_iter().map(|name| format!("servers/{name}"));
        Self {
            keys: names.chain([CONFIG_KEY.to_owned()]).collect(),
        }
    }

    fn page(&self, query: &str) -> Reply {
        let prefix = query_value(query, "path_prefix").unwrap_or_default();
        let after = query_value(query, "after").unwrap_or_default();
        let rest = |key: &&String| key.starts_with(&prefix) && **key > after;
        let found: Vec<&String> = self.keys.iter().filter(rest).collect();
        let items: Vec<Value> = found.iter().take(PAGE_ITEMS).map(|key| item(key)).collect();
        let is_truncated = found.len() > items.len();
        let body = json!({"items": items, "truncated": is_truncated, "store_revision": 9});
        reply::whole(StatusCode::OK, "application/json", body.to_string())
    }
}

impl RequestHandler for PagedStore {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let reply = match request.uri().path() {
            "/kv-range" => self.page(request.uri().query().unwrap_or_default()),
            _ => reply::text(StatusCode::NOT_FOUND, ""),
        };
        async move { reply }.boxed()
    }
}

fn item(key: &str) -> Value {
    let value = if key == CONFIG_KEY {
        json!({
            "version": 1, "routes": [], "services": [],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 1_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
        })
    } else {
        json!({"service": "llm", "address": "127.0.0.1:9", "zone": "near", "slots": 2, "state": "ready"})
    };
    json!({"key": key, "value": STANDARD.encode(value.to_string()), "revision": 9, "lease": 0})
}

fn query_value(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| decode_form_value(value))
}

fn decode_form_value(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = value.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let escaped = escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        at += if escaped.is_some() { 3 } else { 1 };
        let plain = if bytes[at - 1] == b'+' {
            b' '
        } else {
            bytes[at - 1]
        };
        decoded.push(escaped.unwrap_or(plain));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

async fn read(store: PagedStore) -> StoreSnapshot {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listener = listener.await.unwrap();
    let client = StoreClient::new(listener.local_addr().unwrap());
    let serving = server::serve(
        listener,
        Arc::new(store),
        ServerLimits::default(),
        Arc::default(),
        std::future::pending(),
    );
    tokio::select! {
        () = serving => unreachable!("the store ended"),
        read = client.read(PATIENCE) => read.unwrap(),
    }
}

/// Returns the keys of all entries of endpoints in a snapshot, each as often as it was read.
fn read_keys(snapshot: &StoreSnapshot) -> Vec<String> {
    let valid = snapshot.endpoints.iter();
    let valid = valid.map(|record| format!("servers/{}", record.name));
    let invalid = snapshot.unreadable.iter().map(|entry| entry.key.clone());
    let mut keys: Vec<String> = valid.chain(invalid).collect();
    keys.sort_unstable();
    keys
}

/// Guards against a gateway that learns of no endpoint after its start because the key at the end of a page, which another
/// program wrote, has characters with a meaning in a query.
#[tokio::test]
async fn a_gateway_starts_although_a_page_ends_with_a_key_of_any_characters() {
    for name in [
        "b&after=", "b+b", "b#b", "b%62", "b%", "b b", "b?b", "b=b", "bß", "b\"\\b",
    ] {
        let names = [name, "c", "d"].map(str::to_owned);
        let store = Arc::new(PagedStore::new(names));
        let gateway = ReadingGateway::start_with_store(store).await;
        gateway.until_known(&["c", "d"]).await;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against entries that are read twice or not at all, whatever the keys of the entries are.
    #[test]
    fn each_entry_is_read_once(names in prop::collection::btree_set("[ -~äß€]{1,12}", 1..12)) {
        let store = PagedStore::new(names);
        let mut expected: Vec<String> = store.keys.iter().cloned().collect();
        expected.retain(|key| key != CONFIG_KEY);
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().build().unwrap();
        let snapshot = runtime.block_on(read(store));
        prop_assert!(snapshot.config.is_some());
        prop_assert_eq!(read_keys(&snapshot), expected);
    }
}
