//! The pace of a sidecar's engine: what is learned of it, and when it is sent to gateways.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::capacity::EnginePace;
use oatpier_serving::capacity::pace::PaceEstimator;
use oatpier_serving::engine::EngineReport;
use oatpier_serving::message::{EngineUpdate, MessageNumber, PaceStatus};
use oatpier_serving::pacing;
use oatpier_serving::permits::{AddressedGrant, PermitIssuer};
use oatpier_types::clock::ClockTime;

use super::permit_waits::PermitWaits;
use crate::decisions::{DecisionLine, LinePriority};
use crate::pace_metrics::PaceMetrics;

/// Minimum time between two updates of an unchanged pace. It is learned over seconds.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two updates.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Ratio of two times of a chunk from which a pace has changed much.
const CHANGED_RATIO: f64 = 1.25;

/// Rates of late pauses, per thousand seconds of a stream, between few and some and between some and many. A stream of
/// some seconds is late once in a hundred times below the first, and mostly above the second.
const LATE_PAUSE_LIMITS: [u32; 2] = [5, 150];

/// Minimum time between two log lines about the pace.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the pace is observed after a permit request that says that VMs are disturbed.
const OBSERVED_FOR: Duration = Duration::from_secs(30);

/// A pace that was sent or logged.
#[derive(Debug, Clone, Copy)]
struct KnownPace {
    pace: EnginePace,
    at: ClockTime,
}

impl KnownPace {
    fn has_changed(&self, pace: &EnginePace) -> bool {
        let (one, other) = (self.pace.chunk_us, pace.chunk_us);
        let ratio = f64::from(one.max(other)) / f64::from(one.min(other).max(1));
        ratio > CHANGED_RATIO || late_pause_class(&self.pace) != late_pause_class(pace)
    }
}

fn late_pause_class(pace: &EnginePace) -> &'static str {
    let [some, many] = LATE_PAUSE_LIMITS;
    match pace.late_pauses_per_ks {
        rate if rate >= many => "many",
        rate if rate >= some => "some",
        _ => "few",
    }
}

/// Observes the pace of an engine, applies it to its permits, and decides when it is sent to gateways.
#[derive(Debug)]
pub struct PaceReporter {
    engine: SocketAddr,
    estimator: PaceEstimator,
    number: MessageNumber,
    sent: Option<KnownPace>,
    logged: Option<KnownPace>,
    waits: PermitWaits,
    metrics: PaceMetrics,
    /// When a permit request last said that VMs of the service are disturbed.
    disturbed_at: Option<ClockTime>,
}

impl PaceReporter {
    /// Creates a reporter for the engine at an address.
    #[must_use]
    pub fn new(engine: SocketAddr, metrics: PaceMetrics) -> Self {
        Self {
            engine,
            estimator: PaceEstimator::default(),
            number: MessageNumber {
                boot: rand::random(),
                number: 0,
            },
            sent: None,
            logged: None,
            waits: PermitWaits::default(),
            metrics,
            disturbed_at: None,
        }
    }

    /// Records a permit request that says that VMs of the service are disturbed. Without such requests the pace of the
    /// engine is not observed, and its permits are issued as if it were unknown.
    pub fn note_disturbed(&mut self, now: ClockTime) {
        self.disturbed_at = Some(now);
    }

    fn is_observing(&self, now: ClockTime) -> bool {
        self.disturbed_at
            .is_some_and(|at| now.since(at) < OBSERVED_FOR)
    }

    /// Learns from a report, and sets the pace of the engine's permits by it.
    pub fn apply_report(
        &mut self,
        report: &EngineReport,
        issuer: &mut PermitIssuer,
        now: ClockTime,
    ) {
        self.waits.count(issuer, &self.metrics, now);
        if !self.is_observing(now) {
            self.forget_engine(issuer);
            return;
        }
        self.estimator.note_report(report, issuer.max_pause(), now);
        let present = self.estimator.present(now);
        issuer.set_pace(present);
        self.metrics.set_usual(self.estimator.pace(now));
        self.metrics.set_present(present, issuer.prefill_room(now));
    }

    /// Learns from permits that were issued.
    pub fn note_grants(
        &mut self,
        grants: &[AddressedGrant],
        issuer: &PermitIssuer,
        now: ClockTime,
    ) {
        if !self.is_observing(now) {
            return;
        }
        let mut permits = 0;
        for prompt in grants.iter().filter_map(|grant| grant.prompt) {
            permits += 1;
            self.estimator.note_granted(prompt, now);
        }
        let is_waiting = issuer.pending_requests() > 0;
        self.estimator.note_permits(permits, is_waiting, now);
    }

    /// Discards what is known of an engine that is lost or was restarted.
    pub fn forget_engine(&mut self, issuer: &mut PermitIssuer) {
        self.estimator.forget();
        issuer.set_pace(None);
        self.sent = None;
    }

    /// Returns the update that is due, where gateways know of this many engines.
    pub fn due_update(&mut self, engines: usize, now: ClockTime) -> Option<EngineUpdate> {
        let pace = self.estimator.pace(now)?;
        let is_due = self.sent.is_none_or(|sent| {
            let age = now.since(sent.at);
            let repeats_after = pacing::heartbeat_interval(engines).max(REPEAT_INTERVAL);
            age >= repeats_after || (age >= CHANGE_INTERVAL && sent.has_changed(&pace))
        });
        if !is_due {
            return None;
        }
        self.sent = Some(KnownPace { pace, at: now });
        self.number.number += 1;
        Some(EngineUpdate::Pace(PaceStatus {
            number: self.number,
            engine: self.engine,
            start: self.estimator.start(),
            pace,
        }))
    }

    /// Returns the log lines that are due: if the pace has changed much since the last one, and if requests have waited
    /// for long.
    pub fn due_lines(&mut self, now: ClockTime) -> impl Iterator<Item = DecisionLine> {
        let waited = self.waits.due_line(now);
        self.due_pace_line(now).into_iter().chain(waited)
    }

    fn due_pace_line(&mut self, now: ClockTime) -> Option<DecisionLine> {
        let pace = self.estimator.pace(now)?;
        let is_due = self.logged.is_none_or(|logged| {
            now.since(logged.at) >= LINE_INTERVAL && logged.has_changed(&pace)
        });
        if !is_due {
            return None;
        }
        self.logged = Some(KnownPace { pace, at: now });
        let line = DecisionLine::new(LinePriority::Notable, "engine pace")
            .with("chunk_us", pace.chunk_us)
            .with("prefill_us_per_k", pace.prefill_us_per_k)
            .with("late_pauses_per_ks", pace.late_pauses_per_ks)
            .with("late_pauses", late_pause_class(&pace));
        Some(line)
    }
}
