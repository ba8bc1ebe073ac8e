//! Usual time of an engine's chunks and of its prefill, separated from each other.
//!
//! Chunks take longer while the engine prefills prompts between its steps. Over some tenths of a second, the time is
//! the number of chunks times the time of a chunk plus the number of tokens that were prefilled times the time of a
//! token. Both times are found by a quantile regression: disturbances of the VM lengthen some of the spans, so that a
//! quantile below the median is the usual one.

use std::collections::VecDeque;
use std::time::Duration;

use super::progress::ProgressSample;

/// Minimum time of a span. Prompts that are granted at its end are prefilled in the next one, which should concern a
/// small part of them.
const SPAN_TIME: Duration = Duration::from_millis(300);

/// Number of spans kept: some fifteen seconds under load.
const MAX_SPANS: usize = 48;

/// Number of spans after which the time of a chunk is known.
const MIN_SPANS: usize = 3;

/// Number of spans after which the time of a token is fitted. Until then the gateways' estimate is used.
const MIN_FITTED_SPANS: usize = 16;

/// Minimum number of chunks over all streams in a span, below which their mean progress is too coarse.
const MIN_STREAM_CHUNKS: f64 = 8.0;

/// The quantile that is fitted. A disturbance that lasts for a sixth of the time touches a third of the spans; this is
/// the median of the others.
const QUANTILE: f64 = 0.35;

/// Factors between the gateways' estimate of the time of a token and those that are tried. Slow processes overestimate
/// it, and engines differ in speed.
const TOKEN_TIME_FACTORS: [f64; 9] = [1.0, 0.65, 1.4, 0.45, 2.0, 0.3, 2.8, 0.2, 4.0];

/// Share of the loss by which another factor has to be better, for each power of e between the two. Spans with few
/// prompts say little about the time of a token.
const FACTOR_PENALTY: f64 = 0.03;

/// Progress and prefill work over some tenths of a second.
#[derive(Debug, Clone, Copy, Default)]
struct FitSpan {
    us: f64,
    chunks: f64,
    stream_chunks: f64,
    tokens: f64,
}

/// Usual times of an engine, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct UsualTimes {
    /// Time of a chunk.
    pub(super) chunk_us: f64,
    /// Time to prefill a token; 0 while unknown.
    pub(super) token_us: f64,
}

/// Estimate of an engine's usual times.
#[derive(Debug, Default)]
pub(super) struct PaceFit {
    current: FitSpan,
    spans: VecDeque<FitSpan>,
    times: Option<UsualTimes>,
}

impl PaceFit {
    /// Records progress, and the number of tokens that were prefilled meanwhile. `estimated_token_us` is the gateways'
    /// estimate of the time to prefill a token, if known.
    pub(super) fn note(
        &mut self,
        sample: &ProgressSample,
        tokens: f64,
        estimated_token_us: Option<f64>,
    ) {
        self.current.us += sample.span.as_secs_f64() * 1e6;
        self.current.chunks += sample.chunks;
        self.current.stream_chunks += sample.chunks * f64::from(sample.streams);
        self.current.tokens += tokens;
        let is_long = self.current.us >= SPAN_TIME.as_secs_f64() * 1e6;
        if !is_long || self.current.stream_chunks < MIN_STREAM_CHUNKS {
            return;
        }
        self.spans.push_back(std::mem::take(&mut self.current));
        if self.spans.len() > MAX_SPANS {
            self.spans.pop_front();
        }
        self.times = self.fit(estimated_token_us);
    }

    /// Returns the usual times, once known.
    pub(super) fn times(&self) -> Option<UsualTimes> {
        self.times
    }

    fn fit(&self, estimated_token_us: Option<f64>) -> Option<UsualTimes> {
        if self.spans.len() < MIN_SPANS {
            return None;
        }
        let estimate = estimated_token_us.unwrap_or(0.0);
        if estimate <= 0.0 || self.spans.len() < MIN_FITTED_SPANS {
            return self.chunk_fit(estimate).map(|fit| fit.times);
        }
        TOKEN_TIME_FACTORS
            .iter()
            .filter_map(|factor| {
                let fit = self.chunk_fit(estimate * factor)?;
                let penalty = 1.0 + FACTOR_PENALTY * factor.ln().abs();
                let loss = fit.loss * penalty;
                Some(CandidateFit { loss, ..fit })
            })
            .min_by(|one, other| one.loss.total_cmp(&other.loss))
            .map(|fit| fit.times)
    }

    /// Returns the best fit with a time per token.
    fn chunk_fit(&self, token_us: f64) -> Option<CandidateFit> {
        let chunk_us = |span: &FitSpan| (span.us - span.tokens * token_us) / span.chunks;
        let mut rows: Vec<(f64, f64)> = self
            .spans
            .iter()
            .map(|span| (chunk_us(span), span.chunks))
            .collect();
        rows.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        let total: f64 = rows.iter().map(|row| row.1).sum();
        let mut below = 0.0;
        let quantile = rows.iter().find(|row| {
            below += row.1;
            below >= total * QUANTILE
        })?;
        let times = UsualTimes {
            chunk_us: quantile.0,
            token_us,
        };
        let loss = self.spans.iter().map(|span| quantile_loss(span, times));
        (times.chunk_us > 0.0).then(|| CandidateFit {
            times,
            loss: loss.sum(),
        })
    }
}

struct CandidateFit {
    times: UsualTimes,
    loss: f64,
}

fn quantile_loss(span: &FitSpan, times: UsualTimes) -> f64 {
    let rest = span.us - span.chunks * times.chunk_us - span.tokens * times.token_us;
    if rest >= 0.0 {
        rest * QUANTILE
    } else {
        rest * (QUANTILE - 1.0)
    }
}
