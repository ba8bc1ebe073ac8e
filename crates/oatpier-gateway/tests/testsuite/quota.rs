//! What requests are charged, as their callers and the holders of limits see it.

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
    EndpointStep, ScriptedEndpoint, TestGateway, config, holder, own_answer, record, request, route,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(150),
};

/// A gateway before one endpoint, whose only workspace has a limit that other gateways hold the parts of.
fn limited(kind: RouteKind, endpoint: &ScriptedEndpoint) -> TestGateway {
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
    gateway.core.take_records(Some(Arc::new(config)), records);
    gateway.hold_parts_elsewhere();
    gateway
}

fn plain() -> Request<Bytes> {
    request(&[("authorization", "Bearer k1")])
}

fn generation() -> Request<Bytes> {
    request(&[
        ("authorization", "Bearer k1"),
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,40"),
        ("x-oatpier-deadline-ms", "600"),
    ])
}

fn asks(gateway: &TestGateway) -> Vec<(SocketAddr, QuotaAsk)> {
    let sent = gateway.outlet.sent().into_iter();
    let asks = sent.filter_map(|(to, message)| match message {
        InnerMessage::QuotaAsk(ask) => Some((to, ask)),
        _ => None,
    });
    asks.collect()
}

/// Sends a request while the holders answer each ask in the same way.
async fn send(
    gateway: &TestGateway,
    request: Request<Bytes>,
    answer: impl Fn(&QuotaAsk) -> PartAnswer,
) -> Response<Bytes> {
    let holders = async {
        let mut answered = asks(gateway).len();
        loop {
            for (_, ask) in asks(gateway).drain(answered..) {
                answered += 1;
                gateway.core.take_quota_answer(QuotaAnswer {
                    id: ask.id,
                    answer: answer(&ask),
                });
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    // Holders first: on a busy machine an answer must not come after the time for it is over.
    tokio::select! {
        biased;
        () = holders => unreachable!("holders answer for ever"),
        answer = gateway.send(request) => answer,
    }
}

fn granted(ask: &QuotaAsk) -> PartAnswer {
    PartAnswer::Granted(ask.wanted.need)
}

#[tokio::test]
async fn a_request_is_charged_its_tokens_once_and_a_plain_one_what_the_operator_says() {
    let answer = EndpointStep::Answer(own_answer("200 OK", "done"));
    let endpoint = ScriptedEndpoint::start(vec![answer; 2]).await;
    let gateway = limited(RouteKind::Unsafe, &endpoint);
    let answer = send(&gateway, plain(), granted).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let with_tokens = request(&[
        ("authorization", "Bearer k1"),
        ("x-oatpier-token-usage", "400,40"),
    ]);
    let answer = send(&gateway, with_tokens, granted).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let needs: Vec<u64> = asks(&gateway)
        .iter()
        .map(|(_, ask)| ask.wanted.need)
        .collect();
    assert_eq!(needs, [200, 440]);
}

/// A workspace sends far more than its limit. Its requests must cost the others nothing: no permit is asked for, no
/// adapter, and nothing reaches an endpoint. The caller reads when the holders will have units again.
#[tokio::test]
async fn beyond_its_limit_a_request_is_refused_at_once_and_costs_nothing() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = limited(STREAM, &endpoint);
    let later = |ask: &QuotaAsk| PartAnswer::Later(900 - 200 * u32::from(ask.part.0));
    let answer = send(&gateway, generation(), later).await;
    assert_eq!(answer.status(), StatusCode::TOO_MANY_REQUESTS);
    let after = answer.headers()["retry-after"].to_str().unwrap();
    let after: f64 = after.parse().unwrap();
    assert!((0.4..=0.8).contains(&after), "{after}");
    assert_eq!(asks(&gateway).len(), gateway.outlet.sent().len());
    assert!(endpoint.requests().is_empty());
    let asked = asks(&gateway).len();
    let again = send(&gateway, generation(), later).await;
    assert_eq!(again.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(
        asks(&gateway).len(),
        asked,
        "the same need is not asked for again at once"
    );
}

#[tokio::test]
async fn another_holder_is_asked_where_one_has_nothing_left() {
    let answer = EndpointStep::Answer(own_answer("200 OK", "done"));
    let endpoint = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = limited(RouteKind::Unsafe, &endpoint);
    let last_only = |ask: &QuotaAsk| match ask.part {
        PartIndex(2) => granted(ask),
        _ => PartAnswer::Later(500),
    };
    let answer = send(&gateway, plain(), last_only).await;
    assert_eq!(answer.status(), StatusCode::OK);
}

/// The gateway is cut off from all holders. It does not know what the workspace has left: a 429 would be untrue, and
/// the next gateway may know.
#[tokio::test]
async fn without_word_of_any_holder_the_caller_is_sent_elsewhere() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = limited(RouteKind::Unsafe, &endpoint);
    let answer = gateway.send(plain()).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    let mut asked: Vec<SocketAddr> = asks(&gateway).iter().map(|(to, _)| *to).collect();
    asked.sort_unstable();
    asked.dedup();
    let all: Vec<SocketAddr> = PartIndex::all().map(holder).collect();
    assert_eq!(asked, all);
    assert!(endpoint.requests().is_empty());
}

/// A request is charged and then refused, since nobody holds its model. It did not run, so what it was charged
/// serves the next request of its workspace.
#[tokio::test]
async fn a_request_that_was_not_sent_gives_its_units_back() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = limited(STREAM, &endpoint);
    let refused = send(&gateway, generation(), granted).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let asked = asks(&gateway).len();
    let again = send(&gateway, generation(), granted).await;
    assert_eq!(again.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(asks(&gateway).len(), asked);
}

/// An endpoint fails a request that may run again, and another one answers. The request ran for its workspace once
/// or twice, and is charged once.
#[tokio::test]
async fn a_second_send_is_not_charged_again() {
    let failed = EndpointStep::Answer(own_answer("500 Internal Server Error", "no"));
    let answered = EndpointStep::Answer(own_answer("200 OK", "done"));
    let endpoint = ScriptedEndpoint::start(vec![failed]).await;
    let other = ScriptedEndpoint::start(vec![answered]).await;
    let gateway = limited(RouteKind::Safe, &endpoint);
    let records = vec![record(1, endpoint.address), record(2, other.address)];
    gateway.core.take_records(None, records);
    let answer = send(&gateway, plain(), granted).await;
    assert!(answer.status() == StatusCode::OK, "{}", answer.status());
    assert_eq!(asks(&gateway).len(), 1);
}
