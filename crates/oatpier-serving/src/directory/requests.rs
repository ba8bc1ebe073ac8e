//! What becomes of requests at endpoints, for the choices that follow.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::{EndpointDirectory, EndpointRow};
use crate::call::WeightsKey;
use crate::health::{AttemptEvidence, EndpointFault, HealthChange};
use crate::reading::{ReadingPaces, SentPrompt};

/// How a request ended at an endpoint, for the directory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointOutcome {
    /// A whole answer, held for this long.
    Whole {
        /// From sending to the end.
        held: Duration,
    },
    /// The endpoint's own error: most of the blame is the request's.
    ServerError,
    /// The endpoint refused it without running it.
    Refused,
    /// No connection came about in time.
    Unreachable,
    /// Nothing listens at its address.
    ConnectionRefused,
    /// The answer was cut, spoilt or never came.
    Broken,
    /// The caller left, or the gateway gave up for reasons of its own.
    Abandoned,
}

/// The blame of an endpoint for its own error: some classes of requests fail by themselves.
const ERROR_BLAME: f64 = 0.3;
/// The blame for a refusal: it may be full for a moment.
const REFUSAL_BLAME: f64 = 0.4;

impl EndpointDirectory {
    /// A request was sent.
    pub fn note_sent(&mut self, name: &EndpointName, weights: Option<&WeightsKey>) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.own += 1;
        row.load.sent_since += 1;
        if let Some(weights) = weights {
            *row.models.entry(weights.model.clone()).or_default() += 1;
        }
        if let Some(key) = weights.and_then(WeightsKey::adapter_key) {
            *row.adapters.entry(key).or_default() += 1;
        }
    }

    /// Whether what was sent went to the start of the endpoint that is known now. What becomes of it says
    /// nothing of a later one: an engine that has just started again would be avoided for the streams that
    /// its last start cut.
    #[must_use]
    pub fn is_present_start(&self, name: &EndpointName, sent: &SentPrompt) -> bool {
        let row = self.rows.get(name);
        row.is_some_and(|row| sent.start.is_none_or(|start| start == row.index))
    }

    /// What was sent to an endpoint that reads no prompts.
    #[must_use]
    pub fn sent_without_prompt(&self, name: &EndpointName) -> SentPrompt {
        SentPrompt {
            start: self.rows.get(name).map(|row| row.index),
            ..SentPrompt::default()
        }
    }

    /// An engine begins to read a prompt, of which it does not keep `tokens`.
    pub fn note_reading(
        &mut self,
        name: &EndpointName,
        weights: &WeightsKey,
        tokens: f64,
    ) -> SentPrompt {
        let own_ms = self.paces.reading_ms(&weights.model, tokens);
        let Some(row) = self.rows.get_mut(name) else {
            return SentPrompt::default();
        };
        let sent = SentPrompt {
            tokens,
            own_ms,
            ahead_ms: row.reading.ms(),
            alone: row.reading.is_idle(),
            start: Some(row.index),
        };
        row.reading.add(own_ms);
        sent
    }

    /// A request waits for a permit to send an engine its prompt, which takes so long to read.
    pub fn note_asked(&mut self, name: &EndpointName, reading: Duration) {
        if let Some(row) = self.rows.get_mut(name) {
            row.reading.add(reading.as_secs_f64() * 1e3);
        }
    }

    /// A request no longer waits for a permit.
    pub fn note_permitted(&mut self, name: &EndpointName, reading: Duration) {
        if let Some(row) = self.rows.get_mut(name) {
            row.reading.remove(reading.as_secs_f64() * 1e3);
        }
    }

    /// An engine has read a prompt, or will not.
    pub fn note_read(&mut self, name: &EndpointName, prompt: &SentPrompt) {
        if !self.is_present_start(name, prompt) {
            return;
        }
        if let Some(row) = self.rows.get_mut(name) {
            row.reading.remove(prompt.own_ms);
        }
    }

    /// How long engines take to read prompts.
    #[must_use]
    pub fn paces(&self) -> &ReadingPaces {
        &self.paces
    }

    /// The prompt's parts will be kept at the endpoint.
    pub fn note_prompt(&mut self, name: &EndpointName, chain: &[u64], now: ClockTime) {
        if let Some(row) = self.rows.get(name) {
            self.prefixes.learn(row.index, chain, now);
        }
    }

    /// The first piece of an answer came, after the engine had read the prompt.
    pub fn note_first(
        &mut self,
        name: &EndpointName,
        weights: Option<&WeightsKey>,
        prompt: &SentPrompt,
        took: Duration,
        now: ClockTime,
    ) {
        if !self.is_present_start(name, prompt) {
            return;
        }
        let reading = Duration::from_secs_f64((prompt.ahead_ms + prompt.own_ms) / 1e3);
        if let Some(weights) = weights.filter(|_| prompt.alone) {
            self.paces.note(&weights.model, prompt.tokens, took);
        }
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        let predicted = Duration::from_secs_f64(row.first.mean_ms() / 1e3) + reading;
        row.first.note(took.saturating_sub(reading));
        let index = row.index;
        self.judge(index, AttemptEvidence::FirstFrame { took, predicted }, now);
    }

    /// Nothing came from the endpoint since `since`.
    pub fn note_silence(&mut self, name: &EndpointName, since: ClockTime, now: ClockTime) {
        if let Some(row) = self.rows.get(name) {
            self.judge(row.index, AttemptEvidence::Silent { since }, now);
        }
    }

    /// A request is over at its endpoint. Says whether its adapter is now free to make room where
    /// there was none.
    pub fn note_end(
        &mut self,
        name: &EndpointName,
        weights: Option<&WeightsKey>,
        sent: &SentPrompt,
        outcome: EndpointOutcome,
        now: ClockTime,
    ) -> bool {
        if !self.is_present_start(name, sent) {
            return false;
        }
        let Some(row) = self.rows.get_mut(name) else {
            return false;
        };
        row.own = row.own.saturating_sub(1);
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
            EndpointOutcome::Whole { held } => {
                row.served_at = row.served_at.max(Some(now - held));
                row.hold.note(held);
                row.failures.note(0.0, now);
                self.judge(index, AttemptEvidence::Ended, now);
            }
            EndpointOutcome::ServerError => row.failures.note(ERROR_BLAME, now),
            EndpointOutcome::Refused => row.failures.note(REFUSAL_BLAME, now),
            EndpointOutcome::Unreachable | EndpointOutcome::ConnectionRefused => {
                if outcome == EndpointOutcome::ConnectionRefused {
                    row.refused_at = Some(now);
                }
                row.failures.note(1.0, now);
                self.judge(index, AttemptEvidence::ConnectFailed, now);
            }
            EndpointOutcome::Broken => {
                row.failures.note(1.0, now);
                self.judge(index, AttemptEvidence::Cut, now);
            }
            EndpointOutcome::Abandoned => {}
        }
        makes_room
    }

    fn judge(&mut self, index: EndpointIndex, evidence: AttemptEvidence, now: ClockTime) {
        match self.health.note(index, evidence, now) {
            Some(HealthChange::Eject(fault)) => self.health.eject(index, fault, now),
            Some(HealthChange::Reinstate) => self.health.reinstate(index, now),
            None => {}
        }
    }

    /// What is wrong with an endpoint, unless it is time to try it again.
    #[must_use]
    pub fn fault(&self, row: &EndpointRow, now: ClockTime) -> Option<EndpointFault> {
        let fault = self.health.fault(row.index)?;
        (!self.health.probe_due(row.index, now)).then_some(fault)
    }

    /// Notes that an ejected endpoint gets a request to see whether it works again.
    pub fn note_probe(&mut self, name: &EndpointName, now: ClockTime) {
        if let Some(row) = self.rows.get(name)
            && self.health.fault(row.index).is_some()
        {
            self.health.start_probe(row.index, now);
        }
    }
}
