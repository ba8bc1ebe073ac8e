//! The pace of an engine, as its sidecar estimates it.
//!
//! The estimate is fed with the engine's reports, the prompts that were granted and the permits that were issued. It
//! holds for one incarnation of the engine.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::EnginePace;
use super::hazard::PauseHazard;
use super::pace_fit::{PaceFit, UsualTimes};
use super::permit_rate::PermitRate;
use super::prefill_window::{PresentPace, PromptWork};
use super::progress::{ProgressMeter, RecentProgress};
use crate::engine::{EngineReport, StartTime};
use crate::prefill::QuantileEstimate;

/// Time from the grant of a prompt to its prefill: the messages to the gateway and to the engine, and the current step.
const PREFILL_DELAY: Duration = Duration::from_millis(30);

/// Time by which a prompt may be prefilled later than expected, behind others or because of a slow gateway. A chunk is
/// taken for slow only if the prompts that may have been prefilled meanwhile do not explain its time.
const PREFILL_VARIATION: Duration = Duration::from_millis(60);

/// Time for which granted prompts are kept. The recent progress of an engine covers less.
const GRANT_HISTORY: Duration = Duration::from_secs(2);

/// Shorter prompts are not used for the time per token, because gateways' estimates of them are mostly overhead.
const MIN_PROMPT_TOKENS: u32 = 100;

/// Age of the last report from which the present pace is unknown.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Time constant with which an engine counts as undisturbed again after a disturbance. A disturbance fluctuates, and what
/// was granted in a lull is prefilled at the disturbed pace.
const RECOVERY_TIME: Duration = Duration::from_millis(150);

/// Limits of the ratio of the present pace to the usual one. Ratios below 1 come from prompts that were granted and are
/// not prefilled yet; work granted by them would make the next chunks late.
const SLOWDOWN_RANGE: (f64, f64) = (1.0, 10.0);

/// Tokens of a granted prompt, and when the engine is expected to prefill them.
#[derive(Debug, Clone, Copy)]
struct GrantedTokens {
    tokens: f64,
    at: ClockTime,
}

/// Estimator of the pace of one engine.
#[derive(Debug, Default)]
pub struct PaceEstimator {
    start: Option<StartTime>,
    meter: ProgressMeter,
    fit: PaceFit,
    hazard: PauseHazard,
    permits: PermitRate,
    granted: VecDeque<GrantedTokens>,
    /// The last pause limit of the streams there.
    max_pause: Option<Duration>,
    /// Time per prompt token according to the gateways, in milliseconds. Gateways that are short of CPU overestimate
    /// it, so that a low quantile is used.
    estimated_token_ms: Option<QuantileEstimate>,
    /// Ratio of the present pace to the usual one; 0 while unknown.
    slowdown: f64,
}

impl PaceEstimator {
    /// Records a report. What was learned of another incarnation is discarded. `max_pause` is the longest pause that is
    /// in time for the streams there, if requests state one.
    pub fn note_report(
        &mut self,
        report: &EngineReport,
        max_pause: Option<Duration>,
        now: ClockTime,
    ) {
        if report.start != self.start {
            self.forget();
            self.start = report.start;
        }
        self.max_pause = max_pause.or(self.max_pause);
        let sample = self.meter.note(&report.streams, now);
        if let Some(sample) = sample.filter(|_| !self.meter.is_stuck()) {
            let tokens = self.granted_tokens(now - sample.span, now);
            let estimate_us = self.estimated_token_us();
            self.fit.note(&sample, tokens, estimate_us);
            if let Some((recent, max_pause)) = self.meter.recent().zip(self.max_pause) {
                let chunk = recent.chunk_time();
                self.hazard.note(&sample, chunk, max_pause, now);
            }
            self.update_slowdown(sample.span, now);
        }
        let oldest = now - GRANT_HISTORY;
        self.granted.retain(|granted| granted.at > oldest);
    }

    /// Records a prompt that was granted.
    pub fn note_granted(&mut self, prompt: PromptWork, now: ClockTime) {
        let estimate_ms = prompt.estimate.as_secs_f64() * 1e3;
        if let Some(tokens) = prompt.tokens.filter(|tokens| *tokens >= MIN_PROMPT_TOKENS) {
            let token_ms = estimate_ms / f64::from(tokens);
            let first = QuantileEstimate::starting_at(token_ms);
            self.estimated_token_ms.get_or_insert(first).note(token_ms);
        }
        let token_us = self.times().map_or(0.0, |times| times.token_us);
        let estimated = (token_us > 0.0).then(|| estimate_ms * 1e3 / token_us);
        if let Some(tokens) = prompt.tokens.map(f64::from).or(estimated) {
            self.granted.push_back(GrantedTokens {
                tokens,
                at: now + PREFILL_DELAY,
            });
        }
    }

    /// Records the permits issued since the last call, and whether requests still wait.
    pub fn note_permits(&mut self, issued: u32, is_waiting: bool, now: ClockTime) {
        self.permits.note(issued, is_waiting, now);
    }

    /// Discards all that is known, when the engine is lost or was restarted.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Returns the incarnation that the estimate holds for.
    #[must_use]
    pub fn start(&self) -> Option<StartTime> {
        self.start
    }

    /// Returns the pace, once known.
    #[must_use]
    pub fn pace(&self, now: ClockTime) -> Option<EnginePace> {
        let times = self.times()?;
        Some(EnginePace {
            chunk_us: whole(times.chunk_us),
            late_pauses_per_ks: whole(self.hazard.rate(now) * 1e3),
            prefill_us_per_k: whole(times.token_us * 1e3),
            permits_per_ks: whole(self.permits.per_second() * 1e3),
        })
    }

    /// Returns the pace at present. `None` while it is unknown: before they have run for a while,
    /// if reports do not arrive, and if the figures in them do not change.
    #[must_use]
    pub fn present(&self, now: ClockTime) -> Option<PresentPace> {
        let times = self.times()?;
        let reported_at = self.meter.reported_at()?;
        if now.since(reported_at) > MAX_REPORT_AGE || self.meter.is_stuck() {
            return None;
        }
        let is_slowdown_known = self.meter.has_progress() && self.slowdown > 0.0;
        let slowdown = if is_slowdown_known {
            self.slowdown
        } else {
            1.0
        };
        Some(PresentPace {
            chunk: Duration::from_secs_f64(times.chunk_us * slowdown / 1e6),
            token_us: times.token_us * slowdown,
        })
    }

    fn times(&self) -> Option<UsualTimes> {
        self.fit.times()
    }

    fn estimated_token_us(&self) -> Option<f64> {
        let estimate_ms = self.estimated_token_ms.as_ref()?.known_ms()?;
        Some(estimate_ms * 1e3)
    }

    /// Returns the number of tokens that the engine is expected to have prefilled in a span.
    fn granted_tokens(&self, from: ClockTime, until: ClockTime) -> f64 {
        let granted = self.granted.iter();
        let in_span = granted.filter(|granted| granted.at > from && granted.at <= until);
        in_span.map(|granted| granted.tokens).sum()
    }

    /// Updates the ratio of the present pace to the usual one. It rises at once and falls slowly.
    fn update_slowdown(&mut self, span: Duration, now: ClockTime) {
        let Some((times, recent)) = self.times().zip(self.meter.recent()) else {
            return;
        };
        let present = self.present_slowdown(times, recent, now);
        let share = (span.as_secs_f64() / RECOVERY_TIME.as_secs_f64()).min(1.0);
        self.slowdown = if present > self.slowdown {
            present
        } else {
            self.slowdown + (present - self.slowdown) * share
        };
    }

    fn present_slowdown(&self, times: UsualTimes, recent: RecentProgress, now: ClockTime) -> f64 {
        let from = now - recent.span - PREFILL_VARIATION;
        let tokens = self.granted_tokens(from, now);
        let usual_us = times.chunk_us * recent.chunks + times.token_us * tokens;
        let (min, max) = SLOWDOWN_RANGE;
        (recent.span.as_secs_f64() * 1e6 / usual_us).clamp(min, max)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates: negative values become zero, infinite ones the maximum"
)]
fn whole(value: f64) -> u32 {
    value.round() as u32
}
