//! Estimates of service times at the endpoint, learnt from observed calls.
//!
//! The agent refuses at once what can't meet its deadline, while the caller still has time to try
//! another endpoint. Four rules keep wrong estimates from refusing work indefinitely. Nothing is
//! refused if there is no sample. An idle endpoint with outdated estimates gets one attempt to
//! sample. An idle endpoint refuses only what even the fastest of its recent calls would not have
//! met. A single outlier, such as a call during which the VM was paused, hardly moves the mean.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::ClassName;
use oatpier_types::request::{AttemptSpec, RequestGoal, TokenDemand};

/// Weights of a new sample in the mean and in the deviation, as in TCP's retransmission timer.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;

/// A sample further above the mean than this many deviations is clamped to that distance.
const MAX_DEVIATIONS: f64 = 8.0;

/// Number of recent samples that are kept. Their minimum bounds the service time from below.
const RECENT_SAMPLES: usize = 8;

/// Maximum number of classes with a service time of their own.
const MAX_CLASSES: usize = 64;

/// An idle endpoint whose newest sample is older than this gets an attempt to sample.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// An endpoint counts as stalled if no slot was freed for this many mean intervals between two
/// freed slots. If calls ended independently, one gap in three thousand would be as long.
const STALL_INTERVALS: f64 = 8.0;

/// Upper bound of a predicted wait.
const MAX_WAIT: Duration = Duration::from_mins(10);

/// A smoothed mean and mean deviation, with the most recent samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct SmoothedSample {
    mean: f64,
    deviation: f64,
    recent: [f64; RECENT_SAMPLES],
    next: usize,
    has_sample: bool,
}

impl SmoothedSample {
    /// Adds a sample.
    ///
    /// A call during which the VM was paused takes seconds longer by the clock. Without a bound, it
    /// would lift the mean above the targets of classes for tens of calls, so one sample moves the
    /// mean by a bounded distance. The deviation uses the whole sample: a second one soon after
    /// counts in full, since an endpoint that became slow has to be detected.
    pub fn observe(&mut self, sample: f64) {
        if !self.has_sample {
            *self = Self {
                mean: sample,
                deviation: sample / 2.0,
                recent: [sample; RECENT_SAMPLES],
                next: 0,
                has_sample: true,
            };
            return;
        }
        self.recent[self.next] = sample;
        self.next = (self.next + 1) % RECENT_SAMPLES;
        let error = sample - self.mean;
        self.mean += MEAN_GAIN * error.min(MAX_DEVIATIONS * self.deviation);
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    /// Returns the mean; 0 if there was no sample.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns a value that few samples are below; 0 if there was no sample.
    #[must_use]
    pub fn lower_bound(&self) -> f64 {
        (self.mean - 2.0 * self.deviation).max(0.0)
    }

    /// Returns the minimum of the recent samples; 0 if there was none. One fast sample is enough to
    /// lower it, however many slow ones came before.
    #[must_use]
    pub fn recent_min(&self) -> f64 {
        self.recent.iter().copied().fold(f64::INFINITY, f64::min)
    }
}

/// The load of the endpoint that precedes an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Waiting attempts that are served first.
    pub ahead: usize,
    /// Running attempts.
    pub running: usize,
    /// Number of attempts that run concurrently.
    pub slots: usize,
}

/// Estimates of service times at the endpoint. Kept in seconds internally.
#[derive(Debug, Clone, Default)]
pub struct ServiceEstimator {
    step: SmoothedSample,
    prompt_token: SmoothedSample,
    service: SmoothedSample,
    classes: IndexMap<ClassName, SmoothedSample>,
    last_sample_at: ClockTime,
    slot_freed_at: ClockTime,
}

impl ServiceEstimator {
    /// Records that an attempt started while `running` others were running.
    pub fn record_start(&mut self, running: usize, now: ClockTime) {
        if running == 0 {
            self.slot_freed_at = now;
        }
    }

    /// Records that the first token came `taken` after the attempt's start.
    pub fn record_first_token(&mut self, tokens: TokenDemand, taken: Duration, now: ClockTime) {
        self.last_sample_at = now;
        if tokens.prompt == 0 {
            return;
        }
        let prompt_time = (taken.as_secs_f64() - self.step.mean()).max(0.0);
        self.prompt_token
            .observe(prompt_time / f64::from(tokens.prompt));
    }

    /// Records that `tokens` further tokens came `taken` after the previous ones.
    pub fn record_tokens(&mut self, tokens: u32, taken: Duration, now: ClockTime) {
        self.last_sample_at = now;
        if tokens > 0 {
            self.step.observe(taken.as_secs_f64() / f64::from(tokens));
        }
    }

    /// Records that an answer of a class was complete `taken` after its start.
    pub fn record_end(&mut self, class: &ClassName, taken: Duration, now: ClockTime) {
        self.last_sample_at = now;
        self.slot_freed_at = now;
        let sample = taken.as_secs_f64();
        self.service.observe(sample);
        if let Some(service) = self.classes.get_mut(class) {
            service.observe(sample);
        } else if self.classes.len() < MAX_CLASSES {
            let mut service = SmoothedSample::default();
            service.observe(sample);
            self.classes.insert(class.clone(), service);
        }
    }

    /// Records that a call failed or was cancelled. Its slot is free; its duration is no sample.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.slot_freed_at = now;
    }

    /// Returns the mean time of one generation step; zero if unknown.
    #[must_use]
    pub fn step(&self) -> Duration {
        to_duration(self.step.mean())
    }

    /// Returns the mean processing time per prompt token, in nanoseconds; 0 if unknown.
    #[must_use]
    pub fn prompt_token_ns(&self) -> u32 {
        let nanos = to_duration(self.prompt_token.mean()).as_nanos();
        u32::try_from(nanos).unwrap_or(u32::MAX)
    }

    /// Returns the mean time from an attempt's start to the first token of a model's answer, or to
    /// the whole answer of a plain service.
    #[must_use]
    pub fn expected_latency(&self, spec: &AttemptSpec) -> Duration {
        self.latency(spec, SmoothedSample::mean)
    }

    /// Returns a lower bound of that time which few calls undercut. A deadline that it misses can't
    /// be met.
    #[must_use]
    pub fn min_latency(&self, spec: &AttemptSpec) -> Duration {
        self.latency(spec, SmoothedSample::lower_bound)
    }

    /// Returns that time as the fastest of the recent calls had it.
    #[must_use]
    pub fn recent_min_latency(&self, spec: &AttemptSpec) -> Duration {
        self.latency(spec, SmoothedSample::recent_min)
    }

    /// Returns how long an attempt behind this load waits for its slot.
    ///
    /// While all slots are occupied, a long time since the last one was freed replaces the mean
    /// interval: an endpoint that hangs ends no calls, and the old mean would keep predicting free
    /// slots. Gaps of a few mean intervals are common where answers differ in length, and are
    /// ignored.
    #[must_use]
    pub fn wait(&self, load: EndpointLoad, now: ClockTime) -> Duration {
        let before = load.ahead + load.running;
        if before < load.slots {
            return Duration::ZERO;
        }
        let full = load.running >= load.slots;
        let since_freed = if full {
            now.since(self.slot_freed_at).as_secs_f64()
        } else {
            0.0
        };
        let mean_interval = self.service.mean() / count(load.slots);
        let interval = if since_freed > mean_interval * STALL_INTERVALS {
            since_freed
        } else {
            mean_interval
        };
        to_duration(interval * count(before + 1 - load.slots))
    }

    /// Predicts the time from now to the first token or whole answer. Returns zero if there is no
    /// usable sample.
    ///
    /// At an idle endpoint the fastest of the recent calls is used. After a pause or a slow period
    /// the mean is too high, and as long as everything is refused because of it, nothing corrects
    /// it. The worst outcome of an attempt is one late answer.
    #[must_use]
    pub fn predict(&self, spec: &AttemptSpec, load: EndpointLoad, now: ClockTime) -> Duration {
        if load.ahead == 0 && self.is_stale(load.running, now) {
            return Duration::ZERO;
        }
        if load.ahead + load.running == 0 {
            return self.recent_min_latency(spec);
        }
        self.wait(load, now) + self.expected_latency(spec)
    }

    /// Returns whether the endpoint is idle and the estimates are too old to refuse anything by
    /// them.
    #[must_use]
    pub fn is_stale(&self, running: usize, now: ClockTime) -> bool {
        running == 0 && now.since(self.last_sample_at) > STALE_AFTER
    }

    fn latency(&self, spec: &AttemptSpec, pick: fn(&SmoothedSample) -> f64) -> Duration {
        match spec.goal {
            RequestGoal::Model { .. } => {
                let prompt_time = pick(&self.prompt_token) * f64::from(spec.tokens.prompt);
                to_duration(prompt_time + pick(&self.step))
            }
            RequestGoal::Service { .. } => {
                let service = self.classes.get(&spec.class).unwrap_or(&self.service);
                to_duration(pick(service))
            }
        }
    }
}

fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_WAIT)
        .min(MAX_WAIT)
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
