//! Tests of streams at endpoints with several versions of their software.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::message::{InnerMessage, OriginAnswer};
use oatpier_serving::origins::{OriginRecord, OriginTable, StreamKey, StreamOrigin};
use oatpier_types::clock::ClockTime;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, REQUEST_ID, STREAM_END, ScriptedEndpoint, TestGateway, chunk, record, request,
    service, settings, status, stream_start, version, versioned,
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

/// Returns an endpoint that ends in the middle of the second event.
async fn breaking_endpoint() -> ScriptedEndpoint {
    let broken = stream_start(&[&event(1), "id: 2\nda"]);
    ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(broken)]).await
}

/// Returns an endpoint that answers one request with the events from `first` to 3.
async fn serving_endpoint(first: u32) -> ScriptedEndpoint {
    let events: Vec<String> = (first..=3).map(event).collect();
    let events: Vec<&str> = events.iter().map(String::as_str).collect();
    let answer = stream_start(&events) + STREAM_END;
    ScriptedEndpoint::start(vec![EndpointStep::Answer(answer)]).await
}

/// Guards against a response with events from endpoints of two versions. Its endpoint ends, and an idle endpoint of
/// another version is preferred to the one of the same version.
#[tokio::test]
async fn a_broken_stream_is_resumed_only_at_an_endpoint_of_its_version() {
    let (first, other) = (breaking_endpoint().await, serving_endpoint(2).await);
    let same = serving_endpoint(2).await;
    let endpoints = [(&first, "v1"), (&other, "v2"), (&same, "v1")];
    let gateway = TestGateway::with_versions(3, &endpoints);
    gateway.report_engine(&other, 0);
    gateway.report_engine(&same, 5);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(
        &answer.body()[..],
        (event(1) + &event(2) + &event(3)).as_bytes()
    );
    assert!(other.requests().is_empty());
    assert_eq!(same.requests().len(), 1);
}

/// Guards against a response with events from endpoints of two versions. No other endpoint has the stream's version, so
/// the caller's connection is cut.
#[tokio::test]
async fn a_broken_stream_is_cut_if_no_other_endpoint_has_its_version() {
    let (first, other) = (breaking_endpoint().await, serving_endpoint(2).await);
    let gateway = TestGateway::with_versions(2, &[(&first, "v1"), (&other, "v2")]);
    let reply = gateway.reply(request(&[])).await;
    assert_eq!(reply.status(), StatusCode::OK);
    assert!(reply.into_body().collect().await.is_err());
    assert!(other.requests().is_empty());
}

/// Guards against a response with events from endpoints of two versions. The first endpoint is silent for a while, and
/// the stream must stay there, because the idle endpoint has another version.
#[tokio::test]
async fn a_stalled_stream_does_not_move_to_an_endpoint_of_another_version() {
    let rest = chunk(&event(2)) + &chunk(&event(3)) + STREAM_END;
    let pause = Duration::from_millis(1_500);
    let slow = EndpointStep::AnswerInParts(stream_start(&[&event(1)]), pause, rest);
    let first = ScriptedEndpoint::start(vec![slow]).await;
    let other = serving_endpoint(2).await;
    let gateway = TestGateway::with_versions(2, &[(&first, "v1"), (&other, "v2")]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(
        &answer.body()[..],
        (event(1) + &event(2) + &event(3)).as_bytes()
    );
    assert!(other.requests().is_empty());
}

/// Guards against a caller that gets events of two versions over two attempts. Its stream began at `v1` and broke off,
/// and when it returns, an idle endpoint of another version is preferred.
#[tokio::test]
async fn a_caller_that_returns_is_sent_to_an_endpoint_of_the_version_of_its_stream() {
    let (first, other) = (breaking_endpoint().await, serving_endpoint(2).await);
    let same = serving_endpoint(2).await;
    let endpoints = [(&first, "v1"), (&other, "v2"), (&same, "v1")];
    let gateway = TestGateway::with_versions(1, &endpoints);
    let reply = gateway.reply(request(&[])).await;
    assert!(reply.into_body().collect().await.is_err());
    first.end();
    gateway.report_engine(&other, 0);
    gateway.report_engine(&same, 5);
    let caller = [("resumes", REQUEST_ID), ("last-event-id", "1")];
    let answer = gateway.send(request(&caller)).await;
    assert_eq!(&answer.body()[..], (event(2) + &event(3)).as_bytes());
    assert!(other.requests().is_empty());
}

/// Guards against a stream that is continued at a guess. Nothing is known of its beginning, and two versions serve.
#[tokio::test]
async fn a_stream_whose_version_is_unknown_is_not_taken_up() {
    let (one, other) = (serving_endpoint(2).await, serving_endpoint(2).await);
    let gateway = TestGateway::with_versions(2, &[(&one, "v1"), (&other, "v2")]);
    let caller = [("resumes", "7a01"), ("last-event-id", "1")];
    let answer = gateway.send(request(&caller)).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(one.requests().is_empty() && other.requests().is_empty());
}

fn gateway_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 7_380 + u16::try_from(index).unwrap()))
}

/// Passes the records that a gateway has sent to another one.
fn pass_records(from: &TestGateway, to: &TestGateway) {
    for (_, message) in from.outlet.sent() {
        if let InnerMessage::StreamsBegun(records) = message {
            to.core.keep_origin_records(records);
        }
    }
}

/// Runs `work` while a gateway answers the questions of another one.
async fn with_answers<T>(
    asking: &TestGateway,
    answering: &TestGateway,
    work: impl Future<Output = T>,
) -> T {
    let passing = async {
        let (mut asked, mut answered) = (0, 0);
        loop {
            for (_, message) in asking.outlet.sent().drain(asked..) {
                asked += 1;
                if let InnerMessage::OriginAsk(ask) = message {
                    answering.core.answer_origin_ask(gateway_address(0), &ask);
                }
            }
            for (_, message) in answering.outlet.sent().drain(answered..) {
                answered += 1;
                if let InnerMessage::OriginAnswer(answer) = message {
                    asking.core.complete_origin_ask(*answer);
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    // The messages are passed first: on a busy machine an answer must not arrive after its timeout.
    tokio::select! {
        biased;
        () = passing => unreachable!("messages are passed without end"),
        done = work => done,
    }
}

/// A stream that broke off at its only endpoint of `v1`, as begun by one gateway, and another gateway in front of the other
/// endpoints. An endpoint of `v2` is preferred there.
struct BrokenStream {
    began: TestGateway,
    returned: TestGateway,
    other: ScriptedEndpoint,
    _same: ScriptedEndpoint,
}

impl BrokenStream {
    async fn begin() -> Self {
        let (first, other) = (breaking_endpoint().await, serving_endpoint(2).await);
        let same = serving_endpoint(2).await;
        let endpoints = [(&first, "v1"), (&other, "v2"), (&same, "v1")];
        let began = TestGateway::with_versions(1, &endpoints);
        let returned = TestGateway::with_versions(1, &endpoints[1..]);
        began.meet_gateways(&[gateway_address(1)]);
        returned.meet_gateways(&[gateway_address(0)]);
        let reply = began.reply(request(&[])).await;
        assert!(reply.into_body().collect().await.is_err());
        Self {
            began,
            returned,
            other,
            _same: same,
        }
    }

    /// Checks the rest of the stream, and how its version was found.
    fn check_rest(&self, answer: &Response<Bytes>, known_by: &str) {
        assert_eq!(&answer.body()[..], (event(2) + &event(3)).as_bytes());
        assert!(self.other.requests().is_empty());
        let line = self.returned.logged("answer").remove(0);
        let known_by = format!("\"known_by\":\"{known_by}\"");
        for field in ["\"stream_version\":\"v1\"", &known_by] {
            assert!(line.contains(field), "{line}");
        }
    }
}

const RETURN: [(&str, &str); 2] = [("resumes", REQUEST_ID), ("last-event-id", "1")];

/// Guards against a caller that gets events of two versions because it returns to another gateway than the one that began
/// its stream, which has ended since.
#[tokio::test]
async fn a_stream_goes_on_at_its_version_after_its_gateway_has_ended() {
    let stream = BrokenStream::begin().await;
    pass_records(&stream.began, &stream.returned);
    let answer = stream.returned.send(request(&RETURN)).await;
    stream.check_rest(&answer, "own record");
}

/// Guards against a caller that gets events of two versions because the record of its stream was lost on the way. The
/// gateway asks the one that began the stream.
#[tokio::test]
async fn a_gateway_asks_for_the_version_of_a_stream_that_it_does_not_know() {
    let stream = BrokenStream::begin().await;
    let sending = stream.returned.send(request(&RETURN));
    let answer = with_answers(&stream.returned, &stream.began, sending).await;
    stream.check_rest(&answer, "record");
}

/// Guards against a stream that is given up, or that goes on at another version, because all gateways have ended. Its record is
/// with the sidecars of engines.
#[tokio::test]
async fn a_gateway_asks_sidecars_for_the_version_of_a_stream() {
    let stream = BrokenStream::begin().await;
    let sidecar = SocketAddr::new(stream.other.address.ip(), settings().inner_port);
    let mut table = OriginTable::default();
    for (to, message) in stream.began.outlet.sent() {
        if let InnerMessage::StreamsBegun(records) = message
            && to == sidecar
        {
            let kept = records.into_iter();
            kept.for_each(|record| table.keep(record, ClockTime::ZERO));
        }
    }
    let answering = async {
        let mut asked = 0;
        loop {
            for (to, message) in stream.returned.outlet.sent().drain(asked..) {
                asked += 1;
                if let InnerMessage::OriginAsk(ask) = message
                    && to == sidecar
                {
                    stream.returned.core.complete_origin_ask(OriginAnswer {
                        id: ask.id,
                        attestation: table.attest(ask.key, ClockTime::ZERO),
                    });
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    // The answers come first: on a busy machine one must not arrive after its timeout.
    let answer = tokio::select! {
        biased;
        () = answering => unreachable!("questions are answered without end"),
        answer = stream.returned.send(request(&RETURN)) => answer,
    };
    stream.check_rest(&answer, "record");
}

/// Guards against a caller that is kept waiting while the gateways that could know its stream don't answer. The refusal is
/// true, and says when to return.
#[tokio::test]
async fn a_caller_whose_stream_is_unknown_for_lack_of_an_answer_is_told_when_to_return() {
    let one = serving_endpoint(2).await;
    let gateway = TestGateway::with_versions(1, &[(&one, "v1")]);
    gateway.meet_gateways(&[gateway_address(1)]);
    let caller = [("resumes", "7a01"), ("last-event-id", "1")];
    let answer = gateway.send(request(&caller)).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(one.requests().is_empty());
    let metrics = gateway.core.metrics.encode();
    assert!(metrics.contains("taken_up_streams_total{cause=\"stream-unknown\"} 1"));
}

/// Guards against a stream that is refused only after a wait although no endpoint has its version.
#[tokio::test]
async fn a_stream_whose_version_has_no_endpoint_is_refused_at_once() {
    let (first, other) = (breaking_endpoint().await, serving_endpoint(2).await);
    let gateway = TestGateway::with_versions(1, &[(&first, "v1"), (&other, "v2")]);
    let reply = gateway.reply(request(&[])).await;
    assert!(reply.into_body().collect().await.is_err());
    gateway
        .core
        .apply_records(None, vec![versioned(2, &other, "v2")]);
    let caller = [("resumes", REQUEST_ID), ("last-event-id", "1")];
    let answer = gateway.send(request(&caller)).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(&answer.body()[..], b"version-missing\n");
    assert!(!answer.headers().contains_key("retry-after"));
    assert!(other.requests().is_empty());
}

/// Guards against streams that wait in vain: no endpoint of their version holds the model any more. The gateway that plans
/// is asked to load it there.
#[tokio::test]
async fn the_planner_is_asked_for_a_model_at_the_version_of_a_stream() {
    let (same, other) = (serving_endpoint(2).await, serving_endpoint(2).await);
    let gateway = TestGateway::with_versions(2, &[(&same, "v1"), (&other, "v2")]);
    gateway
        .core
        .apply_status(status(1, same.address, Vec::new()));
    gateway.report_engine(&other, 0);
    gateway.meet_gateways(&[gateway_address(1)]);
    gateway.core.keep_origin_records(vec![OriginRecord {
        key: StreamKey::new(None, "7a01"),
        origin: Some(StreamOrigin {
            service: service(),
            version: version("v1"),
        }),
        expires_in_ms: 10_000,
    }]);
    let caller = [
        ("resumes", "7a01"),
        ("last-event-id", "1"),
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ];
    let asked = async {
        loop {
            let sent = gateway.outlet.sent();
            let found = sent.into_iter().find_map(|(to, message)| match message {
                InnerMessage::PinnedWanted(needed) => Some((to, needed)),
                _ => None,
            });
            if let Some(found) = found {
                return found;
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    let (to, needed) = tokio::select! {
        found = asked => found,
        _ = gateway.send(request(&caller)) => unreachable!("the request waits for its model"),
    };
    assert_eq!(to, gateway_address(1));
    assert_eq!(needed.version, version("v1"));
    assert!(other.requests().is_empty());
}

/// Guards against a request that takes the processor while it waits for a model at its version at the gateway that plans.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_a_model_at_its_version_sleeps_between_its_tries() {
    let gateway = TestGateway::with_records(vec![
        EndpointRecord {
            version: Some(version("v1")),
            ..record(1, SocketAddr::from(([127, 0, 0, 3], 9)))
        },
        EndpointRecord {
            version: Some(version("v2")),
            ..record(2, SocketAddr::from(([127, 0, 0, 4], 9)))
        },
    ]);
    let reported = status(1, SocketAddr::from(([127, 0, 0, 3], 9)), Vec::new());
    gateway.core.apply_status(reported);
    gateway.core.keep_origin_records(vec![OriginRecord {
        key: StreamKey::new(None, "7a01"),
        origin: Some(StreamOrigin {
            service: service(),
            version: version("v1"),
        }),
        expires_in_ms: 10_000,
    }]);
    let caller = [
        ("resumes", "7a01"),
        ("last-event-id", "1"),
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ];
    // The paused clock advances only while all tasks sleep, so that the answer never comes otherwise.
    let answer = gateway.send(request(&caller)).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a stream that goes on at another version because its caller does not name it: the gateway, which may be out of
/// step, relied on its own view without asking.
#[tokio::test]
async fn a_stream_without_a_name_is_not_taken_up_without_an_answer() {
    let one = serving_endpoint(2).await;
    let gateway = TestGateway::with_versions(1, &[(&one, "v1")]);
    gateway.meet_gateways(&[gateway_address(1)]);
    let answer = gateway.send(request(&[("last-event-id", "1")])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(one.requests().is_empty());
}

/// A stream whose caller does not name it goes on while other gateways agree that there is a single version.
#[tokio::test]
async fn a_stream_without_a_name_goes_on_if_another_gateway_knows_a_single_version() {
    let one = serving_endpoint(2).await;
    let gateway = TestGateway::with_versions(1, &[(&one, "v1")]);
    let other = TestGateway::with_versions(1, &[(&one, "v1")]);
    gateway.meet_gateways(&[gateway_address(1)]);
    let sending = gateway.send(request(&[("last-event-id", "1")]));
    let answer = with_answers(&gateway, &other, sending).await;
    assert_eq!(&answer.body()[..], (event(2) + &event(3)).as_bytes());
}
