//! The order of requests that wait for permits, by shares.

use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::message::{PermitAsk, RatedPermitAsk};
use oatpier_serving::permits::PermitIssuer;
use oatpier_serving::sharing::{ShareStanding, WorkspaceTag};

use super::engines::name;
use crate::support::{address, at};

const HEAVY: u32 = 5_000_000;
const LIGHT: u32 = 100_000;

/// Returns a request of a workspace that has used this much, and that must be sent within `due_in_ms`.
fn request(id: u64, workspace: usize, use_us_per_s: u32, due_in_ms: u32) -> RatedPermitAsk {
    RatedPermitAsk {
        ask: PermitAsk {
            id,
            reading_us: 5_000,
            pause_ms: 300,
            due_in_ms,
            slots: 1,
            is_urgent: false,
            priority: 0,
        },
        prefill_tokens: 200,
        output_tokens: 60,
        share: Some(ShareStanding {
            workspace: WorkspaceTag::from(&name(workspace)),
            weight: 1_000,
            use_us_per_s,
        }),
        is_disturbed: false,
    }
}

/// An issuer whose engine is full.
fn full_issuer() -> PermitIssuer {
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(1), at(0));
    issuer
}

fn load(running: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting: 0,
    }
}

/// Issues permits one at a time from `now` on, while all requests are repeated.
fn order_at(issuer: &mut PermitIssuer, requests: &[RatedPermitAsk], now: u64) -> Vec<u64> {
    let mut left: Vec<RatedPermitAsk> = requests.to_vec();
    let mut order = Vec::new();
    while !left.is_empty() {
        let now = at(now + 10 * u64::try_from(order.len()).unwrap());
        for rated in &left {
            issuer.add_rated_request(address(1), rated, now);
        }
        issuer.note_load(load(0), now);
        let due = issuer.issue_due(now);
        let [due] = due[..] else {
            panic!("{due:?} after {order:?}")
        };
        issuer.release(due.grant.id);
        left.retain(|rated| rated.ask.id != due.grant.id);
        order.push(due.grant.id);
    }
    order
}

fn add_all(issuer: &mut PermitIssuer, requests: &[RatedPermitAsk], now: u64) {
    for rated in requests {
        issuer.add_rated_request(address(1), rated, at(now));
    }
    assert!(issuer.issue_due(at(now)).is_empty());
}

#[test]
fn workspace_within_its_share_goes_before_one_beyond_it() {
    let requests = [request(1, 0, HEAVY, 300), request(2, 1, LIGHT, 500)];
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10), [2, 1]);
}

/// Workspaces that have used about the same are ordered by their deadlines.
#[test]
fn similar_uses_do_not_change_the_order_of_deadlines() {
    let requests = [request(1, 0, 850_000, 300), request(2, 1, 750_000, 500)];
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10), [1, 2]);
}

/// One long response puts its workspace beyond no share.
#[test]
fn uses_of_a_fraction_of_an_engine_do_not_change_the_order() {
    let requests = [request(1, 0, 110_000, 300), request(2, 1, 1_000, 500)];
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10), [1, 2]);
}

/// Requests of an earlier version's gateway state no workspace. They are neither favoured nor held back.
#[test]
fn requests_without_a_workspace_keep_the_order_of_deadlines() {
    let mut requests = [
        request(1, 0, HEAVY, 300),
        request(2, 1, LIGHT, 500),
        request(3, 0, HEAVY, 0),
    ];
    for rated in &mut requests {
        rated.share = None;
    }
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10), [1, 2, 3]);
}

/// A request within its share that is late waits behind those of a workspace beyond its share, but not longer than
/// 300 ms.
#[test]
fn wait_within_the_share_behind_one_beyond_it_is_bounded() {
    let late = request(1, 1, LIGHT, 0);
    let mut issuer = full_issuer();
    add_all(&mut issuer, &[late, request(2, 0, HEAVY, 5_000)], 0);
    // The hot workspace asks again and again.
    for now in (50..300).step_by(50) {
        issuer.note_load(load(1), at(now));
        add_all(&mut issuer, &[late, request(now, 0, HEAVY, 5_000)], now);
    }
    let newest = request(900, 0, HEAVY, 5_000);
    issuer.add_rated_request(address(1), &late, at(300));
    issuer.add_rated_request(address(1), &newest, at(300));
    issuer.note_load(load(0), at(300));
    let due = issuer.issue_due(at(300));
    assert_eq!(due.first().map(|due| due.grant.id), Some(1));
}

/// Before that, requests that can be in time go first.
#[test]
fn late_request_within_its_share_waits_for_timely_ones_at_first() {
    let requests = [request(1, 1, LIGHT, 0), request(2, 0, HEAVY, 500)];
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10), [2, 1]);
}

/// A permit whose message was lost is issued again. Its engine time is charged once.
#[test]
fn repeated_permit_is_charged_once() {
    let mut issuer = PermitIssuer::default();
    let rated = request(1, 0, 0, 500);
    for now in [0, 20, 40] {
        issuer.add_rated_request(address(1), &rated, at(now));
        assert_eq!(issuer.issue_due(at(now)).len(), 1);
    }
    let once = {
        let mut issuer = PermitIssuer::default();
        issuer.add_rated_request(address(1), &rated, at(0));
        issuer.issue_due(at(0));
        issuer.workspace_uses(at(40))
    };
    assert_eq!(issuer.workspace_uses(at(40)), once);
}

/// Within a share the classes go by their targets: a less urgent one counts as later.
#[test]
fn classes_of_a_workspace_go_by_their_targets() {
    let mut requests = [
        request(1, 0, HEAVY, 300),
        request(2, 0, HEAVY, 400),
        request(3, 1, LIGHT, 450),
    ];
    requests[0].ask.priority = 2;
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10), [3, 2, 1]);
}

/// Guards against the loss of a gateway's first request, after which one without a workspace arrives: the next one
/// that states it counts.
#[test]
fn workspace_that_is_stated_later_counts() {
    let requests = [request(1, 0, HEAVY, 300), request(2, 1, LIGHT, 500)];
    let mut issuer = full_issuer();
    for rated in &requests {
        issuer.add_request(address(1), rated.ask, at(0));
    }
    add_all(&mut issuer, &requests, 30);
    assert_eq!(order_at(&mut issuer, &requests, 40), [2, 1]);
}

/// Guards against a workspace that is held back since it was dropped in favour of others, and then charged: its weight
/// is unknown until its next request.
#[test]
fn workspace_that_was_dropped_is_not_held_back() {
    let mut requests = vec![request(1, 0, 10, 300), request(2, 0, 10, 310)];
    requests.extend((3..=80).map(|id| request(id, usize::try_from(id).unwrap(), LIGHT, 500)));
    let mut issuer = full_issuer();
    add_all(&mut issuer, &requests, 0);
    assert_eq!(order_at(&mut issuer, &requests, 10)[..2], [1, 2]);
}
