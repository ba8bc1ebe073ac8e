//! Endpoints that die, fail, lie and fall silent.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, not_run, own_answer, pulse, record, request,
};

async fn endpoint(step: EndpointStep) -> ScriptedEndpoint {
    ScriptedEndpoint::start(vec![step]).await
}

fn whole() -> EndpointStep {
    EndpointStep::Answer(own_answer("200 OK", "world"))
}

/// The endpoint reads the request and dies. It may have run, so the caller gets 502, which promises
/// nothing, and no other endpoint gets the request: it must not run twice.
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let dying = endpoint(EndpointStep::Close).await;
    let other = endpoint(whole()).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 2, &[&dying, &other]);
    let mut statuses = Vec::new();
    for _ in 0..2 {
        statuses.push(gateway.send(request(&[])).await.status());
    }
    let runs = dying.requests().len() + other.requests().len();
    assert_eq!(runs, 2, "each request reached one endpoint");
    assert!(statuses.contains(&StatusCode::BAD_GATEWAY));
}

/// The same with an idempotent request: the caller gets the other endpoint's answer.
#[tokio::test]
async fn an_idempotent_request_goes_to_another_endpoint() {
    let dying = endpoint(EndpointStep::Close).await;
    let other = ScriptedEndpoint::start(vec![whole(), whole()]).await;
    let gateway = TestGateway::before(RouteKind::Safe, 2, &[&dying, &other]);
    for _ in 0..2 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
}

/// The endpoint says that it did not run the request. The caller's 503 then promises the same, and
/// tells when to come back.
#[tokio::test]
async fn a_refusal_of_the_endpoint_becomes_one_of_the_gateway() {
    let full = endpoint(EndpointStep::Answer(not_run("503 Service Unavailable"))).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&full]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(!answer.headers().contains_key("x-oatpier-response-stamp"));
}

/// A late answer to an earlier request lies on the connection where this one's is expected. Its id
/// tells; relaying it would give the caller another's data.
#[tokio::test]
async fn an_answer_to_another_request_is_never_relayed() {
    let crossed = own_answer("200 OK", "another's").replace(crate::support::ID, "another");
    let endpoint = endpoint(EndpointStep::Answer(crossed)).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert!(!String::from_utf8_lossy(answer.body()).contains("another's"));
}

#[tokio::test]
async fn a_success_without_signature_is_not_relayed() {
    let unsigned = own_answer("200 OK", "x").replace("x-oatpier-response-stamp", "x-other");
    let endpoint = endpoint(EndpointStep::Answer(unsigned)).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    assert_eq!(
        gateway.send(request(&[])).await.status(),
        StatusCode::BAD_GATEWAY
    );
}

/// The endpoint breaks off in the middle of its body. The caller must not take the part for a whole
/// answer.
#[tokio::test]
async fn a_truncated_answer_never_looks_whole() {
    let cut = own_answer("200 OK", "world").replace("content-length: 5", "content-length: 50");
    let endpoint = endpoint(EndpointStep::AnswerAndClose(cut)).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    assert_eq!(
        gateway.send(request(&[])).await.status(),
        StatusCode::BAD_GATEWAY
    );
}

/// Nobody listens at the address. No byte was sent, so even a request that must run at most once
/// goes to the other endpoint, and that costs it no attempt.
#[tokio::test]
async fn an_endpoint_that_takes_no_connection_costs_nothing() {
    let gone = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let other = ScriptedEndpoint::start(vec![whole(), whole(), whole()]).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&other]);
    gateway
        .core
        .take_records(None, vec![record(1, gone), record(2, other.address)]);
    for _ in 0..3 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
}

/// An engine was restarted: whoever listens at its address has another name, and turns requests for
/// the old one away. Its sidecar speaks for the same service, so the caller gets the new engine's
/// answer instead of a refusal.
#[tokio::test]
async fn a_restarted_engine_is_met_under_its_new_name() {
    let other = "HTTP/1.1 421 Misdirected Request\r\nx-oatpier-instance-id: i-new\r\n\
                 content-length: 0\r\n\r\n";
    let steps = vec![EndpointStep::Answer(other.to_owned()), whole()];
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway
        .core
        .take_pulse(pulse(1, endpoint.address, Vec::new()));
    assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    assert!(endpoint.requests()[1].contains("x-oatpier-expect-instance: i-new"));
}

/// A stranger has the address of an endpoint that is gone. It gets no request under its own name.
#[tokio::test]
async fn a_stranger_at_the_address_gets_no_request() {
    let other = "HTTP/1.1 421 Misdirected Request\r\nx-oatpier-instance-id: i-new\r\n\
                 content-length: 0\r\n\r\n";
    let steps = vec![EndpointStep::Answer(other.to_owned()), whole()];
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(endpoint.requests().len(), 1);
}

/// The endpoint takes the request and falls silent. When the route's time is over the caller gets a
/// final answer at once, and one that does not promise that the request did not run.
#[tokio::test(start_paused = true)]
async fn a_silent_endpoint_is_answered_for_at_the_deadline() {
    let silent = endpoint(EndpointStep::Silence).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&silent]);
    let answer = gateway
        .send(request(&[("x-oatpier-deadline-ms", "2000")]))
        .await;
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
}

/// An endpoint is frozen: it takes requests and brings nothing. Those that may not be sent twice wait
/// for it until their time is over; later ones go to the other endpoint, which is sound.
#[tokio::test]
async fn a_silent_endpoint_loses_later_requests_of_every_kind() {
    let frozen = ScriptedEndpoint::start(vec![EndpointStep::Silence; 20]).await;
    let sound = ScriptedEndpoint::start(vec![whole(); 20]).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&frozen, &sound]);
    let mut waiting = Vec::new();
    while frozen.requests().len() < 2 {
        let sending = Box::pin(gateway.send(request(&[])));
        let patience = std::time::Duration::from_millis(400);
        waiting.push(tokio::time::timeout(patience, sending).await);
    }
    for _ in 0..5 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
    assert_eq!(frozen.requests().len(), 2);
}
