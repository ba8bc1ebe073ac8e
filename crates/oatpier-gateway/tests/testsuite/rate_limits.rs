//! Limits that endpoints put on the requests of all gateways.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{Request, StatusCode};
use oatpier_serving::message::{InnerMessage, LimitWord};
use oatpier_serving::notice::RequestRate;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::turns::TurnAnswer;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use tokio::time::{Instant, sleep};

use crate::support::{
    EndpointStep, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, own_answer, prompt, pulse,
    request, stream_start, with_headers,
};

/// Requests a second that the endpoint takes.
const RATE: f64 = 2.5;

/// Requests that each gateway's callers send at once.
const CALLERS: usize = 30;

/// Answers that name the limit.
fn limited_answers(count: usize) -> Vec<EndpointStep> {
    let answer = own_answer("200 OK", "done");
    let answer = with_headers(&answer, &[("server-limit", &RATE.to_string())]);
    vec![EndpointStep::Answer(answer); count]
}

fn impatient() -> Request<Bytes> {
    request(&[("x-oatpier-deadline-ms", "600")])
}

/// What the platform allows an endpoint to get within a span.
fn allowed(span: Duration) -> f64 {
    1.5 * RATE * span.as_secs_f64() + 5.0
}

/// Gateways that were told a limit send as before: the endpoint gets what each of them would send alone.
#[tokio::test]
async fn gateways_together_keep_the_limit_that_an_endpoint_names() {
    let endpoint = ScriptedEndpoint::start(limited_answers(3 * CALLERS)).await;
    let gateways = [0, 1].map(|_| TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]));
    let begun = Instant::now();
    for gateway in &gateways {
        gateway.send(impatient()).await;
    }
    let told = endpoint.requests().len();
    let sending = gateways.iter().flat_map(|gateway| {
        let callers = 0..CALLERS;
        callers.map(|_| gateway.send(impatient()))
    });
    join_all(sending).await;
    let sent = endpoint.requests().len() - told;
    let sent = f64::from(u32::try_from(sent).unwrap());
    let allowed = allowed(begun.elapsed());
    assert!(sent <= allowed, "{sent} requests, allowed {allowed:.1}");
}

/// A gateway that was told the limit of its first endpoint by another one.
fn told(endpoints: &[&ScriptedEndpoint]) -> TestGateway {
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, endpoints);
    gateway.hold_parts_elsewhere();
    gateway.core.take_limit_word(&limit_word());
    gateway
}

fn limit_word() -> LimitWord {
    LimitWord {
        endpoint: EndpointName::try_from("i-1").unwrap(),
        start: None,
        rate: Some(RequestRate::try_from(RATE).unwrap()),
        sent_ago_ms: 5,
    }
}

#[tokio::test]
async fn a_request_is_sent_with_a_turn() {
    let endpoint = ScriptedEndpoint::start(limited_answers(1)).await;
    let gateway = told(&[&endpoint]);
    let sending = gateway.send(impatient());
    let answer = gateway.with_turns(sending, |_| TurnAnswer::In(20)).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let asks = gateway.turn_asks();
    assert_eq!(asks.len(), 1);
    assert_eq!(asks[0].limit.rate, RequestRate::try_from(RATE).ok());
}

/// One endpoint of two names a limit, and its next turn is a second ahead: the caller would wait for it beside an
/// endpoint that is idle.
#[tokio::test]
async fn beyond_the_limit_a_request_goes_to_another_endpoint() {
    let limited = ScriptedEndpoint::start(limited_answers(1)).await;
    let plain = EndpointStep::Answer(own_answer("200 OK", "done"));
    let other = ScriptedEndpoint::start(vec![plain; 2]).await;
    let gateway = told(&[&limited, &other]);
    for _ in 0..2 {
        let sending = gateway.send(impatient());
        let answer = gateway
            .with_turns(sending, |_| TurnAnswer::Later(1_000))
            .await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(other.requests().len(), 2);
    assert!(limited.requests().is_empty());
    assert!(gateway.turn_asks().len() <= PartIndex::all().count());
}

/// The only endpoint has no turn before the caller leaves. Kept waiting, the caller would learn it too late to go
/// elsewhere; told less than the holder said, it would come back in vain.
#[tokio::test]
async fn where_no_turn_is_in_time_the_caller_is_told_at_once_when_to_return() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = told(&[&endpoint]);
    let sending = gateway.send(impatient());
    let answer = gateway
        .with_turns(sending, |_| TurnAnswer::Later(9_000))
        .await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after = answer.headers()["retry-after"].to_str().unwrap();
    let after: f64 = after.parse().unwrap();
    assert!((8.0..=10.0).contains(&after), "{after}");
    let asked = gateway.turn_asks().len();
    let again = gateway.send(impatient()).await;
    assert_eq!(again.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        gateway.turn_asks().len(),
        asked,
        "what is known is not asked again"
    );
    assert!(endpoint.requests().is_empty());
    let line = gateway.logged("answer").join("");
    assert!(line.contains("rate-limited"), "{line}");
}

/// The gateway reaches nobody who gives turns: it can't know what the others send.
#[tokio::test]
async fn without_word_of_any_holder_a_limited_endpoint_gets_nothing() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = told(&[&endpoint]);
    let answer = gateway.send(impatient()).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(gateway.turn_asks().len(), PartIndex::all().count());
    assert!(endpoint.requests().is_empty());
}

/// A prompt waits for its permit when another gateway tells of the limit: it was placed without a turn, and is looked
/// at again before its first byte.
#[tokio::test]
async fn a_limit_holds_for_requests_that_were_placed_before_it_was_known() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    gateway.hold_parts_elsewhere();
    gateway.hear_engine(&engine, 0);
    let sending = async {
        tokio::select! {
            answer = gateway.send(prompt()) => answer,
            () = gateway.give_permits(|| gateway.core.take_limit_word(&limit_word())) => {
                unreachable!("permits are given for ever")
            }
        }
    };
    let answer = gateway.with_turns(sending, |_| TurnAnswer::In(0)).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(gateway.turn_asks().len(), 1);
    assert!(
        gateway
            .core
            .metrics
            .encode()
            .contains("sends_total{cause=\"held-back\"} 1")
    );
}

/// The gateway that hears of a limit first tells the others at once: until they know they send as before.
#[tokio::test]
async fn other_gateways_are_told_of_a_limit_and_of_its_end() {
    let plain = EndpointStep::Answer(own_answer("200 OK", "done"));
    let steps = [limited_answers(2), vec![plain]].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway.hold_parts_elsewhere();
    let mut named = pulse(1, endpoint.address, Vec::new());
    named.gateways = vec!["10.0.0.9:7380".parse().unwrap()];
    gateway.core.take_pulse(named);
    for _ in 0..3 {
        let sending = gateway.send(impatient());
        gateway.with_turns(sending, |_| TurnAnswer::In(0)).await;
    }
    let told = gateway.outlet.sent().into_iter();
    let told = told.filter_map(|(to, message)| match message {
        InnerMessage::LimitSeen(word) => {
            Some((to.to_string(), word.rate.map(RequestRate::per_second)))
        }
        _ => None,
    });
    let peer = "10.0.0.9:7380".to_owned();
    assert_eq!(
        told.collect::<Vec<_>>(),
        [(peer.clone(), Some(RATE)), (peer, None)]
    );
}

/// The same for a request whose turn lies ahead.
#[tokio::test]
async fn a_request_that_waits_for_its_turn_is_refused_when_its_gateway_stops() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = told(&[&endpoint]);
    let closing = async {
        while gateway.turn_asks().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        gateway.core.close();
    };
    let sending = async { tokio::join!(gateway.send(request(&[])), closing).0 };
    let answer = gateway.with_turns(sending, |_| TurnAnswer::In(1_900)).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let lines = gateway.logged("answer").join("");
    assert!(lines.contains("\"outcome\":\"leaving\""), "{lines}");
    assert!(endpoint.requests().is_empty());
}
