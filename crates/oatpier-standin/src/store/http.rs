//! The HTTP server around a [`LocalStore`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderValue, Response, StatusCode};
use oatpier_ports::store::{ExpectedValue, KeyStore, LeaseId, StoreError};
use oatpier_types::ids::Revision;
use serde::Serialize;

use super::LocalStore;
use crate::serve::{
    Answer, AnswerBody, BufferedRequest, DropConnection, RequestHandler, RunningServer, empty,
    json, not_found, plain, start, with_body,
};

/// A value or a change in an answer.
#[derive(Serialize)]
struct ValueRow {
    key: String,
    revision: u64,
    /// The value in base64, or `null` if the key was removed.
    value: Option<String>,
}

impl ValueRow {
    fn new(key: String, revision: Revision, value: Option<Bytes>) -> Self {
        Self {
            key,
            revision: revision.0,
            value: value.map(|value| STANDARD.encode(value)),
        }
    }
}

#[derive(Serialize)]
struct LeaseAnswer {
    lease: u64,
}

/// Serves an empty store.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_store(address: SocketAddr) -> std::io::Result<RunningServer<LocalStore>> {
    start(address, Arc::new(LocalStore::new())).await
}

impl RequestHandler for LocalStore {
    fn handle(self: Arc<Self>, request: BufferedRequest) -> BoxFuture<'static, Answer> {
        async move { answer(&self, &request).await }.boxed()
    }
}

async fn answer(store: &LocalStore, request: &BufferedRequest) -> Answer {
    let path = decode_path(request.path.trim_start_matches('/'));
    let (service, rest) = path.split_once('/').unwrap_or((&path, ""));
    let result = match (request.method.as_str(), service) {
        ("GET", "kv") => get(store, rest).await,
        ("PUT", "kv") => put(store, rest, request).await,
        ("DELETE", "kv") => delete(store, rest, request).await,
        ("GET", "list") => list(store, rest).await,
        ("GET", "watch") => watch(store, rest, request).await,
        (_, "lease") => lease(store, rest, request).await,
        (_, "standin") => return Ok(control(store, rest, request)),
        _ => Ok(not_found()),
    };
    result.or_else(|error| refusal(&error))
}

/// Decodes the percent-encoded bytes of a path. Invalid encodings stay unchanged.
fn decode_path(path: &str) -> String {
    let mut pieces = path.split('%');
    let mut bytes = pieces.next().unwrap_or("").as_bytes().to_vec();
    for piece in pieces {
        let code = piece.get(..2);
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => bytes.push(byte),
            None => bytes.push(b'%'),
        }
        let rest = code.map_or(piece, |code| &piece[code.len()..]);
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn refusal(error: &StoreError) -> Answer {
    let status = match error {
        StoreError::Conflict { .. } => StatusCode::CONFLICT,
        StoreError::LeaseLapsed => StatusCode::GONE,
        StoreError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        StoreError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::AnswerLost { .. } => return Err(DropConnection),
    };
    let response = plain(status, error.to_string());
    Ok(match error {
        StoreError::Conflict { current } => with_revision(response, *current),
        _ => response,
    })
}

fn with_revision(mut response: Response<AnswerBody>, revision: Revision) -> Response<AnswerBody> {
    let value = HeaderValue::from(revision.0);
    response.headers_mut().insert("x-revision", value);
    response
}

type HandlerResult = Result<Response<AnswerBody>, StoreError>;

async fn get(store: &LocalStore, key: &str) -> HandlerResult {
    let Some(found) = store.get(key).await? else {
        return Ok(plain(StatusCode::NOT_FOUND, "no such key"));
    };
    let body = plain(StatusCode::OK, found.value).into_body();
    let response = with_body(StatusCode::OK, "application/octet-stream", body);
    Ok(with_revision(response, found.revision))
}

async fn put(store: &LocalStore, key: &str, request: &BufferedRequest) -> HandlerResult {
    let Some(expected) = expected(request) else {
        return Ok(bad_expect());
    };
    let lease = match request.number("lease") {
        0 => None,
        lease => Some(LeaseId(lease)),
    };
    let value = request.body.clone();
    let revision = store.put(key, value, expected, lease).await?;
    Ok(with_revision(empty(StatusCode::OK), revision))
}

async fn delete(store: &LocalStore, key: &str, request: &BufferedRequest) -> HandlerResult {
    let Some(expected) = expected(request) else {
        return Ok(bad_expect());
    };
    store.delete(key, expected).await?;
    Ok(empty(StatusCode::NO_CONTENT))
}

async fn list(store: &LocalStore, prefix: &str) -> HandlerResult {
    let rows: Vec<ValueRow> = store
        .list(prefix)
        .await?
        .into_iter()
        .map(|found| ValueRow::new(found.key, found.revision, Some(found.value)))
        .collect();
    Ok(json(StatusCode::OK, &rows))
}

async fn watch(store: &LocalStore, prefix: &str, request: &BufferedRequest) -> HandlerResult {
    let after = Revision(request.number("after"));
    let wait = Duration::from_millis(request.number("wait_ms"));
    let rows: Vec<ValueRow> = store
        .watch(prefix, after, wait)
        .await?
        .into_iter()
        .map(|change| ValueRow::new(change.key, change.revision, change.value))
        .collect();
    Ok(json(StatusCode::OK, &rows))
}

async fn lease(store: &LocalStore, rest: &str, request: &BufferedRequest) -> HandlerResult {
    let (id, verb) = rest.split_once('/').unwrap_or((rest, ""));
    let id = id.parse().map(LeaseId);
    match (request.method.as_str(), id, verb) {
        ("POST", Err(_), "") if rest.is_empty() => {
            let ttl = Duration::from_millis(request.number("ttl_ms"));
            let lease = store.grant_lease(ttl).await?.0;
            Ok(json(StatusCode::OK, &LeaseAnswer { lease }))
        }
        ("POST", Ok(lease), "renew") => {
            store.renew_lease(lease).await?;
            Ok(empty(StatusCode::NO_CONTENT))
        }
        ("DELETE", Ok(lease), "") => {
            store.revoke_lease(lease).await?;
            Ok(empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(not_found()),
    }
}

fn control(store: &LocalStore, rest: &str, request: &BufferedRequest) -> Response<AnswerBody> {
    match (request.method.as_str(), rest) {
        ("GET", "calls") => json(StatusCode::OK, &store.calls()),
        ("GET", "faults") => json(StatusCode::OK, &store.faults()),
        ("POST", "faults") => match request.json() {
            Ok(faults) => {
                store.set_faults(faults);
                empty(StatusCode::NO_CONTENT)
            }
            Err(response) => *response,
        },
        _ => not_found(),
    }
}

fn expected(request: &BufferedRequest) -> Option<ExpectedValue> {
    match request.parameter("expect")? {
        "any" => Some(ExpectedValue::Any),
        "absent" => Some(ExpectedValue::Absent),
        revision => Some(ExpectedValue::At(Revision(revision.parse().ok()?))),
    }
}

fn bad_expect() -> Response<AnswerBody> {
    let text = "`expect` must be `absent`, `any` or a revision";
    plain(StatusCode::BAD_REQUEST, text)
}
