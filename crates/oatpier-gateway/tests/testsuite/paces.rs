//! Pace updates that sidecars send to gateways.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_gateway::metrics::ServingMetrics;
use oatpier_gateway::pace_metrics::PaceMetrics;
use oatpier_gateway::sidecar::pace::PaceReporter;
use oatpier_gateway::sidecar::permit_waits::PermitWaits;
use oatpier_serving::engine::{EndpointLoad, EngineReport, StartTime, StreamProgress};
use oatpier_serving::message::{EngineUpdate, PaceStatus, PermitAsk};
use oatpier_serving::permits::PermitIssuer;
use oatpier_types::clock::ClockTime;

const REPORT_MS: u64 = 60;

/// An engine with 16 streams, whose chunks take `chunk_ms`, beside its sidecar.
struct ReportedEngine {
    reporter: PaceReporter,
    issuer: PermitIssuer,
    start: u64,
    chunk_ms: u64,
    /// Progress of each stream, in chunks times `chunk_ms`.
    progress_ms: u64,
    now_ms: u64,
    updates: Vec<(u64, PaceStatus)>,
    lines: usize,
    /// Whether permit requests say that VMs are disturbed.
    is_disturbed: bool,
}

impl ReportedEngine {
    fn new(chunk_ms: u64) -> Self {
        let address = SocketAddr::from(([10, 0, 0, 9], 8_000));
        Self {
            reporter: PaceReporter::new(address, PaceMetrics::default()),
            issuer: PermitIssuer::default(),
            start: 1,
            chunk_ms,
            progress_ms: 0,
            now_ms: 0,
            updates: Vec::new(),
            lines: 0,
            is_disturbed: true,
        }
    }

    fn run(&mut self, until_ms: u64) {
        while self.now_ms + REPORT_MS <= until_ms {
            self.now_ms += REPORT_MS;
            self.progress_ms += REPORT_MS;
            self.report();
        }
    }

    fn report(&mut self) {
        let chunk_ms = self.chunk_ms;
        let streams = (0..16).map(|id| StreamProgress {
            id,
            chunks: u32::try_from((self.progress_ms + id * chunk_ms / 16) / chunk_ms + 1).unwrap(),
        });
        let report = EngineReport {
            start: Some(StartTime(self.start)),
            streams: streams.collect(),
            ..EngineReport::default()
        };
        let now = ClockTime::from_millis(self.now_ms);
        if self.is_disturbed {
            self.reporter.note_disturbed(now);
        }
        self.reporter.apply_report(&report, &mut self.issuer, now);
        if let Some(EngineUpdate::Pace(pace)) = self.reporter.due_update(4, now) {
            self.updates.push((self.now_ms, pace));
        }
        self.lines += self.reporter.due_lines(now).count();
    }
}

/// The pace of an unchanged engine is repeated about once a second, with rising numbers.
#[test]
fn unchanged_pace_is_repeated_once_a_second() {
    let mut engine = ReportedEngine::new(50);
    engine.run(12_000);
    assert!(
        (9..=13).contains(&engine.updates.len()),
        "{:?}",
        engine.updates
    );
    let rises = |pair: &[(u64, PaceStatus)]| pair[1].1.number.supersedes(pair[0].1.number);
    assert!(engine.updates.windows(2).all(rises));
    let last = engine.updates.last().unwrap().1;
    assert!((48_000..52_000).contains(&last.pace.chunk_us), "{last:?}");
    assert_eq!(last.start, Some(StartTime(1)));
    assert_eq!(engine.lines, 1);
}

/// Where no VM is disturbed, permits are issued and gateways informed as if no pace were known, also half a minute after
/// one was.
#[test]
fn pace_is_observed_only_while_vms_are_disturbed() {
    let mut engine = ReportedEngine::new(50);
    engine.is_disturbed = false;
    engine.run(12_000);
    assert!(engine.updates.is_empty());
    engine.is_disturbed = true;
    engine.run(24_000);
    assert!(!engine.updates.is_empty());
    engine.is_disturbed = false;
    engine.run(60_000);
    let now = ClockTime::from_millis(engine.now_ms);
    assert_eq!(engine.issuer.prefill_room(now), None);
    let last = engine.updates.last().unwrap().0;
    assert!(last < 24_000 + 31_000, "{last}");
}

/// An engine is lost, and another one takes its address at another speed. Gateways are told nothing of the first one
/// after that, and the pace of the second as soon as it is known.
#[test]
fn lost_engine_is_forgotten_and_its_successor_is_reported_soon() {
    let mut engine = ReportedEngine::new(40);
    engine.run(6_000);
    let now = ClockTime::from_millis(engine.now_ms);
    engine.reporter.forget_engine(&mut engine.issuer);
    assert!(
        engine
            .reporter
            .due_update(4, now + Duration::from_secs(5))
            .is_none()
    );
    assert_eq!(engine.issuer.prefill_room(now), None);
    engine.start = 2;
    engine.chunk_ms = 90;
    let before = engine.updates.len();
    engine.run(9_000);
    let (at, first) = engine.updates[before];
    assert!(at < 8_000, "{at}");
    assert!(
        engine.updates[before..]
            .iter()
            .all(|row| row.1.start == Some(StartTime(2)))
    );
    assert!((85_000..95_000).contains(&first.pace.chunk_us), "{first:?}");
}

/// The time of chunks changes all the time. Updates and log lines stay within their rates.
#[test]
fn changing_pace_is_reported_at_a_bounded_rate() {
    let mut engine = ReportedEngine::new(30);
    for step in 1..=60_u64 {
        engine.progress_ms = 0;
        engine.chunk_ms = 30 + step % 2 * 60;
        engine.run(step * 500);
    }
    assert!(engine.updates.len() <= 30 * 4, "{}", engine.updates.len());
    assert!(engine.lines <= 7, "{}", engine.lines);
}

/// Five requests wait at a full engine for ten seconds. Their waiting is counted by its cause, and logged at most once
/// in five seconds.
#[test]
fn waiting_for_permits_is_counted_by_cause_and_logged_at_a_bounded_rate() {
    let metrics = ServingMetrics::default();
    let mut issuer = PermitIssuer::default();
    let mut waits = PermitWaits::default();
    let mut lines = 0;
    for step in 1..=100_u64 {
        let now = ClockTime::from_millis(step * 100);
        let load = EndpointLoad {
            running: 8,
            waiting: 0,
        };
        issuer.note_load(load, now);
        for id in 0..5 {
            issuer.add_request(SocketAddr::from(([10, 0, 0, 1], 8_000)), ask(id), now);
        }
        assert!(issuer.issue_due(now).is_empty());
        waits.count(&issuer, &metrics.pace, now);
        lines += usize::from(waits.due_line(now).is_some());
    }
    assert!((1..=2).contains(&lines), "{lines}");
    let counted = "oatpier_serving_permit_wait_ms_total{cause=\"slot\"} 50000";
    let text = metrics.encode();
    assert!(text.contains(counted), "{text}");
}

fn ask(id: u64) -> PermitAsk {
    PermitAsk {
        id,
        reading_us: 20_000,
        pause_ms: 200,
        due_in_ms: 20_000,
        slots: 8,
        is_urgent: false,
        priority: 1,
    }
}
