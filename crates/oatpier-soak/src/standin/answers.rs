//! What a right answer to a request looks like, told from the request's id alone, and its headers.

use http::{HeaderMap, HeaderValue, StatusCode};
use oatpier_wire::reply::{self, Reply};

/// Events of every stream.
pub const EVENTS: u32 = 12;

/// The body of a whole answer.
#[must_use]
pub fn whole(id: &str) -> String {
    format!("answer to {id}, with enough text after it to be cut in the middle")
}

/// An event of a stream; the first is 1.
#[must_use]
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} part {number}\n\n")
}

/// A whole stream.
#[must_use]
pub fn stream(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// An endpoint's signature on its answer.
#[must_use]
pub fn stamp(id: &str, instance: &str) -> String {
    format!("{id}.{instance}")
}

/// The word that a request did not run.
pub(super) fn not_run(status: StatusCode) -> Reply {
    let mut answer = reply::text(status, "");
    set(answer.headers_mut(), "x-oatpier-not-executed", "1");
    answer
}

/// Signs an answer to the request `id`.
pub(super) fn sign(headers: &mut HeaderMap, id: &str, instance: &str) {
    set(headers, "x-oatpier-request-id", id);
    set(headers, "x-oatpier-response-stamp", &stamp(id, instance));
}

/// Sets a header, unless its value can't be one.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A header's value, if it is text.
pub(super) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
