//! Updates of an engine's use by workspaces that sidecars send to gateways.

use std::net::SocketAddr;

use oatpier_gateway::sidecar::shares::ShareReporter;
use oatpier_serving::message::{PermitAsk, RatedPermitAsk};
use oatpier_serving::permits::PermitIssuer;
use oatpier_serving::sharing::{ShareStanding, WorkspaceTag};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;

fn engine() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8_000))
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Issues a permit for a request of one of the workspaces, or of none.
fn issue_permit(issuer: &mut PermitIssuer, id: u64, workspace: Option<usize>, now: ClockTime) {
    let share = workspace.map(|workspace| {
        let name = WorkspaceName::try_from(format!("w{workspace}").as_str()).unwrap();
        ShareStanding {
            workspace: WorkspaceTag::from(&name),
            weight: 1,
            use_us_per_s: 0,
        }
    });
    let ask = PermitAsk {
        id,
        reading_us: 1_000,
        pause_ms: 200,
        due_in_ms: 500,
        slots: 8,
        is_urgent: false,
        priority: 0,
    };
    let rated = RatedPermitAsk {
        ask,
        prefill_tokens: 40,
        output_tokens: 100,
        share,
        is_disturbed: false,
    };
    issuer.add_rated_request(engine(), &rated, now);
    assert_eq!(issuer.issue_due(now).len(), 1);
    issuer.release(id);
}

/// A deployment without workspaces gets no further messages.
#[test]
fn no_update_is_sent_while_requests_state_no_workspace() {
    let mut issuer = PermitIssuer::default();
    issue_permit(&mut issuer, 1, None, at(1_000));
    let mut reporter = ShareReporter::new(engine());
    assert_eq!(reporter.due_update(&issuer, 4, at(2_000)), None);
}

#[test]
fn updates_are_sent_once_a_second() {
    let mut issuer = PermitIssuer::default();
    issue_permit(&mut issuer, 1, Some(1), at(1_000));
    let mut reporter = ShareReporter::new(engine());
    let sent = (1_000..4_000)
        .step_by(50)
        .filter(|now| reporter.due_update(&issuer, 4, at(*now)).is_some());
    assert_eq!(sent.count(), 3);
}

/// With 600 engines, each sends every ten seconds.
#[test]
fn updates_of_a_large_fleet_stay_within_the_budget_of_a_gateway() {
    let mut issuer = PermitIssuer::default();
    issue_permit(&mut issuer, 1, Some(1), at(10_000));
    let mut reporter = ShareReporter::new(engine());
    assert!(reporter.due_update(&issuer, 600, at(10_000)).is_some());
    assert_eq!(reporter.due_update(&issuer, 600, at(19_000)), None);
}

#[test]
fn update_is_bounded_to_sixteen_workspaces() {
    let mut issuer = PermitIssuer::default();
    for workspace in 0..40 {
        let id = u64::try_from(workspace).unwrap();
        issue_permit(&mut issuer, id, Some(workspace), at(1_000));
    }
    let mut reporter = ShareReporter::new(engine());
    let update = reporter.due_update(&issuer, 4, at(1_000)).unwrap();
    assert_eq!(update.uses.len(), 16);
}

/// Guards against gateways that count the use of an engine that has restarted until the last update expires.
#[test]
fn end_of_all_use_is_reported_once() {
    let mut issuer = PermitIssuer::default();
    issue_permit(&mut issuer, 1, Some(1), at(1_000));
    let mut reporter = ShareReporter::new(engine());
    assert!(reporter.due_update(&issuer, 4, at(1_000)).is_some());
    issuer.forget_shares();
    let update = reporter.due_update(&issuer, 4, at(2_000)).unwrap();
    assert!(update.uses.is_empty());
    assert_eq!(reporter.due_update(&issuer, 4, at(3_000)), None);
}
