//! Weighs endpoints by whether a whole stream would be in time there.
//!
//! A stream is late if its first chunk is late or if a pause between two chunks is beyond the pause limit. The first
//! depends on the queue, the second on the pace of the engine and on the length of the stream. A fast engine is
//! therefore worth a wait as long as the first chunk stays in time, and more so for a long stream than for a short one.
//! A stream that will be late in any case leaves the fast engines to the others.

use std::time::Duration;

use smallvec::SmallVec;

use super::EndpointChoice;
use crate::capacity::EnginePace;

/// Share of the latency target up to which a first chunk is predicted to be in time. Predictions are off by about a
/// third, so the probability of a late first chunk rises from here to [`CERTAIN_LATE_SHARE`].
const CERTAIN_TIMELY_SHARE: f64 = 0.7;

/// Share of the latency target from which a first chunk is predicted to be late.
const CERTAIN_LATE_SHARE: f64 = 1.3;

/// Highest cost of a late stream, in milliseconds of waiting. A late response is no worse than a lost one.
const MAX_LATE_MS: f64 = super::cost::ALL_LOST_MS;

/// Difference between the probabilities of a late pause below which engines count as alike.
const MIN_RISK_SPREAD: f64 = 0.01;

/// What the choice of an engine for a stream depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamNeed {
    /// Expected number of chunks.
    pub chunks: f64,
    /// Latency target for the first chunk, measured from the arrival of the request.
    pub target: Duration,
    /// Time since the arrival of the request.
    pub waited: Duration,
}

/// Predicted course of a stream after its first chunk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamPrediction {
    /// Probability of a pause beyond the pause limit.
    pub late_pause_risk: f64,
    /// Usual time between two chunks at the engine.
    pub chunk_time: Duration,
}

impl StreamPrediction {
    pub(super) fn at(pace: &EnginePace, need: &StreamNeed) -> Option<Self> {
        Some(Self {
            late_pause_risk: pace.late_pause_risk(need.chunks)?,
            chunk_time: pace.chunk_time()?,
        })
    }
}

/// An endpoint that can serve the request.
#[derive(Debug)]
pub(super) struct ScoredEndpoint {
    /// Cost in milliseconds of waiting.
    pub(super) cost_ms: f64,
    pub(super) choice: EndpointChoice,
}

/// Adds the cost of a late stream to each endpoint, if their paces differ.
pub(super) fn add_late_costs(endpoints: &mut [ScoredEndpoint], need: &StreamNeed) {
    let Some(risks) = pause_risks(endpoints) else {
        return;
    };
    let least = risks.iter().copied().fold(1.0, f64::min);
    let most = risks.iter().copied().fold(0.0, f64::max);
    if most - least < MIN_RISK_SPREAD {
        return;
    }
    let late_ms = (need.target.as_secs_f64() * 1e3).min(MAX_LATE_MS);
    for (endpoint, pause_risk) in endpoints.iter_mut().zip(risks) {
        let start_risk = late_start_risk(need, endpoint.choice.predicted);
        let late_risk = 1.0 - (1.0 - start_risk) * (1.0 - pause_risk);
        endpoint.cost_ms += late_risk * late_ms;
    }
}

/// Returns the probability of a late pause at each endpoint. An endpoint of unknown pace counts as the mean of the
/// others. Returns `None` if no pace is known.
fn pause_risks(endpoints: &[ScoredEndpoint]) -> Option<SmallVec<[f64; 4]>> {
    let risk =
        |endpoint: &ScoredEndpoint| endpoint.choice.stream.map(|stream| stream.late_pause_risk);
    let known: SmallVec<[f64; 4]> = endpoints.iter().filter_map(risk).collect();
    let count = f64::from(u32::try_from(known.len()).unwrap_or(u32::MAX));
    let mean = known.iter().sum::<f64>() / count;
    let risks = endpoints
        .iter()
        .map(|endpoint| risk(endpoint).unwrap_or(mean));
    (!known.is_empty()).then(|| risks.collect())
}

/// Returns the probability that the first chunk is late.
fn late_start_risk(need: &StreamNeed, predicted: Duration) -> f64 {
    let total_s = (need.waited + predicted).as_secs_f64();
    let share = total_s / need.target.as_secs_f64().max(f64::EPSILON);
    let ramp = CERTAIN_LATE_SHARE - CERTAIN_TIMELY_SHARE;
    ((share - CERTAIN_TIMELY_SHARE) / ramp).clamp(0.0, 1.0)
}
