//! What gateways know and state of the shares of workspaces.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use oatpier_gateway::sidecar::shares::ShareReporter;
use oatpier_serving::capacity::EnginePace;
use oatpier_serving::engine::HeldModel;
use oatpier_serving::message::{
    EngineUpdate, InnerMessage, MessageNumber, PaceStatus, ShareStatus,
};
use oatpier_serving::permits::PermitIssuer;
use oatpier_serving::sharing::{ShareStanding, WorkspaceTag, WorkspaceUse};
use oatpier_serving::site::{RouteKind, SiteConfig};
use oatpier_serving::workspace::keys::KeyDigest;
use oatpier_serving::workspace::{DeclaredWorkspace, WorkspaceRule, WorkspaceTable};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{ModelName, WorkspaceName};

use crate::support::{
    EndpointStep, STREAM_END, ScriptedEndpoint, TestGateway, config, record, request, route,
    status, stream_start,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

fn name(workspace: &str) -> WorkspaceName {
    WorkspaceName::try_from(workspace).unwrap()
}

fn workspace(key: &str) -> DeclaredWorkspace {
    DeclaredWorkspace {
        rule: WorkspaceRule {
            name: name(key),
            priority: None,
            quota: None,
        },
        keys: vec![KeyDigest::of(key.as_bytes())],
    }
}

/// Creates a gateway with the workspaces `hot` and `calm`, whose keys are their names, and one engine that reports
/// these uses and this number of requests that wait for permits.
fn sharing_gateway(engine: &ScriptedEndpoint, uses: &[(&str, u32)], waiting: u32) -> TestGateway {
    let table = WorkspaceTable::try_from(vec![workspace("hot"), workspace("calm")]).unwrap();
    let config = SiteConfig {
        workspaces: Some(table),
        ..config(vec![route(STREAM, 1)])
    };
    let gateway = TestGateway::unconfigured();
    let core = &gateway.core;
    core.apply_records(Some(Arc::new(config)), vec![record(1, engine.address)]);
    let held = HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: Vec::new(),
    };
    let mut update = status(1, engine.address, vec![held]);
    update.permits_waiting = waiting;
    core.apply_status(update);
    let number = MessageNumber { boot: 1, number: 1 };
    core.relay_update(EngineUpdate::Pace(PaceStatus {
        number,
        engine: engine.address,
        start: None,
        pace: EnginePace {
            chunk_us: 50_000,
            ..EnginePace::default()
        },
    }));
    let uses = uses.iter().map(|(workspace, use_us_per_s)| WorkspaceUse {
        workspace: WorkspaceTag::from(&name(workspace)),
        use_us_per_s: *use_us_per_s,
    });
    core.relay_update(EngineUpdate::Shares(ShareStatus {
        number,
        engine: engine.address,
        uses: uses.collect(),
    }));
    core.refresh_shares();
    gateway
}

fn prompt(key: &str) -> Request<bytes::Bytes> {
    let mut prompt = request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "4000,10"),
    ]);
    let bearer = format!("Bearer {key}").parse().unwrap();
    prompt.headers_mut().insert("authorization", bearer);
    prompt
}

fn stated_shares(gateway: &TestGateway) -> Vec<Option<ShareStanding>> {
    let sent = gateway.outlet.sent();
    let shares = sent.iter().filter_map(|(_, message)| match message {
        InnerMessage::RatedPermitAsk(rated) => Some(rated.share),
        _ => None,
    });
    shares.collect()
}

#[tokio::test]
async fn a_permit_request_states_the_standing_of_its_workspace() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = sharing_gateway(&engine, &[("hot", 700_000), ("calm", 100_000)], 0);
    let response = tokio::select! {
        response = gateway.send(prompt("hot")) => response,
        () = gateway.grant_permits(|| {}) => unreachable!("permits are granted until the response"),
    };
    assert_eq!(response.status(), StatusCode::OK);
    let share = stated_shares(&gateway)[0].unwrap();
    assert_eq!(share.workspace, WorkspaceTag::from(&name("hot")));
    assert_eq!(share.use_us_per_s, 700_000);
}

/// The line names the workspace that makes others wait, once in five seconds.
#[tokio::test]
async fn a_workspace_beyond_its_share_is_logged_while_requests_wait() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = sharing_gateway(&engine, &[("hot", 700_000), ("calm", 100_000)], 3);
    gateway.core.refresh_shares();
    let lines = gateway.logged("share exceeded");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("\"workspace\":\"hot\""), "{lines:?}");
    assert!(lines[0].contains("\"use_ms_per_s\":700"), "{lines:?}");
    assert!(lines[0].contains("\"share_ms_per_s\":400.0"), "{lines:?}");
    let text = gateway.core.metrics.encode();
    let series = "oatpier_serving_workspace_engine_use_ms{workspace=\"hot\"} 700";
    assert!(text.contains(series), "{text}");
}

#[tokio::test]
async fn nothing_is_logged_while_no_request_waits() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = sharing_gateway(&engine, &[("hot", 700_000), ("calm", 100_000)], 0);
    assert!(gateway.logged("share exceeded").is_empty());
}

/// A deployment without workspaces states no share and reports no use.
#[tokio::test]
async fn nothing_is_stated_without_workspaces() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = sharing_gateway(&engine, &[], 3);
    let open = SiteConfig {
        version: 2,
        ..config(vec![route(STREAM, 1)])
    };
    let records = vec![record(1, engine.address)];
    gateway.core.apply_records(Some(Arc::new(open)), records);
    let response = tokio::select! {
        response = gateway.send(prompt("hot")) => response,
        () = gateway.grant_permits(|| {}) => unreachable!("permits are granted until the response"),
    };
    assert_eq!(response.status(), StatusCode::OK);
    let shares = stated_shares(&gateway);
    assert!(shares.iter().all(Option::is_none), "{shares:?}");
    let mut reporter = ShareReporter::new(engine.address);
    let now = ClockTime::from_millis(5_000);
    assert_eq!(reporter.due_update(&PermitIssuer::default(), 1, now), None);
}
