//! Keys of workspaces: who may send, whose request it is, and what a gateway says that can't know.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use oatpier_serving::site::{RouteKind, RouteRule, SiteConfig};
use oatpier_serving::workspace::keys::KeyDigest;
use oatpier_serving::workspace::{DeclaredWorkspace, WorkspaceRule, WorkspaceTable};
use oatpier_types::names::WorkspaceName;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, config, own_answer, record, request, route,
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

fn keyed(version: u64, route: RouteRule, workspaces: Vec<DeclaredWorkspace>) -> SiteConfig {
    SiteConfig {
        version,
        workspaces: Some(WorkspaceTable::try_from(workspaces).unwrap()),
        ..config(vec![route])
    }
}

fn gateway_with(config: SiteConfig, endpoint: &ScriptedEndpoint) -> TestGateway {
    let gateway = TestGateway::unconfigured();
    let records = vec![record(1, endpoint.address)];
    gateway.core.take_records(Some(Arc::new(config)), records);
    gateway
}

fn answers(count: usize) -> Vec<EndpointStep> {
    vec![EndpointStep::Answer(own_answer("200 OK", "done")); count]
}

#[tokio::test]
async fn a_request_runs_for_the_workspace_that_holds_its_key() {
    let endpoint = ScriptedEndpoint::start(answers(2)).await;
    let workspaces = vec![workspace("one", &["k1"]), workspace("two", &["k2", "k3"])];
    let gateway = gateway_with(keyed(1, route(RouteKind::Unsafe, 1), workspaces), &endpoint);
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

#[tokio::test]
async fn without_a_known_key_nothing_runs() {
    let endpoint = ScriptedEndpoint::start(answers(4)).await;
    let workspaces = vec![workspace("one", &["k1"])];
    let gateway = gateway_with(keyed(1, route(RouteKind::Unsafe, 1), workspaces), &endpoint);
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
async fn a_public_route_needs_no_key_and_passes_none_on() {
    let endpoint = ScriptedEndpoint::start(answers(3)).await;
    let public = RouteRule {
        is_public: true,
        ..route(RouteKind::Unsafe, 1)
    };
    let gateway = gateway_with(keyed(1, public, vec![workspace("one", &["k1"])]), &endpoint);
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

/// The store turns a gateway away, an operator adds a key meanwhile, and a caller uses it. The gateway does not
/// know the key. A 401 would be final for the caller, though the next gateway knows it: the answer must be one
/// that promises "not run" and lets the caller come back.
#[tokio::test(start_paused = true)]
async fn an_old_configuration_does_not_prove_that_a_key_is_unknown() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let workspaces = vec![workspace("one", &["k1"])];
    let gateway = gateway_with(keyed(1, route(RouteKind::Unsafe, 1), workspaces), &endpoint);
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
    gateway.core.note_store_same();
    assert_eq!(
        gateway.send(unknown()).await.status(),
        StatusCode::UNAUTHORIZED
    );
}

/// A request waits for an endpoint that is not there yet, and its key is taken away. It must not be sent when the
/// endpoint comes; it did not run, and no return of it can.
#[tokio::test]
async fn a_key_that_is_taken_away_while_its_request_waits_sends_nothing() {
    let endpoint = ScriptedEndpoint::start(answers(1)).await;
    let stream = RouteKind::Stream {
        resumable: false,
        pause: Duration::from_millis(150),
    };
    let both = vec![workspace("one", &["k1"]), workspace("two", &["k2"])];
    let gateway = gateway_with(keyed(1, route(stream, 1), both), &endpoint);
    let waiting = gateway.send(request(&[
        ("authorization", "Bearer k1"),
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,40"),
    ]));
    let revoking = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let left = vec![workspace("two", &["k2"])];
        let config = keyed(2, route(stream, 1), left);
        let records = vec![record(1, endpoint.address)];
        gateway.core.take_records(Some(Arc::new(config)), records);
    };
    let (answer, ()) = tokio::join!(waiting, revoking);
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    assert!(endpoint.requests().is_empty());
}
