//! Builds the correct response to a request from the request's id alone, and the headers of responses.

use http::{HeaderMap, HeaderValue, StatusCode};
use oatpier_wire::reply::{self, Reply};

/// The number of events in every stream.
pub const EVENTS: u32 = 12;

/// Returns the body of a single response.
#[must_use]
pub fn body(id: &str) -> String {
    format!("answer to {id}, with enough text after it to be cut in the middle")
}

/// Returns an event of a stream. The first has number 1.
#[must_use]
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} part {number}\n\n")
}

/// Returns the body of a complete stream.
#[must_use]
pub fn stream(id: &str) -> String {
    stream_after(id, 0)
}

/// Returns the body of the rest of a stream after an event.
#[must_use]
pub fn stream_after(id: &str, after: u32) -> String {
    (after + 1..=EVENTS)
        .map(|number| event(id, number))
        .collect()
}

/// Returns the stamp that an endpoint puts on its response.
#[must_use]
pub fn stamp(id: &str, instance: &str) -> String {
    format!("{id}.{instance}")
}

/// Returns a response that says that the request did not run.
pub(super) fn not_run_response(status: StatusCode) -> Reply {
    let mut response = reply::text(status, "");
    set(response.headers_mut(), "x-oatpier-not-executed", "1");
    response
}

/// Sets the request id and the stamp on a response to the request `id`.
pub(super) fn set_stamp(headers: &mut HeaderMap, id: &str, instance: &str) {
    set(headers, "x-oatpier-request-id", id);
    set(headers, "x-oatpier-response-stamp", &stamp(id, instance));
}

/// Sets a header, unless `value` is not a valid header value.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a header's value, if it is visible ASCII.
pub(super) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
