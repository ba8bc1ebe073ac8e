//! Tests of streams at endpoints with several versions of their software.

use crate::support::{
    EndpointStep, STREAM_END, ScriptedEndpoint, TestGateway, request, stream_start,
};

fn event(number: u32) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

/// An operator sees from the log where a broken stream went on, and at which versions of the software.
#[tokio::test]
async fn a_resumed_stream_is_logged_with_both_endpoints_and_versions() {
    let broken = stream_start(&[&event(1), "id: 2\nda"]);
    let rest = stream_start(&[&event(2)]) + STREAM_END;
    let first = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(broken)]).await;
    let second = ScriptedEndpoint::start(vec![EndpointStep::Answer(rest)]).await;
    let gateway = TestGateway::with_versions(2, &[(&first, "v1"), (&second, "v1")]);
    gateway.report_engine(&second, 5);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(&answer.body()[..], (event(1) + &event(2)).as_bytes());
    let line = gateway.logged("stream broke off").remove(0);
    let fields = [
        "\"endpoint\":\"i-1\"",
        "\"version\":\"v1\"",
        "\"resumed_at\":\"i-2\"",
        "\"resumed_version\":\"v1\"",
    ];
    for field in fields {
        assert!(line.contains(field), "{line}");
    }
}

/// An operator finds the attempts of a caller that took a stream up.
#[tokio::test]
async fn a_request_that_takes_up_a_stream_is_logged_with_the_first_attempt() {
    let rest = stream_start(&[&event(3)]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(rest)]).await;
    let gateway = TestGateway::with_versions(2, &[(&engine, "v1")]);
    let caller = [("resumes", "7a01"), ("last-event-id", "2")];
    gateway.send(request(&caller)).await;
    let line = gateway.logged("answer").remove(0);
    for field in [
        "\"resumes\":\"7a01\"",
        "\"after_event\":\"2\"",
        "\"version\":\"v1\"",
    ] {
        assert!(line.contains(field), "{line}");
    }
    assert!(engine.requests()[0].contains("resumes: 7a01\r\n"));
    let metrics = gateway.core.metrics.encode();
    assert!(
        metrics.contains("taken_up_streams_total{cause=\"answered\"} 1"),
        "{metrics}"
    );
}
