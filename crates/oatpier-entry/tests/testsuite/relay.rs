//! What callers are told when an endpoint answers with an error.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body_util::BodyExt;
use oatpier_entry::errors::{RequestIdentity, VERDICT_HEADER};
use oatpier_entry::sink::{AnswerHead, CallerSink};
use oatpier_types::ids::RequestId;
use oatpier_wire::reply::Reply;

const IDENTITY: RequestIdentity = RequestIdentity {
    request: RequestId(7),
    trace: 9,
};
const BODY: &[u8] = b"the hall is closed";

fn head(status: StatusCode, media_type: &'static str) -> AnswerHead {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    headers.insert(VERDICT_HEADER, HeaderValue::from_static("not-run"));
    AnswerHead { status, headers }
}

/// Returns the response to the caller of a request that an endpoint answered.
async fn relay(head: AnswerHead) -> Reply {
    let (mut sink, reply) = CallerSink::new(IDENTITY);
    sink.relay(Some(head), Bytes::from_static(BODY));
    sink.finish(None);
    reply.await.unwrap()
}

/// An endpoint runs a request and fails with a status that callers take for a refusal. If the status were relayed, a
/// caller would send an at-most-once request again.
#[tokio::test]
async fn an_endpoint_error_is_no_promise_that_the_request_did_not_run() {
    for status in [408, 421, 429, 503] {
        for media_type in ["text/plain", "text/event-stream"] {
            let status = StatusCode::from_u16(status).unwrap();
            let reply = relay(head(status, media_type)).await;
            assert_eq!(reply.status(), StatusCode::BAD_GATEWAY, "{status}");
            assert_eq!(reply.headers()[VERDICT_HEADER], "may-have-run", "{status}");
            assert!(!reply.headers().contains_key(RETRY_AFTER), "{status}");
            let body = reply.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(body.as_ref(), BODY, "{status}");
        }
    }
}

/// An endpoint's answer carries a verdict of its own. If the header were relayed, callers would take it for oatpier's.
#[tokio::test]
async fn a_verdict_of_an_endpoint_is_not_relayed() {
    for status in [StatusCode::OK, StatusCode::NOT_FOUND] {
        let reply = relay(head(status, "text/plain")).await;
        assert_eq!(reply.status(), status);
        assert_ne!(
            reply.headers().get(VERDICT_HEADER),
            Some(&HeaderValue::from_static("not-run"))
        );
        assert_eq!(reply.headers()[RETRY_AFTER], "1");
    }
}

/// An endpoint's own error is relayed. Without a verdict, its caller can't tell whether a retry is safe.
#[tokio::test]
async fn each_relayed_error_carries_a_verdict() {
    for status in [400, 404, 409, 500, 502, 504] {
        let status = StatusCode::from_u16(status).unwrap();
        let reply = relay(head(status, "text/plain")).await;
        assert_eq!(reply.status(), status);
        assert_eq!(reply.headers()[VERDICT_HEADER], "may-have-run", "{status}");
    }
}
