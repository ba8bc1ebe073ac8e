//! Failures of what an engine's pace is known by.

use std::time::Duration;

use oatpier_serving::capacity::pace::PaceEstimator;
use oatpier_serving::capacity::prefill_window::{PresentPace, PromptWork};
use oatpier_serving::engine::{EngineReport, StreamProgress};
use oatpier_serving::message::PermitGrant;
use oatpier_serving::permits::PermitIssuer;

use super::prompt_burst::rated;
use super::{FakeEngine, MAX_PAUSE, ObservedEngine, assert_near};
use crate::support::{address, at};

const PROMPT: PromptWork = PromptWork {
    tokens: Some(1_500),
    estimate: Duration::from_millis(45),
};

/// An engine comes back under its name at another speed. The pace of its predecessor must not be taken for its own.
#[test]
fn pace_of_another_incarnation_is_not_kept() {
    let mut observed = ObservedEngine::new(1.6, 5);
    observed.run(9_960);
    let fast_ms = observed.chunk_ms();
    let now_us = observed.engine.now_us;
    observed.engine = FakeEngine::new(0.6, 16);
    observed.engine.start = 2;
    observed.engine.now_us = now_us;
    observed.run(10_080);
    assert_eq!(observed.estimator.pace(observed.now()), None);
    assert_eq!(observed.estimator.present(observed.now()), None);
    observed.run(14_000);
    assert!(observed.chunk_ms() > fast_ms * 2.0);
    assert_near(observed.chunk_ms(), observed.engine.chunk_us() / 1e3, 0.15);
}

/// A sidecar restarts beside a loaded engine. It knows nothing at first, grants by the work that it granted itself, and
/// learns the pace from the streams that run.
#[test]
fn restarted_sidecar_learns_from_running_streams() {
    let mut observed = ObservedEngine::new(1.0, 6);
    observed.run(4_980);
    observed.estimator = PaceEstimator::default();
    assert_eq!(observed.estimator.present(observed.now()), None);
    observed.run(7_000);
    assert_near(observed.chunk_ms(), observed.engine.chunk_us() / 1e3, 0.25);
}

/// The engine's report states no streams, or an old gateway states no tokens. The rule of outstanding permits applies.
#[test]
fn without_a_pace_permits_follow_the_outstanding_work() {
    let mut estimator = PaceEstimator::default();
    for step in 1..100_u64 {
        let report = EngineReport::default();
        estimator.note_report(&report, Some(MAX_PAUSE), at(step * 60));
    }
    assert_eq!(estimator.present(at(6_000)), None);
    let mut issuer = PermitIssuer::default();
    issuer.set_pace(None);
    for id in 1..=3 {
        issuer.add_request(address(1), rated(id, PROMPT).ask, at(0));
    }
    assert_eq!(issuer.issue_due(at(0)).len(), 1);
    issuer.release(1);
    issuer.release(2);
    issuer.release(3);
    issuer.add_request(address(1), rated(4, PROMPT).ask, at(10));
    assert_eq!(issuer.issue_due(at(10)).len(), 1);
}

/// A gateway of an earlier version asks without tokens while the pace is known. Its own estimate counts.
#[test]
fn prompt_without_tokens_counts_by_the_gateways_estimate() {
    let mut issuer = issuer_with_pace();
    for id in 1..=4 {
        issuer.add_request(address(1), rated(id, PROMPT).ask, at(0));
    }
    assert_eq!(issuer.issue_due(at(0)).len(), 2);
}

fn issuer_with_pace() -> PermitIssuer {
    let mut issuer = PermitIssuer::default();
    issuer.set_pace(Some(PresentPace {
        chunk: Duration::from_millis(50),
        token_us: 30.0,
    }));
    issuer
}

/// Gateways freeze and return no permit. The budget comes back by time.
#[test]
fn budget_returns_without_returned_permits() {
    let mut issuer = issuer_with_pace();
    let mut granted = 0;
    for step in 0..=20_u64 {
        for id in granted..10 {
            issuer.add_rated_request(address(1), &rated(id, PROMPT), at(step * 50));
        }
        granted += u64::try_from(issuer.issue_due(at(step * 50)).len()).unwrap();
    }
    assert_eq!(granted, 10);
}

/// A gateway that was frozen returns all of its permits at once, and asks for as many. What the engine was granted a
/// moment ago still counts.
#[test]
fn permits_returned_together_free_no_budget() {
    let mut issuer = issuer_with_pace();
    for id in 1..=2 {
        issuer.add_rated_request(address(1), &rated(id, PROMPT), at(0));
    }
    let granted: Vec<PermitGrant> = issuer
        .issue_due(at(0))
        .iter()
        .map(|due| due.grant)
        .collect();
    assert_eq!(granted.len(), 2);
    for grant in granted {
        issuer.release(grant.id);
    }
    for id in 3..=6 {
        issuer.add_rated_request(address(1), &rated(id, PROMPT), at(20));
    }
    assert!(issuer.issue_due(at(20)).is_empty());
    assert_eq!(issuer.next_expiry(), Some(at(200)));
}

/// The progress in the reports is no longer updated while the engine serves. It must not stand for an engine that hangs
/// forever, which would be granted one prompt per pause limit.
#[test]
fn progress_that_does_not_change_tells_nothing() {
    let mut observed = ObservedEngine::new(1.0, 7);
    observed.run(9_960);
    let known = observed.estimator.pace(observed.now());
    let frozen = observed.engine.report();
    for _ in 0..50 {
        observed.now_ms += 60;
        let now = observed.now();
        observed
            .estimator
            .note_report(&frozen, Some(MAX_PAUSE), now);
    }
    assert_eq!(observed.estimator.present(observed.now()), None);
    let kept = observed.estimator.pace(observed.now()).unwrap();
    assert_near(
        f64::from(kept.chunk_us),
        f64::from(known.unwrap().chunk_us),
        0.1,
    );
}

/// The sidecar's VM has no processor time for seconds, and reports are late. The engine did not pause meanwhile.
#[test]
fn late_reports_are_no_late_pauses() {
    let mut observed = ObservedEngine::new(1.0, 8);
    observed.run(9_960);
    for _ in 0..10 {
        observed.now_ms += 2_000;
        observed.engine.run_until(at(observed.now_ms));
        assert_eq!(observed.estimator.present(observed.now()), None);
        observed.report();
        let next = observed.now_ms + 300;
        observed.run(next);
    }
    let pace = observed.estimator.pace(observed.now()).unwrap();
    assert_eq!(pace.late_pauses_per_ks, 0);
    assert_near(f64::from(pace.chunk_us), observed.engine.chunk_us(), 0.15);
}

/// A request is resumed under the same identifier, or the report is corrupt: a count that falls is no progress.
#[test]
fn falling_counts_are_left_out() {
    let mut estimator = PaceEstimator::default();
    for step in 0..100_u64 {
        let streams = (0..8).map(|id| StreamProgress {
            id,
            chunks: if step.is_multiple_of(2) { 1_000_000 } else { 5 },
        });
        let report = EngineReport {
            streams: streams.collect(),
            ..EngineReport::default()
        };
        estimator.note_report(&report, Some(MAX_PAUSE), at(step * 60));
    }
    assert_eq!(
        estimator.pace(at(6_000)).filter(|pace| pace.chunk_us == 0),
        None
    );
}
