//! How long a response is exposed to the disturbances of its engine.
//!
//! An engine whose VM is disturbed pauses its streams for fractions of a second. A stream meets such a pause with a
//! probability that grows with its duration, so long streams need engines on which pauses stay within their limit,
//! while most short ones end before the next disturbance.
//!
//! The length of a response is estimated before the request is sent. The caller's estimate, the requested maximum and
//! the lengths of earlier responses of the route are combined, each with a weight by how far off it has been.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::names::ClassName;

use super::EnginePace;
use crate::call::CallerRequest;

/// Maximum number of routes with lengths of their own. Further routes use the lengths over all routes.
const MAX_ROUTES: usize = 64;

/// Number of responses after which the lengths of a route are used.
const MIN_RESPONSES: u32 = 8;

/// Weight of a new response in the means, once there have been `1 / RESPONSE_WEIGHT` of them.
const RESPONSE_WEIGHT: f64 = 0.03;

/// Weight of the first responses in the variances.
const MAX_VARIANCE_WEIGHT: f64 = 0.2;

/// Logarithm of the factor by which one response can differ from its prediction. Responses that differ by more count
/// as if they differed by this, so that an absurd estimate of one caller does not move those for the others.
const MAX_ERROR: f64 = 3.0;

/// Number of standard deviations of the route's lengths by which the prediction for one request can differ from the
/// usual length.
const MAX_DEVIATIONS: f64 = 3.0;

/// Variance that is added to that of each predictor, so that none takes all of the weight.
const VARIANCE_FLOOR: f64 = 0.02;

/// Variance of a predictor before it is known. Corresponds to a factor of about 2.7.
const INITIAL_VARIANCE: f64 = 1.0;

/// Tokens per chunk assumed until responses have ended.
const INITIAL_TOKENS_PER_CHUNK: f64 = 4.0;

/// Predicts the logarithm of a length as that of a known quantity plus a learned offset.
#[derive(Debug, Clone, Copy)]
struct LengthPredictor {
    offset: f64,
    variance: f64,
    samples: u32,
}

impl LengthPredictor {
    fn starting_at(offset: f64) -> Self {
        Self {
            offset,
            variance: INITIAL_VARIANCE,
            samples: 0,
        }
    }

    fn note(&mut self, difference: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(RESPONSE_WEIGHT);
        let error = (difference - self.offset).clamp(-MAX_ERROR, MAX_ERROR);
        self.offset += error * weight;
        self.variance += (error.powi(2) - self.variance) * weight.min(MAX_VARIANCE_WEIGHT);
    }

    /// Returns the value nearest to `value` that is not far beyond the spread of the samples.
    fn nearest_plausible(&self, value: f64) -> f64 {
        let deviation = (self.variance + VARIANCE_FLOOR).sqrt() * MAX_DEVIATIONS;
        value.clamp(self.offset - deviation, self.offset + deviation)
    }

    fn weight(&self) -> f64 {
        1.0 / (self.variance + VARIANCE_FLOOR)
    }
}

/// Predictors of the lengths of a group of responses.
#[derive(Debug, Clone, Copy)]
struct LengthGroup {
    /// From earlier responses alone.
    usual: LengthPredictor,
    /// From the caller's estimate.
    hinted: LengthPredictor,
    /// From the requested maximum.
    limited: LengthPredictor,
}

impl Default for LengthGroup {
    fn default() -> Self {
        let per_token = LengthPredictor::starting_at(-INITIAL_TOKENS_PER_CHUNK.ln());
        Self {
            usual: LengthPredictor::starting_at(0.0),
            hinted: per_token,
            limited: per_token,
        }
    }
}

impl LengthGroup {
    fn note(&mut self, request: &CallerRequest, log_chunks: f64) {
        if self.usual.samples == 0 {
            self.usual.offset = log_chunks;
        }
        self.usual.note(log_chunks);
        if let Some(log_hint) = log_tokens(request.expected_tokens) {
            self.hinted.note(log_chunks - log_hint);
        }
        if let Some(log_limit) = log_tokens(Some(request.output_tokens)) {
            self.limited.note(log_chunks - log_limit);
        }
    }

    /// Returns the logarithm of the expected number of chunks, or `None` if nothing is known about the length.
    fn log_chunks(&self, request: &CallerRequest) -> Option<f64> {
        let is_learned = self.usual.samples > 0;
        let usual = is_learned.then_some((self.usual, 0.0));
        let hinted = log_tokens(request.expected_tokens).map(|basis| (self.hinted, basis));
        let limited = log_tokens(Some(request.output_tokens)).map(|basis| (self.limited, basis));
        let known = [usual, hinted, limited].into_iter().flatten();
        let (sum, weight) = known.fold((0.0, 0.0), |(sum, weight), (predictor, basis)| {
            let own = predictor.weight();
            let log_chunks = basis + predictor.offset;
            let log_chunks = if is_learned {
                self.usual.nearest_plausible(log_chunks)
            } else {
                log_chunks
            };
            (sum + log_chunks * own, weight + own)
        });
        (weight > 0.0).then(|| sum / weight)
    }
}

fn log_tokens(tokens: Option<u32>) -> Option<f64> {
    tokens
        .filter(|tokens| *tokens > 0)
        .map(|tokens| f64::from(tokens).ln())
}

/// Estimates the lengths of responses, from those of earlier ones.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    routes: HashMap<ClassName, LengthGroup>,
    all: LengthGroup,
}

impl LengthEstimator {
    /// Records the number of chunks of a complete response.
    pub fn note(&mut self, route: &ClassName, request: &CallerRequest, chunks: u32) {
        let log_chunks = f64::from(chunks.max(1)).ln();
        self.all.note(request, log_chunks);
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(route) {
            let group = self.routes.entry(route.clone()).or_default();
            group.note(request, log_chunks);
        }
    }

    /// Returns the expected number of chunks of a response, or `None` if nothing is known about its length.
    #[must_use]
    pub fn expected_chunks(&self, route: &ClassName, request: &CallerRequest) -> Option<f64> {
        let own = self.routes.get(route);
        let own = own.filter(|group| group.usual.samples >= MIN_RESPONSES);
        let log_chunks = own.unwrap_or(&self.all).log_chunks(request)?;
        Some(log_chunks.exp())
    }

    /// Returns the number of routes with lengths of their own.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

impl EnginePace {
    /// Returns the usual time between two chunks of a stream, or `None` while unknown.
    #[must_use]
    pub fn chunk_time(&self) -> Option<Duration> {
        (self.chunk_us > 0).then(|| Duration::from_micros(u64::from(self.chunk_us)))
    }

    /// Returns the probability that a stream of a number of chunks has a pause beyond the pause limit, or `None` while
    /// the engine's pace is unknown. An engine with known chunk times and no rate of pauses has had none.
    #[must_use]
    pub fn late_pause_risk(&self, chunks: f64) -> Option<f64> {
        let stream_s = self.chunk_time()?.as_secs_f64() * chunks;
        let rate_per_s = f64::from(self.late_pauses_per_ks) / 1e3;
        Some(1.0 - (-rate_per_s * stream_s).exp())
    }

    /// Returns the time to prefill a number of tokens, in milliseconds, or `None` while unknown.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> Option<f64> {
        (self.prefill_us_per_k > 0).then(|| tokens * f64::from(self.prefill_us_per_k) / 1e6)
    }
}
