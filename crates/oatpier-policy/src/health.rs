//! Passive health checks: ejects endpoints by the outcome of attempts, and probes them for
//! recovery.
//!
//! Only the outcomes of this entry's own attempts count, because a directory or a heartbeat can
//! report an agent as healthy whose engine has stopped. A dead endpoint refuses connections, a
//! frozen one accepts attempts and sends nothing, and a slow one responds late.

use std::time::Duration;

use hdrhistogram::Histogram;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::RefusalCause;
use serde::{Deserialize, Serialize};

use crate::index::EndpointIndex;
use crate::units::{micros, scale};

/// Settings of a [`HealthTracker`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct HealthSettings {
    /// Consecutive failed connections after which an endpoint counts as dead.
    pub connect_failures: u32,
    /// Silent attempts, without any other response in between, after which an endpoint counts as
    /// frozen.
    pub frozen_silences: u32,
    /// Consecutive late or silent attempts after which an endpoint counts as slow.
    pub slow_attempts: u32,
    /// Consecutive interrupted answers after which an endpoint is ejected.
    pub cuts: u32,
    /// Time from an ejection to the first probe.
    #[serde(with = "humantime_serde")]
    pub first_backoff: Duration,
    /// Upper bound on the time between probes.
    #[serde(with = "humantime_serde")]
    pub longest_backoff: Duration,
    /// Upper bound on the ejected share of a goal's replicas, in percent.
    pub ejected_percent: u32,
    /// Lower bound on the time after which a first frame counts as late.
    #[serde(with = "humantime_serde")]
    pub silence_floor: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            connect_failures: 2,
            frozen_silences: 2,
            slow_attempts: 6,
            cuts: 3,
            first_backoff: Duration::from_millis(500),
            longest_backoff: Duration::from_secs(30),
            ejected_percent: 50,
            silence_floor: Duration::from_millis(60),
        }
    }
}

/// An observation that the entry made of one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// The connection could not be established.
    ConnectFailed,
    /// The agent refused the attempt.
    Refused(RefusalCause),
    /// The first frame of the answer arrived.
    FirstFrame {
        /// Time from sending the attempt to its first frame.
        took: Duration,
        /// Predicted time to the first frame.
        predicted: Duration,
    },
    /// A piece of the answer arrived.
    Piece,
    /// Nothing arrived within the expected time.
    Silent {
        /// Time at which the attempt was sent or its last piece arrived.
        since: ClockTime,
    },
    /// The answer was interrupted, or the attempt failed after it began to run.
    Interrupted,
    /// The answer was complete.
    Ended,
}

/// The kind of failure of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointFault {
    /// The endpoint refuses connections.
    Dead,
    /// The endpoint accepts attempts and sends nothing.
    Frozen,
    /// The endpoint responds late.
    Slow,
    /// The endpoint interrupts its answers.
    Interrupting,
}

impl EndpointFault {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dead => "dead",
            Self::Frozen => "frozen",
            Self::Slow => "slow",
            Self::Interrupting => "interrupting",
        }
    }
}

/// An endpoint that was ejected or reinstated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthTransition {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The failure for which it was ejected; `None` if it was reinstated.
    pub fault: Option<EndpointFault>,
}

/// A change of an endpoint's health that follows from an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The endpoint should be ejected, if the bound on the ejected share permits it.
    Eject(EndpointFault),
    /// The ejected endpoint has recovered.
    Reinstate,
}

/// Number of first frames between two updates of the expected quantile.
const QUANTILE_SAMPLES: u64 = 1_024;

/// Time that a first frame may take until enough samples exist, in percent of its prediction.
const INITIAL_QUANTILE_PERCENT: u64 = 400;

/// Lower bound on the expected quantile, in percent of the prediction.
const MIN_QUANTILE_PERCENT: u64 = 200;

/// Upper bound of the histogram of ratios, in percent.
const MAX_RATIO_PERCENT: u64 = 100_000;

/// Lower bound that is applied to predictions, in microseconds. Ratios to smaller predictions carry
/// no information.
const MIN_PREDICTION_US: u64 = 10_000;

#[derive(Debug, Clone, Copy)]
struct EjectionState {
    fault: EndpointFault,
    /// When it was ejected or last failed a probe.
    failed_at: ClockTime,
    probe_at: ClockTime,
    is_probing: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct HealthRow {
    connect_failures: u32,
    silent_attempts: u32,
    late_attempts: u32,
    cuts: u32,
    silent_since: ClockTime,
    last_activity: ClockTime,
    backoff: Duration,
    reinstated_at: Option<ClockTime>,
    ejection: Option<EjectionState>,
}

/// Tracks the health of endpoints as observed by this entry.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    rows: Vec<HealthRow>,
    ejected: Vec<EndpointIndex>,
    /// Times to the first frame, in percent of their predictions.
    ratios: Histogram<u64>,
    expected_percent: u64,
}

impl HealthTracker {
    /// Creates a tracker in which all endpoints are healthy.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        let ratios = Histogram::new_with_bounds(1, MAX_RATIO_PERCENT, 2).expect("constant bounds");
        Self {
            settings,
            rows: Vec::new(),
            ejected: Vec::new(),
            ratios,
            expected_percent: INITIAL_QUANTILE_PERCENT,
        }
    }

    /// Records an observation and returns the change that follows from it.
    pub fn record_evidence(
        &mut self,
        endpoint: EndpointIndex,
        evidence: AttemptEvidence,
        now: ClockTime,
    ) -> Option<HealthChange> {
        match evidence {
            AttemptEvidence::ConnectFailed
            | AttemptEvidence::Refused(RefusalCause::EndpointDown) => {
                let fault = self.record_connect_failure(endpoint);
                self.apply_failure(endpoint, fault, now)
            }
            AttemptEvidence::FirstFrame { took, predicted } => {
                self.record_first_frame(endpoint, took, predicted, now)
            }
            AttemptEvidence::Silent { since } => {
                let fault = self.record_silence(endpoint, since);
                self.apply_failure(endpoint, fault, now)
            }
            AttemptEvidence::Interrupted => {
                let fault = self.record_cut(endpoint);
                self.apply_failure(endpoint, fault, now)
            }
            AttemptEvidence::Refused(_) => {
                self.row(endpoint).connect_failures = 0;
                None
            }
            AttemptEvidence::Piece => {
                self.row(endpoint).last_activity = now;
                None
            }
            AttemptEvidence::Ended => {
                let row = self.row(endpoint);
                row.cuts = 0;
                row.last_activity = now;
                None
            }
        }
    }

    /// Ejects an endpoint.
    ///
    /// The backoff doubles if the endpoint was reinstated less than `longest_backoff` ago.
    pub fn eject(&mut self, endpoint: EndpointIndex, fault: EndpointFault, now: ClockTime) {
        let settings = self.settings;
        let row = self.row(endpoint);
        let is_repeated = row
            .reinstated_at
            .is_some_and(|at| now.since(at) < settings.longest_backoff);
        row.backoff = if is_repeated {
            (row.backoff * 2).min(settings.longest_backoff)
        } else {
            settings.first_backoff
        };
        row.ejection = Some(EjectionState {
            fault,
            failed_at: now,
            probe_at: now + row.backoff,
            is_probing: false,
        });
        if !self.ejected.contains(&endpoint) {
            self.ejected.push(endpoint);
        }
    }

    /// Reinstates an ejected endpoint.
    pub fn reinstate(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        let row = self.row(endpoint);
        *row = HealthRow {
            backoff: row.backoff,
            reinstated_at: Some(now),
            last_activity: row.last_activity,
            ..HealthRow::default()
        };
        self.ejected.retain(|other| *other != endpoint);
    }

    /// Returns whether an ejected endpoint is due for a probe.
    #[must_use]
    pub fn probe_due(&self, endpoint: EndpointIndex, now: ClockTime) -> bool {
        self.rows
            .get(endpoint.as_usize())
            .and_then(|row| row.ejection)
            .is_some_and(|ejection| ejection.probe_at <= now)
    }

    /// Returns whether a probe has been due for a whole backoff without a request that may be repeated, and a report of the
    /// endpoint's agent has arrived since the endpoint last failed.
    ///
    /// Endpoints whose requests all run at most once would never be probed otherwise. The report shows that the agent
    /// is running, so that the probe is unlikely to be lost.
    #[must_use]
    pub fn probe_overdue(
        &self,
        endpoint: EndpointIndex,
        reported_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let Some(row) = self.rows.get(endpoint.as_usize()) else {
            return false;
        };
        row.ejection.is_some_and(|ejection| {
            ejection.probe_at + row.backoff <= now && reported_at > ejection.failed_at
        })
    }

    /// Records that a probe was sent. If it is lost, the next probe waits for the backoff.
    pub fn start_probe(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        let row = self.row(endpoint);
        let probe_at = now + row.backoff;
        if let Some(ejection) = &mut row.ejection {
            ejection.is_probing = true;
            ejection.probe_at = probe_at;
        }
    }

    /// Returns the ejected endpoints.
    #[must_use]
    pub fn ejected(&self) -> &[EndpointIndex] {
        &self.ejected
    }

    /// Returns the failure for which an endpoint is ejected.
    #[must_use]
    pub fn fault(&self, endpoint: EndpointIndex) -> Option<EndpointFault> {
        let row = self.rows.get(endpoint.as_usize())?;
        row.ejection.map(|ejection| ejection.fault)
    }

    /// Returns the time after which an attempt with this prediction counts as silent.
    ///
    /// It is the expected quantile of the ratio of recent first-frame times to their predictions,
    /// applied to `predicted`.
    #[must_use]
    pub fn silence_timeout(&self, predicted: Duration) -> Duration {
        let predicted = micros(predicted).max(MIN_PREDICTION_US);
        let expected = Duration::from_micros(scale(predicted, self.expected_percent, 100));
        expected.max(self.settings.silence_floor)
    }

    fn record_connect_failure(&mut self, endpoint: EndpointIndex) -> Option<EndpointFault> {
        let bound = self.settings.connect_failures;
        let row = self.row(endpoint);
        row.connect_failures += 1;
        (row.connect_failures >= bound).then_some(EndpointFault::Dead)
    }

    fn record_cut(&mut self, endpoint: EndpointIndex) -> Option<EndpointFault> {
        let bound = self.settings.cuts;
        let row = self.row(endpoint);
        row.cuts += 1;
        (row.cuts >= bound).then_some(EndpointFault::Interrupting)
    }

    fn record_first_frame(
        &mut self,
        endpoint: EndpointIndex,
        took: Duration,
        predicted: Duration,
        now: ClockTime,
    ) -> Option<HealthChange> {
        let is_in_time = took <= self.silence_timeout(predicted);
        self.record_ratio(took, predicted);
        let slow_attempts = self.settings.slow_attempts;
        let row = self.row(endpoint);
        row.last_activity = now;
        row.connect_failures = 0;
        row.silent_attempts = 0;
        if !is_in_time {
            row.late_attempts += 1;
            let is_slow = row.late_attempts >= slow_attempts;
            return self.apply_failure(endpoint, is_slow.then_some(EndpointFault::Slow), now);
        }
        row.late_attempts = 0;
        row.ejection.map(|_| HealthChange::Reinstate)
    }

    fn record_ratio(&mut self, took: Duration, predicted: Duration) {
        let predicted = micros(predicted).max(MIN_PREDICTION_US);
        self.ratios
            .saturating_record(scale(micros(took), 100, predicted));
        if self.ratios.len() >= QUANTILE_SAMPLES {
            let observed = self.ratios.value_at_quantile(0.99);
            self.expected_percent = observed.max(MIN_QUANTILE_PERCENT);
            self.ratios.reset();
        }
    }

    fn record_silence(
        &mut self,
        endpoint: EndpointIndex,
        since: ClockTime,
    ) -> Option<EndpointFault> {
        let settings = self.settings;
        let row = self.row(endpoint);
        if row.silent_attempts == 0 {
            row.silent_since = since;
        }
        row.silent_attempts += 1;
        row.late_attempts += 1;
        let is_inactive = row.last_activity <= row.silent_since;
        if is_inactive && row.silent_attempts >= settings.frozen_silences {
            return Some(EndpointFault::Frozen);
        }
        (row.late_attempts >= settings.slow_attempts).then_some(EndpointFault::Slow)
    }

    /// Handles a failure: one of an endpoint in use may eject it, one of a probe lengthens the
    /// backoff.
    fn apply_failure(
        &mut self,
        endpoint: EndpointIndex,
        fault: Option<EndpointFault>,
        now: ClockTime,
    ) -> Option<HealthChange> {
        let max_backoff = self.settings.longest_backoff;
        let row = self.row(endpoint);
        let Some(ejection) = &mut row.ejection else {
            return fault.map(HealthChange::Eject);
        };
        if ejection.is_probing {
            row.backoff = (row.backoff * 2).min(max_backoff);
            ejection.is_probing = false;
            ejection.failed_at = now;
            ejection.probe_at = now + row.backoff;
        }
        None
    }

    fn row(&mut self, endpoint: EndpointIndex) -> &mut HealthRow {
        if self.rows.len() <= endpoint.as_usize() {
            self.rows
                .resize(endpoint.as_usize() + 1, HealthRow::default());
        }
        &mut self.rows[endpoint.as_usize()]
    }
}
