//! Accounting of the requests sent to endpoints, for later endpoint choices.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::{EndpointDirectory, EndpointRow};
use crate::call::WeightsKey;
use crate::health::{AttemptEvidence, EndpointFault, HealthChange};
use crate::prefill::{PrefillEstimator, SentPrompt};

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestOutcome {
    /// A complete response.
    Whole {
        /// Time from sending the request to the end of the response.
        held: Duration,
    },
    /// The endpoint responded with a server error, which is caused mostly by the request.
    ServerError,
    /// The endpoint refused the request without running it.
    Refused,
    /// No connection was established in time.
    Unreachable,
    /// The connection was refused: nothing listens at the endpoint's address.
    ConnectionRefused,
    /// The response was truncated, corrupt or missing. The endpoint may have crashed.
    Broken,
    /// The endpoint sent a response that belongs to another request or can't be trusted, so it is running.
    Untrusted,
    /// The caller disconnected, or the gateway gave up for reasons unrelated to the endpoint.
    Abandoned,
}

/// Weight of a server error as a failure of the endpoint: some classes of requests fail regardless of the
/// endpoint.
const SERVER_ERROR_WEIGHT: f64 = 0.3;
/// Weight of a refusal as a failure of the endpoint: it may only be full for a moment.
const REFUSAL_WEIGHT: f64 = 0.4;

impl EndpointDirectory {
    /// Records that a request was sent.
    pub fn note_sent(&mut self, name: &EndpointName, weights: Option<&WeightsKey>) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.own_requests += 1;
        row.load.sent_since += 1;
        if let Some(weights) = weights {
            *row.models.entry(weights.model.clone()).or_default() += 1;
        }
        if let Some(key) = weights.and_then(WeightsKey::adapter_key) {
            *row.adapters.entry(key).or_default() += 1;
        }
    }

    /// Returns whether a request was sent to the current incarnation of the endpoint.
    ///
    /// The outcome of a request to an earlier incarnation is ignored. Otherwise, an engine that has just
    /// restarted would be avoided because of the streams that its previous incarnation broke off.
    #[must_use]
    pub fn is_current_incarnation(&self, name: &EndpointName, sent: &SentPrompt) -> bool {
        let row = self.rows.get(name);
        row.is_some_and(|row| sent.start.is_none_or(|start| start == row.index))
    }

    /// Returns the accounting data of a request to an endpoint that processes no prompts.
    #[must_use]
    pub fn sent_without_prompt(&self, name: &EndpointName) -> SentPrompt {
        SentPrompt {
            start: self.rows.get(name).map(|row| row.index),
            ..SentPrompt::default()
        }
    }

    /// Records that an engine starts the prefill of a prompt, `tokens` of which are not in its cache.
    pub fn note_prefill(
        &mut self,
        name: &EndpointName,
        weights: &WeightsKey,
        tokens: f64,
        now: ClockTime,
    ) -> SentPrompt {
        let row = self.rows.get(name);
        let own_ms = row.map_or(0.0, |row| self.prefill_ms(row, &weights.model, tokens, now));
        let Some(row) = self.rows.get_mut(name) else {
            return SentPrompt::default();
        };
        let sent = SentPrompt {
            tokens,
            own_ms,
            ahead_ms: row.prefill.total_ms(),
            is_alone: row.prefill.is_idle(),
            start: Some(row.index),
        };
        row.prefill.add(own_ms);
        sent
    }

    /// Records that a request waits for a permit to send an engine its prompt, whose prefill takes
    /// `reading`.
    pub fn note_permit_wait(&mut self, name: &EndpointName, reading: Duration) {
        if let Some(row) = self.rows.get_mut(name) {
            row.prefill.add(reading.as_secs_f64() * 1e3);
        }
    }

    /// Records that a request no longer waits for a permit.
    pub fn note_permit_wait_end(&mut self, name: &EndpointName, reading: Duration) {
        if let Some(row) = self.rows.get_mut(name) {
            row.prefill.remove(reading.as_secs_f64() * 1e3);
        }
    }

    /// Records that the prefill of a prompt has finished or will not happen.
    pub fn note_prefill_end(&mut self, name: &EndpointName, prompt: &SentPrompt) {
        if !self.is_current_incarnation(name, prompt) {
            return;
        }
        if let Some(row) = self.rows.get_mut(name) {
            row.prefill.remove(prompt.own_ms);
        }
    }

    /// Returns the estimates of how long engines take for the prefill of prompts.
    #[must_use]
    pub fn prefill_estimator(&self) -> &PrefillEstimator {
        &self.estimator
    }

    /// Records that the endpoint will cache the parts of the prompt.
    pub fn note_cached_prompt(&mut self, name: &EndpointName, chain: &[u64], now: ClockTime) {
        if let Some(row) = self.rows.get(name) {
            self.prefixes.record_prompt(row.index, chain, now);
        }
    }

    /// Records that the first chunk of a response has arrived, which follows the prefill.
    pub fn note_first_chunk(
        &mut self,
        name: &EndpointName,
        weights: Option<&WeightsKey>,
        prompt: &SentPrompt,
        took: Duration,
        now: ClockTime,
    ) {
        if !self.is_current_incarnation(name, prompt) {
            return;
        }
        let reading = Duration::from_secs_f64((prompt.ahead_ms + prompt.own_ms) / 1e3);
        if let Some(weights) = weights.filter(|_| prompt.is_alone) {
            self.estimator.note(&weights.model, prompt.tokens, took);
        }
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        let predicted = Duration::from_secs_f64(row.first_chunk.mean_ms() / 1e3) + reading;
        row.first_chunk.note(took.saturating_sub(reading));
        let index = row.index;
        self.apply_evidence(index, AttemptEvidence::FirstFrame { took, predicted }, now);
    }

    /// Records that nothing has arrived from the endpoint since `since`.
    pub fn note_silence(&mut self, name: &EndpointName, since: ClockTime, now: ClockTime) {
        if let Some(row) = self.rows.get(name) {
            self.apply_evidence(row.index, AttemptEvidence::Silent { since }, now);
        }
    }

    /// Records that a request has ended at its endpoint. Returns whether this released an adapter that may
    /// be unloaded, at an endpoint that had no room for another adapter.
    pub fn note_end(
        &mut self,
        name: &EndpointName,
        weights: Option<&WeightsKey>,
        sent: &SentPrompt,
        outcome: RequestOutcome,
        now: ClockTime,
    ) -> bool {
        if !self.is_current_incarnation(name, sent) {
            return false;
        }
        let Some(row) = self.rows.get_mut(name) else {
            return false;
        };
        row.own_requests = row.own_requests.saturating_sub(1);
        row.load.ended_since += 1;
        if let Some(weights) = weights {
            row.release_model(&weights.model);
        }
        let key = weights.and_then(WeightsKey::adapter_key);
        let requests = key.and_then(|key| row.adapters.get_mut(&key));
        let freed = requests.is_some_and(|requests| {
            *requests = requests.saturating_sub(1);
            *requests == 0
        });
        let makes_room = freed && row.adapter_room(now) == 0;
        let index = row.index;
        match outcome {
            RequestOutcome::Whole { held } => {
                row.served_at = row.served_at.max(Some(now - held));
                row.slot_time.note(held);
                row.failures.note(0.0, now);
                self.apply_evidence(index, AttemptEvidence::Ended, now);
            }
            RequestOutcome::ServerError => row.failures.note(SERVER_ERROR_WEIGHT, now),
            RequestOutcome::Refused => row.failures.note(REFUSAL_WEIGHT, now),
            RequestOutcome::Unreachable | RequestOutcome::ConnectionRefused => {
                if outcome == RequestOutcome::ConnectionRefused {
                    row.refused_at = Some(now);
                }
                row.failures.note(1.0, now);
                self.apply_evidence(index, AttemptEvidence::ConnectFailed, now);
            }
            RequestOutcome::Broken | RequestOutcome::Untrusted => {
                row.failures.note(1.0, now);
                self.apply_evidence(index, AttemptEvidence::Interrupted, now);
            }
            RequestOutcome::Abandoned => {}
        }
        makes_room
    }

    fn apply_evidence(&mut self, index: EndpointIndex, evidence: AttemptEvidence, now: ClockTime) {
        match self.health.record_evidence(index, evidence, now) {
            Some(HealthChange::Eject(fault)) => self.health.eject(index, fault, now),
            Some(HealthChange::Reinstate) => self.health.reinstate(index, now),
            None => {}
        }
    }

    /// Returns the fault of an endpoint, unless a probe of it is due.
    #[must_use]
    pub fn fault(&self, row: &EndpointRow, now: ClockTime) -> Option<EndpointFault> {
        let fault = self.health.fault(row.index)?;
        (!self.health.probe_due(row.index, now)).then_some(fault)
    }

    /// Records that an ejected endpoint is sent a request as a probe.
    pub fn note_probe(&mut self, name: &EndpointName, now: ClockTime) {
        if let Some(row) = self.rows.get(name)
            && self.health.fault(row.index).is_some()
        {
            self.health.start_probe(row.index, now);
        }
    }
}
