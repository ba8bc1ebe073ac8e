//! Builds the correct response to a request from the request's id alone, and the headers of responses.

use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oatpier_wire::reply::{self, BoxError, Reply};
use tokio::time::{Instant, sleep_until};

/// The number of events in every stream.
pub const EVENTS: u32 = 12;

/// The interval between events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(12);

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

/// Returns the response of an instance that failed while it ran the request. It doesn't say that the request did not run.
pub(super) fn failed_response(status: StatusCode, id: &str, instance: &str) -> Reply {
    let mut response = reply::text(status, "");
    set_stamp(response.headers_mut(), id, instance);
    response
}

/// Returns a response that breaks off in the middle of its body.
pub(super) fn cut_response(id: &str, instance: &str) -> Reply {
    let half = body(id);
    let half = Bytes::from(half[..half.len() / 2].to_owned());
    let frames = [Ok(Frame::data(half)), Err(BoxError::from("cut"))];
    let mut response = streaming_response(stream::iter(frames));
    set_stamp(response.headers_mut(), id, instance);
    response
}

/// Returns the events after event `after`, or the first few of them if the response is cut off. It holds `slot` until
/// its end.
pub(super) fn stream_response(
    id: &str,
    instance: &str,
    slot: impl Send + 'static,
    after: u32,
    is_cut: bool,
) -> Reply {
    let cut_after = if is_cut { after + 4 } else { u32::MAX };
    let request_id = id.to_owned();
    let due = Instant::now();
    let frames = stream::unfold((after + 1, slot), move |(number, slot)| {
        let id = request_id.clone();
        async move {
            if number > EVENTS {
                return None;
            }
            let offset = EVENT_INTERVAL * (number - after);
            sleep_until(due + offset).await;
            if number > cut_after {
                return Some((Err(BoxError::from("cut")), (u32::MAX, slot)));
            }
            let event = Bytes::from(event(&id, number));
            Some((Ok(Frame::data(event)), (number + 1, slot)))
        }
    });
    let mut response = streaming_response(frames);
    set(response.headers_mut(), "content-type", "text/event-stream");
    set_stamp(response.headers_mut(), id, instance);
    response
}

fn streaming_response(
    frames: impl futures::Stream<Item = Result<Frame<Bytes>, BoxError>> + Send + 'static,
) -> Reply {
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
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
