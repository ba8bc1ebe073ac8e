//! A stand-in for the platform's store: reads, watches and conditional changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64};

/// The largest number of items in one page.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    /// Values in base64 with the revision of the last change.
    items: BTreeMap<String, (String, u64)>,
}

/// The store. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Store {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        http::serve(
            address,
            Arc::new(move |request, stream| store.handle(&request, stream)),
        )
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item, as the operator and the engines do.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.lock();
        contents.revision += 1;
        let revision = contents.revision;
        contents
            .items
            .insert(key.to_owned(), (base64(value.as_bytes()), revision));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut contents = self.lock();
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let (status, body) = match request.path.as_str() {
            "/kv-range" => (200, self.range(request)),
            "/kv-watch" => (200, self.watch(request)),
            "/kv-txn" => self.change(request),
            _ => (404, String::new()),
        };
        let json = [("Content-Type", "application/json")];
        http::respond(stream, status, &json, body.as_bytes())
    }

    fn range(&self, request: &Request) -> String {
        let (prefix, after) = (request.parameter("path_prefix"), request.parameter("after"));
        let contents = self.lock();
        let items = contents.items.iter();
        let found: Vec<String> = items
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| encode(key, item))
            .collect();
        let is_truncated = found.len() > PAGE_ITEMS;
        let page = found[..found.len().min(PAGE_ITEMS)].join(",");
        let revision = contents.revision;
        format!("{{\"items\":[{page}],\"truncated\":{is_truncated},\"store_revision\":{revision}}}")
    }

    fn watch(&self, request: &Request) -> String {
        let prefix = request.parameter("path_prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut contents = self.lock();
        loop {
            let items = contents.items.iter();
            let events: Vec<String> = items
                .filter(|(key, item)| key.starts_with(&prefix) && item.1 > after)
                .map(|(key, item)| encode(key, item))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), contents.revision);
                return format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
            }
            let waited = self.changed.wait_timeout(contents, left);
            contents = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn change(&self, request: &Request) -> (u16, String) {
        let Some(change) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut contents = self.lock();
        let expected = change.get("expect").list();
        let present = |key: &str| contents.items.get(key).map_or(0, |item| item.1);
        let holds = |row: &Json| {
            row.get("revision").number() == Some(present(row.get("key").text().unwrap_or_default()))
        };
        if !expected.iter().all(holds) {
            let keys = expected.iter().filter_map(|row| row.get("key").text());
            let items: Vec<String> = keys
                .filter_map(|key| Some(encode(key, contents.items.get(key)?)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        contents.revision += 1;
        let revision = contents.revision;
        for put in change.get("puts").list() {
            let key = put.get("key").text().unwrap_or_default().to_owned();
            let value = put.get("value").text().unwrap_or_default().to_owned();
            contents.items.insert(key, (value, revision));
        }
        for key in change.get("remove").list().iter().filter_map(Json::text) {
            contents.items.remove(key);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn encode(key: &str, (value, revision): &(String, u64)) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_rev\":{revision},\"lease\":0}}"
    )
}
