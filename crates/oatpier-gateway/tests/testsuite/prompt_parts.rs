//! Tests of prompt parts that crash the endpoints that run requests with them.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};

use crate::fragile::FragileFleet;
use crate::support::request;

/// The part that crashes endpoints.
const CRASHING_PART: &str = "bad1:40";

/// The number of crashes under a part before it must be recognized, and the number of sends allowed after that.
const CRASHES_ALLOWED: u32 = 5;
const SENDS_ALLOWED_AFTER: u32 = 3;

/// Returns whether a request contains the part that crashes endpoints.
fn is_crashing(request: &str) -> bool {
    request.contains(CRASHING_PART)
}

/// Returns the request with this number, with a body and a last part that no other request has.
fn numbered(number: u32, shared_parts: &str) -> Request<Bytes> {
    let mut request = request(&[]);
    let parts = format!("{shared_parts},e{number:x}:100");
    let headers = request.headers_mut();
    headers.insert(
        "x-oatpier-prompt-prefix",
        HeaderValue::from_str(&parts).unwrap(),
    );
    *request.body_mut() = Bytes::from(format!("text {number}"));
    request
}

/// Sends a request with the crashing part.
async fn send_crashing(fleet: &mut FragileFleet, number: u32) -> Response<Bytes> {
    let shared = format!("f1:500,{CRASHING_PART}");
    fleet.send(numbered(number, &shared)).await
}

/// Sends a request that shares all other parts.
async fn send_sound(fleet: &mut FragileFleet, number: u32) -> Response<Bytes> {
    fleet.send(numbered(number, "f1:500,c2:40")).await
}

/// Guards against a prompt part that crashes endpoint after endpoint under requests that are otherwise different. If
/// the gateway identified a request by its whole content, each of them would be new: of twenty requests with the part,
/// all would reach and crash an endpoint. Requests without the part are served throughout.
#[tokio::test]
async fn a_part_that_crashed_five_endpoints_reaches_at_most_three_more() {
    let mut fleet = FragileFleet::start(is_crashing).await;
    for number in 0..20 {
        let sound = send_sound(&mut fleet, 100 + number).await;
        assert_eq!(sound.status(), StatusCode::OK, "sound request {number}");
        send_crashing(&mut fleet, number).await;
    }
    assert!(
        fleet.reached <= CRASHES_ALLOWED + SENDS_ALLOWED_AFTER,
        "{} sends reached endpoints",
        fleet.reached
    );
}
