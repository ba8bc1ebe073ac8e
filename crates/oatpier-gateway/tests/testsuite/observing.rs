//! The decision log and the metrics.

use std::time::Duration;

use oatpier_gateway::admission_metrics::RefusalStage;
use oatpier_gateway::decisions::{DecisionLine, DecisionLog, LinePriority};
use oatpier_gateway::metrics::ServingMetrics;
use oatpier_serving::message::TurnAsk;
use oatpier_serving::permits::WaitCause;
use oatpier_serving::quota::turns::TurnAnswer;
use oatpier_serving::reads::StoreKnowledge;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::WorkspaceName;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, endpoint_response, not_executed_response, request,
    told, with_headers,
};

#[tokio::test(start_paused = true)]
async fn failures_are_logged_when_the_limit_for_successes_is_reached() {
    let metrics = ServingMetrics::default();
    let (log, lines) = DecisionLog::new("gateway", &metrics);
    for _ in 0..60 {
        log.write(DecisionLine::new(LinePriority::Routine, "answer"));
    }
    log.write(DecisionLine::new(LinePriority::Notable, "answer").with("request", "r1"));
    let written: Vec<String> = std::iter::from_fn(|| lines.try_receive()).collect();
    assert_eq!(written.len(), 41);
    assert!(written[40].contains("\"request\":\"r1\""));
    assert_eq!(metrics.lines_left_out.get(), 20);
}

#[tokio::test(start_paused = true)]
async fn the_number_of_omitted_lines_is_logged_in_the_next_second() {
    let metrics = ServingMetrics::default();
    let (log, lines) = DecisionLog::new("gateway", &metrics);
    for _ in 0..45 {
        log.write(DecisionLine::new(LinePriority::Routine, "answer"));
    }
    tokio::time::advance(std::time::Duration::from_secs(1)).await;
    log.write(DecisionLine::new(LinePriority::Routine, "answer"));
    let written: Vec<String> = std::iter::from_fn(|| lines.try_receive()).collect();
    let omitted = written.iter().find(|line| line.contains("lines left out"));
    assert!(omitted.unwrap().contains("\"lines\":5"));
}

/// Engineers look these names up in docs/OPERATIONS.md.
#[tokio::test]
async fn every_metric_named_in_the_operations_page_is_served() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", ""));
    let endpoint = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway.send(request(&[])).await;
    gateway.core.metrics.count_store_read("answered");
    gateway.core.metrics.count_store_write("answered");
    gateway.core.metrics.count_store_message("current");
    gateway.core.metrics.count_store_fetch("partial");
    gateway.core.metrics.count_order("taken");
    gateway.core.metrics.count_advice("busy");
    gateway.core.metrics.count_message("pulse", "sent", 400);
    gateway.core.metrics.count_attempt("cut");
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    gateway
        .core
        .metrics
        .count_endpoint_failure(status, "not-run");
    gateway.core.metrics.notices.count_notice("limit-named");
    gateway
        .core
        .metrics
        .pace
        .count_wait(WaitCause::Slot, Duration::from_secs(1));
    gateway.core.metrics.streams.count_broken("resumed");
    gateway.core.metrics.streams.count_taken_up("answered");
    let admission = &gateway.core.metrics.admission;
    admission.count_refusal(RefusalStage::Arrival);
    admission.count_return_time(true);
    admission.count_probe(true);
    let workspace = WorkspaceName::try_from("one").unwrap();
    gateway
        .core
        .metrics
        .workspaces
        .count_request(&workspace, "taken");
    gateway
        .core
        .metrics
        .workspaces
        .count_units(&workspace, "granted", 200);
    let metrics = &gateway.core.metrics.workspaces;
    metrics.count_permit_wait(&workspace, "granted", Duration::from_millis(20));
    metrics.set_engine_use([(&workspace, 1_000)].into_iter());
    let text = gateway.core.metrics.encode();
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let named: Vec<&str> = page
        .split(['`', '{', ' '])
        .filter(|word| word.starts_with("oatpier_serving_"))
        .collect();
    assert!(named.len() >= 8, "the page names {named:?}");
    for name in named {
        assert!(text.contains(name), "{name} is not served");
    }
}

/// An endpoint states a limit, states it again, and then no longer does. Each change gives one log line and one
/// count; the repetition gives none.
#[tokio::test]
async fn a_change_of_an_endpoints_limit_is_logged_and_counted_once() {
    let plain = endpoint_response("200 OK", "");
    let limited = with_headers(&plain, &[("Server-Limit", "2.5")]);
    let steps = [&limited, &limited, &plain].map(|answer| EndpointStep::Answer(answer.clone()));
    let endpoint = ScriptedEndpoint::start(steps.to_vec()).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway.hold_parts_elsewhere();
    let now = |_: &TurnAsk| TurnAnswer::In(0);
    gateway.send(request(&[])).await;
    gateway
        .with_turn_answers(gateway.send(request(&[])), now)
        .await;
    let lines = gateway.logged("endpoint says");
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in [
        "\"endpoint\":\"i-1\"",
        "limit-named",
        "\"rate\":2.5",
        "\"request\":",
    ] {
        assert!(lines[0].contains(part), "{part} in {}", lines[0]);
    }
    gateway
        .with_turn_answers(gateway.send(request(&[])), now)
        .await;
    assert_eq!(gateway.logged("endpoint says").len(), 1);
    let text = gateway.core.metrics.encode();
    assert!(text.contains("endpoint_notices_total{cause=\"limit-named\"} 1"));
    assert!(text.contains("endpoint_notices_total{cause=\"limit-ended\"} 1"));
}

/// A gateway that can't read the store acts on old knowledge. Its log must say since when, why, and until when, and each
/// answer's line how old that knowledge was.
#[tokio::test(start_paused = true)]
async fn knowledge_of_the_store_that_is_too_old_is_logged_with_its_cause() {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    gateway.core.check_store_age();
    tokio::time::advance(Duration::from_millis(2_100)).await;
    gateway
        .core
        .note_store_failure("the store responded with status 503".to_owned());
    gateway.core.check_store_age();
    gateway.core.check_store_age();
    let lines = gateway.logged("store knowledge");
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in ["\"behind\"", "status 503", "\"age_ms\":2100"] {
        assert!(lines[0].contains(part), "{part} in {}", lines[0]);
    }
    gateway.send(request(&[])).await;
    let answer = gateway.logged("answer").join("");
    assert!(answer.contains("\"store_age_ms\":2100"), "{answer}");
    gateway.core.apply_knowledge(told(None), None);
    gateway.core.apply_knowledge(told(None), None);
    let lines = gateway.logged("store knowledge");
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in ["\"caught up\"", "another gateway", "\"age_ms\":2100"] {
        assert!(lines[0].contains(part), "{part} in {}", lines[0]);
    }
}

/// While the store is away for all, gateways tell each other what none of them has read lately. That makes no one
/// current, and a line each time would hide when the outage ended.
#[tokio::test(start_paused = true)]
async fn old_knowledge_from_another_gateway_is_not_logged_as_current() {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    tokio::time::advance(Duration::from_secs(5)).await;
    gateway.core.check_store_age();
    assert_eq!(gateway.logged("store knowledge").len(), 1);
    for age_ms in [4_000, 2_100] {
        let old = StoreKnowledge {
            age: Duration::from_millis(age_ms),
            ..told(None)
        };
        gateway.core.apply_knowledge(old, None);
        gateway.core.check_store_age();
    }
    assert!(gateway.logged("store knowledge").is_empty());
    gateway.core.apply_knowledge(told(None), None);
    let lines = gateway.logged("store knowledge").join("");
    assert!(lines.contains("\"caught up\""), "{lines}");
}

/// There are more workspaces than may have series of their own. Each series takes memory here and in the systems that
/// collect metrics, so only the first ones get their own. The rest is counted together, so no request is missing from
/// the total.
#[test]
fn the_number_of_workspace_series_is_bounded() {
    let metrics = ServingMetrics::default();
    for number in 0..1_000 {
        let workspace = WorkspaceName::try_from(format!("w{number}")).unwrap();
        metrics.workspaces.count_request(&workspace, "taken");
    }
    let text = metrics.encode();
    let series = |text: &str| text.matches("workspace_requests_total{").count();
    assert_eq!(series(&text), 201);
    assert!(text.contains("workspace_requests_total{workspace=\"other\",outcome=\"taken\"} 800"));
}

/// Guards against lines on crashed endpoints that don't show what the interrupted requests had in common.
#[tokio::test]
async fn a_failed_attempt_is_logged_with_what_its_request_may_share() {
    let endpoint = ScriptedEndpoint::start(vec![EndpointStep::Close]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let parts = ("x-oatpier-prompt-prefix", "a1:500,b2:40,c3:100");
    gateway.send(request(&[parts])).await;
    let line = gateway.logged("attempt failed").join("");
    assert!(
        line.contains(r#""prompt_parts":["a1","b2","c3"]"#),
        "{line}"
    );
    assert!(line.contains(r#""route":"draft""#), "{line}");
}

/// Guards against lines that leave open whether an endpoint said that a request did not run.
#[tokio::test]
async fn a_failed_attempt_is_logged_with_what_its_response_said() {
    let refusal = EndpointStep::Answer(not_executed_response("503 Service Unavailable"));
    let complete = EndpointStep::Answer(endpoint_response("200 OK", ""));
    let endpoint = ScriptedEndpoint::start(vec![complete, refusal]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway.send(request(&[])).await;
    gateway.send(request(&[])).await;
    let line = gateway.logged("attempt failed").join("");
    for part in [
        r#""response_status":503"#,
        r#""response_kind":"not-run""#,
        r#""reused_connection":true"#,
    ] {
        assert!(line.contains(part), "{part} is not in {line}");
    }
    let counted = "endpoint_failures_total{status=\"503\",kind=\"not-run\"} 1";
    let text = gateway.core.metrics.encode();
    assert!(text.contains(counted), "{text}");
}
