//! Ejection of endpoints on evidence of the data path, and probes back.
//!
//! Only what happened to this entry's own attempts counts; a directory or a heartbeat may be
//! right about an agent whose engine has stopped. A dead endpoint refuses connections; a frozen
//! one accepts attempts and brings nothing at all; a slow one brings something, late.

use std::time::Duration;

use hdrhistogram::Histogram;
use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::RefusalCause;
use serde::{Deserialize, Serialize};

use crate::index::EndpointIndex;
use crate::units::{micros, scale};

/// Settings of a [`HealthTracker`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct HealthSettings {
    /// Failed connections in a row that show a dead endpoint.
    pub connect_failures: u32,
    /// Silent attempts, with nothing else coming either, that show a frozen endpoint.
    pub frozen_silences: u32,
    /// Late or silent attempts in a row that show a slow endpoint.
    pub slow_attempts: u32,
    /// Cut answers in a row.
    pub cuts: u32,
    /// The time until the first probe.
    #[serde(with = "humantime_serde")]
    pub first_backoff: Duration,
    /// The longest time between probes.
    #[serde(with = "humantime_serde")]
    pub longest_backoff: Duration,
    /// The largest share of a goal's replicas that may be ejected, in percent.
    pub ejected_percent: u32,
    /// A first frame is never called late before this.
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

/// What an entry saw of one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// No connection came about.
    ConnectFailed,
    /// The agent refused it.
    Refused(RefusalCause),
    /// Its first frame came.
    FirstFrame {
        /// After so long.
        took: Duration,
        /// Where so long was predicted.
        predicted: Duration,
    },
    /// A piece of its answer came.
    Piece,
    /// Nothing came in the time expected.
    Silent {
        /// When it was sent, or its last piece came.
        since: ClockTime,
    },
    /// Its answer was cut, or it failed after it began to run.
    Cut,
    /// It came to its end.
    Ended,
}

/// What is wrong with an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointFault {
    /// It takes no connections.
    Dead,
    /// It takes attempts and brings nothing.
    Frozen,
    /// It brings things late.
    Slow,
    /// It cuts its answers.
    Cutting,
}

/// What evidence calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The endpoint should be ejected, if the share allows.
    Eject(EndpointFault),
    /// The ejected endpoint works again.
    Reinstate,
}

/// First frames between two estimates of the expected quantile.
const QUANTILE_SAMPLES: u64 = 1_024;

/// Percent of the prediction that a first frame may take, until enough was seen, and at least.
const DEFAULT_PERCENT: u64 = 400;
const LEAST_PERCENT: u64 = 200;

/// The largest percentage that is told apart.
const MOST_PERCENT: u64 = 100_000;

/// Predictions below this are taken for this, in microseconds: ratios to less mean nothing.
const LEAST_PREDICTION_US: u64 = 10_000;

#[derive(Debug, Clone, Copy)]
struct EjectionState {
    fault: EndpointFault,
    probe_at: ClockTime,
    probing: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct HealthRow {
    connect_failures: u32,
    silences: u32,
    late: u32,
    cuts: u32,
    silent_since: ClockTime,
    last_sign: ClockTime,
    backoff: Duration,
    reinstated_at: Option<ClockTime>,
    ejection: Option<EjectionState>,
}

/// The health of endpoints as this entry sees it.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    rows: Vec<HealthRow>,
    ejected: Vec<EndpointIndex>,
    /// First frames' times, in percent of their predictions.
    ratios: Histogram<u64>,
    expected_percent: u64,
}

impl HealthTracker {
    /// All endpoints healthy.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        let ratios = Histogram::new_with_bounds(1, MOST_PERCENT, 2).expect("constant bounds");
        Self {
            settings,
            rows: Vec::new(),
            ejected: Vec::new(),
            ratios,
            expected_percent: DEFAULT_PERCENT,
        }
    }

    /// Takes evidence over, and says what it calls for.
    pub fn note(
        &mut self,
        endpoint: EndpointIndex,
        evidence: AttemptEvidence,
        now: ClockTime,
    ) -> Option<HealthChange> {
        match evidence {
            AttemptEvidence::ConnectFailed
            | AttemptEvidence::Refused(RefusalCause::EndpointDown) => {
                let fault = self.note_connect_failure(endpoint);
                self.failed(endpoint, fault, now)
            }
            AttemptEvidence::FirstFrame { took, predicted } => {
                self.note_first_frame(endpoint, took, predicted, now)
            }
            AttemptEvidence::Silent { since } => {
                let fault = self.note_silence(endpoint, since);
                self.failed(endpoint, fault, now)
            }
            AttemptEvidence::Cut => {
                let fault = self.note_cut(endpoint);
                self.failed(endpoint, fault, now)
            }
            AttemptEvidence::Refused(_) => {
                self.row(endpoint).connect_failures = 0;
                None
            }
            AttemptEvidence::Piece => {
                self.row(endpoint).last_sign = now;
                None
            }
            AttemptEvidence::Ended => {
                let row = self.row(endpoint);
                row.cuts = 0;
                row.last_sign = now;
                None
            }
        }
    }

    /// Ejects an endpoint. Ejected again soon after it came back, it stays out twice as long.
    pub fn eject(&mut self, endpoint: EndpointIndex, fault: EndpointFault, now: ClockTime) {
        let settings = self.settings;
        let row = self.row(endpoint);
        let again = row
            .reinstated_at
            .is_some_and(|at| now.since(at) < settings.longest_backoff);
        row.backoff = if again {
            (row.backoff * 2).min(settings.longest_backoff)
        } else {
            settings.first_backoff
        };
        row.ejection = Some(EjectionState {
            fault,
            probe_at: now + row.backoff,
            probing: false,
        });
        if !self.ejected.contains(&endpoint) {
            self.ejected.push(endpoint);
        }
    }

    /// Puts an endpoint back.
    pub fn reinstate(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        let row = self.row(endpoint);
        *row = HealthRow {
            backoff: row.backoff,
            reinstated_at: Some(now),
            last_sign: row.last_sign,
            ..HealthRow::default()
        };
        self.ejected.retain(|other| *other != endpoint);
    }

    /// Whether an ejected endpoint is due for a probe.
    #[must_use]
    pub fn probe_due(&self, endpoint: EndpointIndex, now: ClockTime) -> bool {
        self.rows
            .get(endpoint.place())
            .and_then(|row| row.ejection)
            .is_some_and(|ejection| ejection.probe_at <= now)
    }

    /// A probe goes to the endpoint; the next one only after the backoff, if this one is lost.
    pub fn start_probe(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        let row = self.row(endpoint);
        let probe_at = now + row.backoff;
        if let Some(ejection) = &mut row.ejection {
            ejection.probing = true;
            ejection.probe_at = probe_at;
        }
    }

    /// The ejected endpoints.
    #[must_use]
    pub fn ejected(&self) -> &[EndpointIndex] {
        &self.ejected
    }

    /// What is wrong with an ejected endpoint.
    #[must_use]
    pub fn fault(&self, endpoint: EndpointIndex) -> Option<EndpointFault> {
        let row = self.rows.get(endpoint.place())?;
        row.ejection.map(|ejection| ejection.fault)
    }

    /// The time after which an attempt with this prediction is silent: the expected quantile of
    /// what first frames took lately against their predictions.
    #[must_use]
    pub fn silence_after(&self, predicted: Duration) -> Duration {
        let predicted = micros(predicted).max(LEAST_PREDICTION_US);
        let expected = Duration::from_micros(scale(predicted, self.expected_percent, 100));
        expected.max(self.settings.silence_floor)
    }

    fn note_connect_failure(&mut self, endpoint: EndpointIndex) -> Option<EndpointFault> {
        let bound = self.settings.connect_failures;
        let row = self.row(endpoint);
        row.connect_failures += 1;
        (row.connect_failures >= bound).then_some(EndpointFault::Dead)
    }

    fn note_cut(&mut self, endpoint: EndpointIndex) -> Option<EndpointFault> {
        let bound = self.settings.cuts;
        let row = self.row(endpoint);
        row.cuts += 1;
        (row.cuts >= bound).then_some(EndpointFault::Cutting)
    }

    fn note_first_frame(
        &mut self,
        endpoint: EndpointIndex,
        took: Duration,
        predicted: Duration,
        now: ClockTime,
    ) -> Option<HealthChange> {
        let in_time = took <= self.silence_after(predicted);
        self.record_ratio(took, predicted);
        let slow_attempts = self.settings.slow_attempts;
        let row = self.row(endpoint);
        row.last_sign = now;
        row.connect_failures = 0;
        row.silences = 0;
        if !in_time {
            row.late += 1;
            let slow = row.late >= slow_attempts;
            return self.failed(endpoint, slow.then_some(EndpointFault::Slow), now);
        }
        row.late = 0;
        row.ejection.map(|_| HealthChange::Reinstate)
    }

    fn record_ratio(&mut self, took: Duration, predicted: Duration) {
        let predicted = micros(predicted).max(LEAST_PREDICTION_US);
        self.ratios
            .saturating_record(scale(micros(took), 100, predicted));
        if self.ratios.len() >= QUANTILE_SAMPLES {
            let seen = self.ratios.value_at_quantile(0.99);
            self.expected_percent = seen.max(LEAST_PERCENT);
            self.ratios.reset();
        }
    }

    fn note_silence(&mut self, endpoint: EndpointIndex, since: ClockTime) -> Option<EndpointFault> {
        let settings = self.settings;
        let row = self.row(endpoint);
        if row.silences == 0 {
            row.silent_since = since;
        }
        row.silences += 1;
        row.late += 1;
        let nothing_came = row.last_sign <= row.silent_since;
        if nothing_came && row.silences >= settings.frozen_silences {
            return Some(EndpointFault::Frozen);
        }
        (row.late >= settings.slow_attempts).then_some(EndpointFault::Slow)
    }

    /// A failure of an endpoint in use may eject it; one of a probe lengthens its backoff.
    fn failed(
        &mut self,
        endpoint: EndpointIndex,
        fault: Option<EndpointFault>,
        now: ClockTime,
    ) -> Option<HealthChange> {
        let longest = self.settings.longest_backoff;
        let row = self.row(endpoint);
        let Some(ejection) = &mut row.ejection else {
            return fault.map(HealthChange::Eject);
        };
        if ejection.probing {
            row.backoff = (row.backoff * 2).min(longest);
            ejection.probing = false;
            ejection.probe_at = now + row.backoff;
        }
        None
    }

    fn row(&mut self, endpoint: EndpointIndex) -> &mut HealthRow {
        if self.rows.len() <= endpoint.place() {
            self.rows.resize(endpoint.place() + 1, HealthRow::default());
        }
        &mut self.rows[endpoint.place()]
    }
}
