//! Tests of responses whose status is none of HTTP's.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, RESUMABLE_STREAM, STREAM, STREAM_END, ScriptedEndpoint, TestGateway,
    endpoint_response, request, stream_start,
};

/// Statuses that are not final ones of HTTP.
const INVALID_STATUSES: [&str; 11] = [
    "000", "001", "099", "101", "600", "777", "999", "00", "0000", "-01", "2x0",
];

/// Guards against a response with a status that HTTP does not have and that reaches a caller as its answer.
#[tokio::test]
async fn a_response_with_an_invalid_status_does_not_reach_the_caller() {
    let kinds = [RouteKind::Unsafe, RouteKind::Safe, STREAM, RESUMABLE_STREAM];
    for kind in kinds {
        for status in INVALID_STATUSES {
            let answer = endpoint_response(&format!("{status} Unknown"), "text");
            let endpoint = ScriptedEndpoint::start(vec![EndpointStep::Answer(answer)]).await;
            let gateway = TestGateway::with_endpoints(kind, 1, &[&endpoint]);
            let reply = gateway.send(request(&[])).await;
            assert_eq!(reply.status(), StatusCode::BAD_GATEWAY, "{kind:?} {status}");
            assert!(!reply.headers().contains_key("x-oatpier-response-stamp"));
        }
    }
}

/// Guards against a request that is refused, or a stream that ends, because one of several endpoints sends a status that
/// HTTP does not have.
#[tokio::test]
async fn a_request_goes_elsewhere_after_a_response_with_an_invalid_status() {
    for status in INVALID_STATUSES {
        let invalid = endpoint_response(&format!("{status} Unknown"), "text");
        let event = "id: 1\ndata: 1\n\n";
        for (kind, valid) in [
            (RouteKind::Safe, endpoint_response("200 OK", "text")),
            (RESUMABLE_STREAM, stream_start(&[event]) + STREAM_END),
        ] {
            let step = EndpointStep::Answer(invalid.clone());
            let unusable = ScriptedEndpoint::start(vec![step; 2]).await;
            let sound = ScriptedEndpoint::start(vec![EndpointStep::Answer(valid); 2]).await;
            let gateway = TestGateway::with_endpoints(kind, 2, &[&unusable, &sound]);
            for _ in 0..2 {
                let reply = gateway.send(request(&[])).await;
                assert_eq!(reply.status(), StatusCode::OK, "{kind:?} {status}");
            }
            assert!(!unusable.requests().is_empty(), "{kind:?} {status}");
        }
    }
}
