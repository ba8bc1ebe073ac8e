//! Charges of requests, as callers and the holders of limits see them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use oatpier_serving::message::{InnerMessage, QuotaAnswer, QuotaAsk};
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::holder::PartAnswer;
use oatpier_serving::site::{RouteKind, SiteConfig};
use oatpier_serving::workspace::keys::KeyDigest;
use oatpier_serving::workspace::quota::{QuotaRule, QuotaUnit};
use oatpier_serving::workspace::{DeclaredWorkspace, WorkspaceRule, WorkspaceTable};
use oatpier_types::names::WorkspaceName;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, config, endpoint_response, holder, record,
    request, route,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(150),
};

/// Starts a gateway before one endpoint. Its only workspace has a limit, whose parts other gateways hold.
fn limited_gateway(kind: RouteKind, endpoint: &ScriptedEndpoint) -> TestGateway {
    let declared = DeclaredWorkspace {
        rule: WorkspaceRule {
            name: WorkspaceName::try_from("one").unwrap(),
            priority: None,
            quota: Some(QuotaRule {
                rate: 1_000.0,
                burst: 1_000.0,
                unit: QuotaUnit::Tokens { plain: 200 },
            }),
        },
        keys: vec![KeyDigest::of(b"k1")],
    };
    let config = SiteConfig {
        workspaces: Some(WorkspaceTable::try_from(vec![declared]).unwrap()),
        ..config(vec![route(kind, 2)])
    };
    let gateway = TestGateway::unconfigured();
    let records = vec![record(1, endpoint.address)];
    gateway.core.apply_records(Some(Arc::new(config)), records);
    gateway.hold_parts_elsewhere();
    gateway
}

fn plain_request() -> Request<Bytes> {
    request(&[("authorization", "Bearer k1")])
}

fn generation_request() -> Request<Bytes> {
    request(&[
        ("authorization", "Bearer k1"),
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,40"),
        ("x-oatpier-deadline-ms", "600"),
    ])
}

fn sent_asks(gateway: &TestGateway) -> Vec<(SocketAddr, QuotaAsk)> {
    let sent = gateway.outlet.sent().into_iter();
    let asks = sent.filter_map(|(to, message)| match message {
        InnerMessage::QuotaAsk(ask) => Some((to, ask)),
        _ => None,
    });
    asks.collect()
}

/// Sends a request while the holders answer each request for units in the same way.
async fn send_with_holders(
    gateway: &TestGateway,
    request: Request<Bytes>,
    answer: impl Fn(&QuotaAsk) -> PartAnswer,
) -> Response<Bytes> {
    let holders = async {
        let mut answered = sent_asks(gateway).len();
        loop {
            for (_, ask) in sent_asks(gateway).drain(answered..) {
                answered += 1;
                gateway.core.complete_quota_ask(QuotaAnswer {
                    id: ask.id,
                    answer: answer(&ask),
                });
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    // Poll the holders first: on a busy machine their answer must not arrive after the gateway's timeout.
    tokio::select! {
        biased;
        () = holders => unreachable!("the holders answer without end"),
        answer = gateway.send(request) => answer,
    }
}

fn grant_needed(ask: &QuotaAsk) -> PartAnswer {
    PartAnswer::Granted(ask.wanted.need)
}

#[tokio::test]
async fn a_request_is_charged_its_tokens_and_a_plain_request_the_configured_units() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", "done"));
    let endpoint = ScriptedEndpoint::start(vec![answer; 2]).await;
    let gateway = limited_gateway(RouteKind::Unsafe, &endpoint);
    let answer = send_with_holders(&gateway, plain_request(), grant_needed).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let with_tokens = request(&[
        ("authorization", "Bearer k1"),
        ("x-oatpier-token-usage", "400,40"),
    ]);
    let answer = send_with_holders(&gateway, with_tokens, grant_needed).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let needs: Vec<u64> = sent_asks(&gateway)
        .iter()
        .map(|(_, ask)| ask.wanted.need)
        .collect();
    assert_eq!(needs, [200, 440]);
}

/// A workspace sends far more than its limit allows. Its requests must not cost others anything: the gateway requests
/// no permit and no adapter, and sends nothing to the endpoint. `Retry-After` says when the holders will have units
/// again.
#[tokio::test]
async fn beyond_its_limit_a_request_is_refused_at_once_and_costs_nothing() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = limited_gateway(STREAM, &endpoint);
    let later = |ask: &QuotaAsk| PartAnswer::Later(900 - 200 * u32::from(ask.part.0));
    let answer = send_with_holders(&gateway, generation_request(), later).await;
    assert_eq!(answer.status(), StatusCode::TOO_MANY_REQUESTS);
    let after = answer.headers()["retry-after"].to_str().unwrap();
    let after: f64 = after.parse().unwrap();
    assert!((0.4..=0.8).contains(&after), "{after}");
    assert_eq!(sent_asks(&gateway).len(), gateway.outlet.sent().len());
    assert!(endpoint.requests().is_empty());
    let asked = sent_asks(&gateway).len();
    let again = send_with_holders(&gateway, generation_request(), later).await;
    assert_eq!(again.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(
        sent_asks(&gateway).len(),
        asked,
        "the same need is not asked for again at once"
    );
}

#[tokio::test]
async fn another_holder_is_asked_when_one_has_no_units_left() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", "done"));
    let endpoint = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = limited_gateway(RouteKind::Unsafe, &endpoint);
    let last_only = |ask: &QuotaAsk| match ask.part {
        PartIndex(2) => grant_needed(ask),
        _ => PartAnswer::Later(500),
    };
    let answer = send_with_holders(&gateway, plain_request(), last_only).await;
    assert_eq!(answer.status(), StatusCode::OK);
}

/// A gateway that is cut off from all holders does not know what the workspace has left. A 429 would be wrong, and
/// the next gateway may know.
#[tokio::test]
async fn without_an_answer_from_any_holder_the_caller_is_refused_with_503() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = limited_gateway(RouteKind::Unsafe, &endpoint);
    let answer = gateway.send(plain_request()).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    let mut asked: Vec<SocketAddr> = sent_asks(&gateway).iter().map(|(to, _)| *to).collect();
    asked.sort_unstable();
    asked.dedup();
    let all: Vec<SocketAddr> = PartIndex::all().map(holder).collect();
    assert_eq!(asked, all);
    assert!(endpoint.requests().is_empty());
}

/// A request is charged and then refused, since no engine has its model loaded. It did not run, so its units are
/// available to the next request of the workspace.
#[tokio::test]
async fn a_request_that_was_not_sent_returns_its_units() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = limited_gateway(STREAM, &endpoint);
    let refused = send_with_holders(&gateway, generation_request(), grant_needed).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let asked = sent_asks(&gateway).len();
    let again = send_with_holders(&gateway, generation_request(), grant_needed).await;
    assert_eq!(again.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(sent_asks(&gateway).len(), asked);
}

/// An endpoint fails a request that may run again, and another endpoint answers it. The request may have run twice,
/// but is charged once.
#[tokio::test]
async fn a_retry_is_not_charged_again() {
    let failed = EndpointStep::Answer(endpoint_response("500 Internal Server Error", "no"));
    let answered = EndpointStep::Answer(endpoint_response("200 OK", "done"));
    let endpoint = ScriptedEndpoint::start(vec![failed]).await;
    let other = ScriptedEndpoint::start(vec![answered]).await;
    let gateway = limited_gateway(RouteKind::Safe, &endpoint);
    let records = vec![record(1, endpoint.address), record(2, other.address)];
    gateway.core.apply_records(None, records);
    let answer = send_with_holders(&gateway, plain_request(), grant_needed).await;
    assert!(answer.status() == StatusCode::OK, "{}", answer.status());
    assert_eq!(sent_asks(&gateway).len(), 1);
}
