//! API keys of workspaces: authentication, attribution of requests, and answers while the configuration is outdated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use oatpier_duty::duty::{RingRule, StopSignal, ring};
use oatpier_gateway::metrics::ServingMetrics;
use oatpier_gateway::share::{ShareInputs, share};
use oatpier_serving::message::ConfigStatus;
use oatpier_serving::reads::StoreKnowledge;
use oatpier_serving::site::{RouteKind, RouteRule, SiteConfig};
use oatpier_serving::workspace::keys::KeyDigest;
use oatpier_serving::workspace::{DeclaredWorkspace, WorkspaceRule, WorkspaceTable};
use oatpier_types::names::WorkspaceName;

use tokio::sync::watch;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, config, endpoint_response, record, request, route,
    told,
};

fn workspace(name: &str, keys: &[&str]) -> DeclaredWorkspace {
    DeclaredWorkspace {
        rule: WorkspaceRule {
            name: WorkspaceName::try_from(name).unwrap(),
            priority: None,
            quota: None,
        },
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
    }
}

fn config_with_keys(
    version: u64,
    route: RouteRule,
    workspaces: Vec<DeclaredWorkspace>,
) -> SiteConfig {
    SiteConfig {
        version,
        workspaces: Some(WorkspaceTable::try_from(workspaces).unwrap()),
        ..config(vec![route])
    }
}

fn configured_gateway(config: SiteConfig, endpoint: &ScriptedEndpoint) -> TestGateway {
    let gateway = TestGateway::unconfigured();
    let records = vec![record(1, endpoint.address)];
    gateway.core.apply_records(Some(Arc::new(config)), records);
    gateway
}

fn ok_answers(count: usize) -> Vec<EndpointStep> {
    vec![EndpointStep::Answer(endpoint_response("200 OK", "done")); count]
}

#[tokio::test]
async fn a_request_runs_for_the_workspace_that_holds_its_key() {
    let endpoint = ScriptedEndpoint::start(ok_answers(2)).await;
    let workspaces = vec![workspace("one", &["k1"]), workspace("two", &["k2", "k3"])];
    let gateway = configured_gateway(
        config_with_keys(1, route(RouteKind::Unsafe, 1), workspaces),
        &endpoint,
    );
    let answer = gateway
        .send(request(&[
            ("authorization", "Bearer k3"),
            ("x-oatpier-tenant", "one"),
        ]))
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    let seen = endpoint.requests().remove(0);
    assert!(seen.contains("x-oatpier-tenant: two\r\n"), "{seen}");
    assert!(
        !seen.contains("authorization") && !seen.contains("k3"),
        "{seen}"
    );
    assert!(!seen.contains("one\r\n"), "{seen}");
}

/// An operator sees from the log which workspace pays for a shortage.
#[tokio::test]
async fn answers_are_logged_with_their_workspace() {
    let endpoint = ScriptedEndpoint::start(ok_answers(1)).await;
    let workspaces = vec![workspace("one", &["k1"])];
    let gateway = configured_gateway(
        config_with_keys(1, route(RouteKind::Unsafe, 1), workspaces),
        &endpoint,
    );
    let answer = gateway
        .send(request(&[("authorization", "Bearer k1")]))
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    let line = gateway.logged("answer").remove(0);
    assert!(line.contains("\"workspace\":\"one\""), "{line}");
}

#[tokio::test]
async fn a_request_without_a_known_key_is_refused() {
    let endpoint = ScriptedEndpoint::start(ok_answers(4)).await;
    let workspaces = vec![workspace("one", &["k1"])];
    let gateway = configured_gateway(
        config_with_keys(1, route(RouteKind::Unsafe, 1), workspaces),
        &endpoint,
    );
    for rows in [
        &[][..],
        &[("authorization", "Bearer k2")],
        &[("authorization", "Basic k1")],
        &[
            ("authorization", "Bearer k1"),
            ("authorization", "Bearer k1"),
        ],
    ] {
        let answer = gateway.send(request(rows)).await;
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{rows:?}");
        assert!(answer.headers().contains_key("www-authenticate"));
        assert!(!answer.headers().contains_key("retry-after"));
    }
    assert!(endpoint.requests().is_empty());
}

#[tokio::test]
async fn a_public_route_needs_no_key_and_forwards_none() {
    let endpoint = ScriptedEndpoint::start(ok_answers(3)).await;
    let public = RouteRule {
        is_public: true,
        ..route(RouteKind::Unsafe, 1)
    };
    let gateway = configured_gateway(
        config_with_keys(1, public, vec![workspace("one", &["k1"])]),
        &endpoint,
    );
    for key in ["Bearer k1", "Bearer unknown"] {
        let answer = gateway.send(request(&[("authorization", key)])).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    let seen = endpoint.requests();
    assert!(seen[0].contains("x-oatpier-tenant: one\r\n"));
    assert!(!seen[1].contains("x-oatpier-tenant") && !seen[2].contains("x-oatpier-tenant"));
    assert!(seen.iter().all(|seen| !seen.contains("authorization")));
}

/// A gateway can't read the store, an operator adds a key meanwhile, and a caller uses it. A 401 would be final for
/// the caller, although other gateways know the key. The answer must be one that states "not run" and allows a retry.
#[tokio::test(start_paused = true)]
async fn an_old_configuration_does_not_prove_that_a_key_is_unknown() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let workspaces = vec![workspace("one", &["k1"])];
    let gateway = configured_gateway(
        config_with_keys(1, route(RouteKind::Unsafe, 1), workspaces),
        &endpoint,
    );
    let unknown = || request(&[("authorization", "Bearer new")]);
    tokio::time::advance(Duration::from_millis(1_900)).await;
    assert_eq!(
        gateway.send(unknown()).await.status(),
        StatusCode::UNAUTHORIZED
    );
    tokio::time::advance(Duration::from_millis(200)).await;
    let answer = gateway.send(unknown()).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    let no_key = gateway.send(request(&[])).await;
    assert_eq!(no_key.status(), StatusCode::UNAUTHORIZED);
    gateway.core.apply_knowledge(told(None), None);
    assert_eq!(
        gateway.send(unknown()).await.status(),
        StatusCode::UNAUTHORIZED
    );
}

/// A request waits for an endpoint that does not exist yet, and its key is revoked. It must not be sent when the
/// endpoint appears. The answer is a 401: the request did not run, and retries would fail as well.
#[tokio::test]
async fn a_waiting_request_is_not_sent_after_its_key_is_revoked() {
    let endpoint = ScriptedEndpoint::start(ok_answers(1)).await;
    let stream = RouteKind::Stream {
        resumable: false,
        pause: Duration::from_millis(150),
    };
    let both = vec![workspace("one", &["k1"]), workspace("two", &["k2"])];
    let gateway = configured_gateway(config_with_keys(1, route(stream, 1), both), &endpoint);
    let waiting = gateway.send(request(&[
        ("authorization", "Bearer k1"),
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,40"),
    ]));
    let revoking = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let remaining = vec![workspace("two", &["k2"])];
        let config = config_with_keys(2, route(stream, 1), remaining);
        let records = vec![record(1, endpoint.address)];
        gateway.core.apply_records(Some(Arc::new(config)), records);
    };
    let (answer, ()) = tokio::join!(waiting, revoking);
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    assert!(endpoint.requests().is_empty());
}

/// A gateway can't read the store for ten seconds while its neighbour can. A key is revoked meanwhile. The gateway
/// learns of a newer version and fetches it from the neighbour; the key stops working there without a store read of
/// its own.
#[tokio::test]
async fn a_gateway_without_store_access_fetches_the_configuration_from_another_one() {
    let endpoint = ScriptedEndpoint::start(ok_answers(1)).await;
    let both = vec![workspace("one", &["k1"]), workspace("two", &["k2"])];
    let config = config_with_keys(1, route(RouteKind::Unsafe, 1), both);
    let gateway = configured_gateway(config, &endpoint);
    let newer = config_with_keys(
        2,
        route(RouteKind::Unsafe, 1),
        vec![workspace("two", &["k2"])],
    );
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let neighbour = listener.local_addr().unwrap();
    let metrics = ServingMetrics::default();
    let full = metrics.ring_full.clone();
    let (source_sender, sources) = ring(2, RingRule::Drop, full.clone());
    let (fetched_sender, fetched) = ring(2, RingRule::Wait, full.clone());
    let (excerpts, _questions) = ring(2, RingRule::Drop, full);
    let (_shared, feed) = watch::channel(Some(Arc::new(newer)));
    let sharing = tokio::spawn(share(ShareInputs {
        listener,
        config: feed,
        sources,
        fetched: fetched_sender,
        excerpts,
        stop: StopSignal::default(),
    }));
    assert!(source_sender.try_send(neighbour).is_ok());
    let config = fetched.receive().await.unwrap();
    gateway.core.apply_fetched_config(config);
    let refused = gateway
        .send(request(&[("authorization", "Bearer k1")]))
        .await;
    assert_eq!(refused.status(), StatusCode::UNAUTHORIZED);
    let served = gateway
        .send(request(&[("authorization", "Bearer k2")]))
        .await;
    assert_eq!(served.status(), StatusCode::OK);
    sharing.abort();
}

/// A gateway requests a newer configuration only while its own reads fail, and not once per report.
#[tokio::test(start_paused = true)]
async fn a_newer_configuration_is_requested_once_while_the_store_does_not_answer() {
    let gateway = TestGateway::unconfigured();
    let config = config_with_keys(3, route(RouteKind::Unsafe, 1), Vec::new());
    gateway
        .core
        .apply_records(Some(Arc::new(config)), Vec::new());
    let peer = SocketAddr::from(([10, 0, 0, 9], 7380));
    let report = |gateway: &TestGateway, version| {
        let status = ConfigStatus { version, age_ms: 0 };
        gateway.core.apply_config_status(peer, status);
    };
    report(&gateway, 4);
    assert!(
        gateway.config_sources.try_receive().is_none(),
        "its own read is recent"
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    report(&gateway, 2);
    assert!(
        gateway.config_sources.try_receive().is_none(),
        "the reported version is older"
    );
    report(&gateway, 4);
    report(&gateway, 4);
    assert_eq!(gateway.config_sources.try_receive(), Some(peer));
    assert!(gateway.config_sources.try_receive().is_none());
    // A peer that confirms the same version against the store is as good as an own read.
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(!gateway.core.is_config_current());
    report(&gateway, 3);
    assert!(gateway.core.is_config_current());
}

/// Guards against an old configuration at a gateway that the store turns away and that others inform of the registry:
/// that its endpoints are current says nothing about its keys.
#[tokio::test(start_paused = true)]
async fn a_newer_configuration_is_requested_although_the_registry_is_current() {
    let gateway = TestGateway::unconfigured();
    let config = config_with_keys(3, route(RouteKind::Unsafe, 1), Vec::new());
    gateway
        .core
        .apply_records(Some(Arc::new(config)), Vec::new());
    tokio::time::advance(Duration::from_secs(3)).await;
    let registry_only = StoreKnowledge {
        confirms_config: false,
        ..told(Some(Vec::new()))
    };
    gateway.core.apply_knowledge(registry_only, None);
    assert!(!gateway.core.is_config_current());
    let peer = SocketAddr::from(([10, 0, 0, 9], 7380));
    let status = ConfigStatus {
        version: 4,
        age_ms: 0,
    };
    gateway.core.apply_config_status(peer, status);
    assert_eq!(gateway.config_sources.try_receive(), Some(peer));
}
