//! Tests of rate limits that endpoints set for the requests of all gateways together.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{Request, StatusCode};
use oatpier_serving::message::{InnerMessage, LimitReport};
use oatpier_serving::notice::RequestRate;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::turns::TurnAnswer;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use tokio::time::{Instant, sleep};

use crate::support::{
    EndpointStep, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, endpoint_response, prompt,
    request, status, stream_start, with_headers,
};

/// The rate that the endpoint accepts, in requests per second.
const RATE: f64 = 2.5;

/// The number of requests that the callers of each gateway send at once.
const CALLERS: usize = 30;

/// Returns responses that announce the rate limit.
fn limited_answers(count: usize) -> Vec<EndpointStep> {
    let answer = endpoint_response("200 OK", "done");
    let answer = with_headers(&answer, &[("server-limit", &RATE.to_string())]);
    vec![EndpointStep::Answer(answer); count]
}

fn request_with_short_deadline() -> Request<Bytes> {
    request(&[("x-oatpier-deadline-ms", "600")])
}

/// Returns how many requests the platform lets an endpoint receive within a time span.
fn allowed_requests(span: Duration) -> f64 {
    1.5 * RATE * span.as_secs_f64() + 5.0
}

/// Guards against gateways that each use the whole limit, so that the endpoint receives a multiple of it.
#[tokio::test]
async fn gateways_together_keep_the_rate_limit_of_an_endpoint() {
    let endpoint = ScriptedEndpoint::start(limited_answers(3 * CALLERS)).await;
    let gateways = [0, 1].map(|_| TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]));
    let started_at = Instant::now();
    for gateway in &gateways {
        gateway.send(request_with_short_deadline()).await;
    }
    let sent_before = endpoint.requests().len();
    let sending = gateways.iter().flat_map(|gateway| {
        let callers = 0..CALLERS;
        callers.map(|_| gateway.send(request_with_short_deadline()))
    });
    join_all(sending).await;
    let sent = endpoint.requests().len() - sent_before;
    let sent = f64::from(u32::try_from(sent).unwrap());
    let allowed = allowed_requests(started_at.elapsed());
    assert!(sent <= allowed, "{sent} requests, allowed {allowed:.1}");
}

/// Creates a gateway that was informed by another gateway of the limit of its first endpoint.
fn gateway_with_limit(endpoints: &[&ScriptedEndpoint]) -> TestGateway {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, endpoints);
    gateway.hold_parts_elsewhere();
    gateway.core.apply_limit_report(&limit_report());
    gateway
}

fn limit_report() -> LimitReport {
    LimitReport {
        endpoint: EndpointName::try_from("i-1").unwrap(),
        start: None,
        rate: Some(RequestRate::try_from(RATE).unwrap()),
        sent_ago_ms: 5,
    }
}

#[tokio::test]
async fn a_request_is_sent_with_a_turn() {
    let endpoint = ScriptedEndpoint::start(limited_answers(1)).await;
    let gateway = gateway_with_limit(&[&endpoint]);
    let sending = gateway.send(request_with_short_deadline());
    let answer = gateway
        .with_turn_answers(sending, |_| TurnAnswer::In(20))
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    let asks = gateway.turn_requests();
    assert_eq!(asks.len(), 1);
    assert_eq!(asks[0].limit.rate, RequestRate::try_from(RATE).ok());
}

/// Guards against requests that wait while another endpoint is idle. One of two endpoints has a rate limit, and its
/// next turn is a second away.
#[tokio::test]
async fn beyond_the_limit_a_request_goes_to_another_endpoint() {
    let limited = ScriptedEndpoint::start(limited_answers(1)).await;
    let plain = EndpointStep::Answer(endpoint_response("200 OK", "done"));
    let other = ScriptedEndpoint::start(vec![plain; 2]).await;
    let gateway = gateway_with_limit(&[&limited, &other]);
    for _ in 0..2 {
        let sending = gateway.send(request_with_short_deadline());
        let answer = gateway
            .with_turn_answers(sending, |_| TurnAnswer::Later(1_000))
            .await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(other.requests().len(), 2);
    assert!(limited.requests().is_empty());
    assert!(gateway.turn_requests().len() <= PartIndex::all().count());
}

/// Guards against late or useless retries. The only endpoint has no turn before the caller's deadline. If the
/// caller waited, it would learn this too late to go elsewhere. If `Retry-After` were shorter than the holder's
/// answer, the caller would retry in vain.
#[tokio::test]
async fn without_a_turn_in_time_the_caller_gets_retry_after_at_once() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = gateway_with_limit(&[&endpoint]);
    let sending = gateway.send(request_with_short_deadline());
    let answer = gateway
        .with_turn_answers(sending, |_| TurnAnswer::Later(9_000))
        .await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after = answer.headers()["retry-after"].to_str().unwrap();
    let after: f64 = after.parse().unwrap();
    assert!((8.0..=10.0).contains(&after), "{after}");
    let asked = gateway.turn_requests().len();
    let again = gateway.send(request_with_short_deadline()).await;
    assert_eq!(again.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        gateway.turn_requests().len(),
        asked,
        "a known answer is not requested again"
    );
    assert!(endpoint.requests().is_empty());
    let line = gateway.logged("answer").join("");
    assert!(line.contains("rate-limited"), "{line}");
}

/// The gateway reaches no holder that grants turns, so it cannot know how many requests the others send.
#[tokio::test]
async fn without_any_holder_a_limited_endpoint_gets_no_requests() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = gateway_with_limit(&[&endpoint]);
    let answer = gateway.send(request_with_short_deadline()).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(gateway.turn_requests().len(), PartIndex::all().count());
    assert!(endpoint.requests().is_empty());
}

/// Guards against requests that ignore a limit because they were placed before it was known. A prompt waits for its
/// permit when another gateway reports the limit. It was placed without a turn, and this is checked again before
/// its first byte is sent.
#[tokio::test]
async fn a_limit_applies_to_requests_that_were_placed_before_it_was_known() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    gateway.hold_parts_elsewhere();
    gateway.report_engine(&engine, 0);
    let sending = async {
        tokio::select! {
            answer = gateway.send(prompt()) => answer,
            () = gateway.grant_permits(|| gateway.core.apply_limit_report(&limit_report())) => {
                unreachable!("permits are granted until the response arrives")
            }
        }
    };
    let answer = gateway
        .with_turn_answers(sending, |_| TurnAnswer::In(0))
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(gateway.turn_requests().len(), 1);
    assert!(
        gateway
            .core
            .metrics
            .encode()
            .contains("sends_total{cause=\"held-back\"} 1")
    );
}

/// Guards against gateways that keep sending at the old rate. The gateway that finds a limit, or its end, in a
/// response informs the others at once.
#[tokio::test]
async fn other_gateways_are_informed_of_a_limit_and_of_its_end() {
    let plain = EndpointStep::Answer(endpoint_response("200 OK", "done"));
    let steps = [limited_answers(2), vec![plain]].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway.hold_parts_elsewhere();
    let mut named = status(1, endpoint.address, Vec::new());
    named.gateways = vec!["10.0.0.9:7380".parse().unwrap()];
    gateway.core.apply_status(named);
    for _ in 0..3 {
        let sending = gateway.send(request_with_short_deadline());
        gateway
            .with_turn_answers(sending, |_| TurnAnswer::In(0))
            .await;
    }
    let reports = gateway.outlet.sent().into_iter();
    let reports = reports.filter_map(|(to, message)| match message {
        InnerMessage::LimitSeen(report) => {
            Some((to.to_string(), report.rate.map(RequestRate::per_second)))
        }
        _ => None,
    });
    let peer = "10.0.0.9:7380".to_owned();
    assert_eq!(
        reports.collect::<Vec<_>>(),
        [(peer.clone(), Some(RATE)), (peer, None)]
    );
}

/// Guards against requests that wait for a turn while their gateway is stopped. If the request were kept until the
/// process is killed, its caller would see a closed connection.
#[tokio::test]
async fn a_request_that_waits_for_its_turn_is_refused_when_its_gateway_stops() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = gateway_with_limit(&[&endpoint]);
    let closing = async {
        while gateway.turn_requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        gateway.core.close();
    };
    let sending = async { tokio::join!(gateway.send(request(&[])), closing).0 };
    let answer = gateway
        .with_turn_answers(sending, |_| TurnAnswer::In(1_900))
        .await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let lines = gateway.logged("answer").join("");
    assert!(lines.contains("\"outcome\":\"leaving\""), "{lines}");
    assert!(endpoint.requests().is_empty());
}
