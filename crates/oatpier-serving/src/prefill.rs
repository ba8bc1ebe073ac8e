//! Estimates how long engines take to prefill prompts.
//!
//! An engine prefills prompts between the decoding steps of its running streams, so pending prefill work
//! delays the next first chunks and lengthens the pauses of all streams there. The prefill speed depends on
//! the model and on the engine's hardware, which is not reported. It is estimated from the time to the
//! first chunk.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::names::ModelName;

/// Shorter prompts are not used to estimate the prefill speed, because the network latency and the engine's
/// step account for as much of their time.
const MIN_PROMPT_TOKENS: f64 = 200.0;

/// The quantile of the samples that is estimated. Samples are mostly long for other reasons than the
/// prefill, such as other prompts or a slow engine, so a low quantile is used. The lowest samples come from
/// prompts of which an engine has cached more than is known to the gateway.
const TIME_QUANTILE: f64 = 0.2;

/// Logarithm of the factor by which one sample moves the estimate.
const ESTIMATE_STEP: f64 = 0.12;

/// Additional step for the first samples, divided by the number of samples so far. The very first one may
/// be several times too long, and a busy model should have an estimate after one second.
const INITIAL_STEP: f64 = 1.5;

/// Number of samples after which the estimate is used.
const MIN_SAMPLES: u32 = 5;

/// Minimum share of the time to the first chunk that counts as prefill, regardless of the estimated
/// overhead.
const MIN_PREFILL_SHARE: f64 = 0.25;

/// Estimate of a low quantile of durations.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuantileEstimate {
    ms: f64,
    samples: u32,
}

impl QuantileEstimate {
    pub(crate) fn starting_at(ms: f64) -> Self {
        Self { ms, samples: 0 }
    }

    pub(crate) fn note(&mut self, ms: f64) {
        let size = ESTIMATE_STEP + INITIAL_STEP / f64::from(self.samples + 2);
        let up = size * TIME_QUANTILE;
        let down = size * (1.0 - TIME_QUANTILE);
        self.ms = if ms > self.ms {
            ms.min(self.ms * up.exp())
        } else {
            ms.max(self.ms * (-down).exp())
        };
        self.samples = self.samples.saturating_add(1);
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the estimate in milliseconds once it is based on enough samples.
    pub(crate) fn known_ms(&self) -> Option<f64> {
        self.is_known().then_some(self.ms)
    }
}

/// Estimated prefill times of all models.
#[derive(Debug, Default)]
pub struct PrefillEstimator {
    /// Prefill time of one token for each model.
    per_model: HashMap<ModelName, QuantileEstimate>,
    /// Prefill time of one token over all models. A gateway with many engines receives requests for each of
    /// many models every few seconds: each model's own estimate is available after half a minute, but the
    /// common one after half a second.
    all_models: Option<QuantileEstimate>,
    /// Time to the first chunk of prompts with almost nothing to prefill: connections, steps, and delays in
    /// this process. On a VM with a tenth of a core it is several times the prefill time of a typical
    /// prompt. If it counted as prefill time, engines would appear to prefill at a quarter of their speed.
    overhead: Option<QuantileEstimate>,
}

impl PrefillEstimator {
    /// Records that the first chunk of a response arrived after `took`. The engine had `tokens` to prefill
    /// for it, and no other known prefill work.
    pub fn note(&mut self, model: &ModelName, tokens: f64, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        if tokens < MIN_PROMPT_TOKENS {
            let first = QuantileEstimate::starting_at(took_ms);
            self.overhead.get_or_insert(first).note(took_ms);
            return;
        }
        let overhead = self.overhead.filter(QuantileEstimate::is_known);
        let prefill_ms = took_ms - overhead.map_or(0.0, |overhead| overhead.ms);
        let token_ms = prefill_ms.max(took_ms * MIN_PREFILL_SHARE) / tokens;
        let first = QuantileEstimate::starting_at(token_ms);
        let estimate = self.per_model.entry(model.clone()).or_insert(first);
        estimate.note(token_ms);
        self.all_models.get_or_insert(first).note(token_ms);
    }

    /// Returns the time to prefill a number of tokens, in milliseconds. A model with too few samples is
    /// assumed to be as slow as the slowest known one, or as the common estimate until one is known.
    /// Returns zero before there are any estimates.
    #[must_use]
    pub fn prefill_ms(&self, model: &ModelName, tokens: f64) -> f64 {
        let known = self
            .per_model
            .get(model)
            .filter(|estimate| estimate.is_known());
        let token_ms = known.map_or_else(|| self.slowest(), |estimate| estimate.ms);
        tokens * token_ms
    }

    fn slowest(&self) -> f64 {
        let all = self.per_model.values().chain(&self.all_models);
        let known = all.filter(|estimate| estimate.is_known());
        known.map(|estimate| estimate.ms).fold(0.0, f64::max)
    }
}

/// Prefill work that one gateway has sent to an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillBacklog {
    prompts: u32,
    ms: f64,
}

impl PrefillBacklog {
    /// Returns whether there is no prefill work.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.prompts == 0
    }

    /// Returns the time to complete the prefill work, in milliseconds.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.ms
    }

    pub(crate) fn add(&mut self, ms: f64) {
        self.prompts += 1;
        self.ms += ms;
    }

    pub(crate) fn remove(&mut self, ms: f64) {
        self.prompts = self.prompts.saturating_sub(1);
        self.ms = if self.is_idle() {
            0.0
        } else {
            (self.ms - ms).max(0.0)
        };
    }
}

/// A prompt that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SentPrompt {
    /// Number of tokens that the engine has to prefill for it, as far as known.
    pub tokens: f64,
    /// Prefill time of these tokens, in milliseconds.
    pub own_ms: f64,
    /// Prefill time of the prompts that were sent there before, in milliseconds.
    pub ahead_ms: f64,
    /// Whether no other prompt of this gateway was being prefilled there.
    pub is_alone: bool,
    /// Start of the endpoint that the prompt was sent to, as identified by its index in the tables.
    pub start: Option<EndpointIndex>,
}
