//! How long things take at the endpoint, learnt from what the agent sees.
//!
//! The agent refuses at once what can't be in time, so that its caller can go elsewhere while
//! there is time. Four rules keep the estimates from locking work out: nothing is refused on an
//! estimate that was never learnt; an idle endpoint whose estimates are old gets one attempt to
//! learn from; an idle endpoint refuses only what the quickest of its last calls would not have
//! met; and a lone sample far from all others, such as a call during which the VM was paused,
//! hardly moves a mean.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::ClassName;
use oatpier_types::request::{AttemptSpec, RequestGoal, TokenDemand};

/// Weight of a new sample in a mean, and in a deviation, as TCP's retransmission timer has them.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;

/// A sample further above the mean than this many deviations counts as one at that distance.
const MOST_DEVIATIONS: f64 = 8.0;

/// The newest samples, the least of which bounds what is sure.
const RECENT_SAMPLES: usize = 8;

/// Classes whose service times are kept apart.
const MOST_CLASSES: usize = 64;

/// An idle endpoint whose newest sample is older than this gets an attempt to learn from.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Usual gaps between two freed slots after which an endpoint is taken to have slowed down. Were
/// ends independent, one gap in three thousand would be as long.
const SILENT_GAPS: f64 = 8.0;

/// The longest wait that is predicted.
const LONGEST_WAIT: Duration = Duration::from_mins(10);

/// A smoothed mean and mean deviation, with the newest samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct SmoothedSample {
    mean: f64,
    deviation: f64,
    recent: [f64; RECENT_SAMPLES],
    next: usize,
    known: bool,
}

impl SmoothedSample {
    /// Takes a sample.
    ///
    /// A call during which the VM was paused takes seconds longer by the clock, and taken as it
    /// is it lifts the mean above the targets of classes for tens of calls. So a sample moves the
    /// mean by a bounded distance. The deviation takes it whole: a second one soon after counts in
    /// full, as an endpoint that became slow has to be seen.
    pub fn observe(&mut self, sample: f64) {
        if !self.known {
            *self = Self {
                mean: sample,
                deviation: sample / 2.0,
                recent: [sample; RECENT_SAMPLES],
                next: 0,
                known: true,
            };
            return;
        }
        self.recent[self.next] = sample;
        self.next = (self.next + 1) % RECENT_SAMPLES;
        let error = sample - self.mean;
        self.mean += MEAN_GAIN * error.min(MOST_DEVIATIONS * self.deviation);
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    /// The mean; 0 if there was no sample.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// A value that few samples are below; 0 if there was no sample.
    #[must_use]
    pub fn low(&self) -> f64 {
        (self.mean - 2.0 * self.deviation).max(0.0)
    }

    /// The least of the newest samples; 0 if there was none. One good sample is enough to lower
    /// it, however many bad ones came before.
    #[must_use]
    pub fn quickest(&self) -> f64 {
        self.recent.iter().copied().fold(f64::INFINITY, f64::min)
    }
}

/// What is at the endpoint and before an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Attempts that go before it.
    pub ahead: usize,
    /// Attempts that run.
    pub running: usize,
    /// Attempts that run at once.
    pub slots: usize,
}

/// How long things take at the endpoint, in seconds inside.
#[derive(Debug, Clone, Default)]
pub struct ServiceEstimator {
    step: SmoothedSample,
    prompt_token: SmoothedSample,
    service: SmoothedSample,
    classes: IndexMap<ClassName, SmoothedSample>,
    learnt_at: ClockTime,
    slot_freed_at: ClockTime,
}

impl ServiceEstimator {
    /// An attempt started; `running` others did already.
    pub fn started(&mut self, running: usize, now: ClockTime) {
        if running == 0 {
            self.slot_freed_at = now;
        }
    }

    /// An attempt's first token came `taken` after its start.
    pub fn first_token(&mut self, tokens: TokenDemand, taken: Duration, now: ClockTime) {
        self.learnt_at = now;
        if tokens.prompt == 0 {
            return;
        }
        let reading = (taken.as_secs_f64() - self.step.mean()).max(0.0);
        self.prompt_token
            .observe(reading / f64::from(tokens.prompt));
    }

    /// `tokens` more tokens came `taken` after the one before them.
    pub fn piece(&mut self, tokens: u32, taken: Duration, now: ClockTime) {
        self.learnt_at = now;
        if tokens > 0 {
            self.step.observe(taken.as_secs_f64() / f64::from(tokens));
        }
    }

    /// An answer of a class came to its end `taken` after its start.
    pub fn ended(&mut self, class: &ClassName, taken: Duration, now: ClockTime) {
        self.learnt_at = now;
        self.slot_freed_at = now;
        let sample = taken.as_secs_f64();
        self.service.observe(sample);
        if let Some(service) = self.classes.get_mut(class) {
            service.observe(sample);
        } else if self.classes.len() < MOST_CLASSES {
            let mut service = SmoothedSample::default();
            service.observe(sample);
            self.classes.insert(class.clone(), service);
        }
    }

    /// A call failed or was cancelled: its slot is free, its time says nothing.
    pub fn failed(&mut self, now: ClockTime) {
        self.slot_freed_at = now;
    }

    /// The mean time of one generation step; zero if not known.
    #[must_use]
    pub fn step(&self) -> Duration {
        span(self.step.mean())
    }

    /// The mean time to read one prompt token, in nanoseconds; 0 if not known.
    #[must_use]
    pub fn prompt_token_ns(&self) -> u32 {
        let nanos = span(self.prompt_token.mean()).as_nanos();
        u32::try_from(nanos).unwrap_or(u32::MAX)
    }

    /// From its start until what is due first (first token or whole answer), as expected.
    #[must_use]
    pub fn expected_due(&self, spec: &AttemptSpec) -> Duration {
        self.due(spec, SmoothedSample::mean)
    }

    /// The same, but hardly ever shorter: what can't be met by this can't be met.
    #[must_use]
    pub fn least_due(&self, spec: &AttemptSpec) -> Duration {
        self.due(spec, SmoothedSample::low)
    }

    /// The same, as the quickest of the last calls had it.
    #[must_use]
    pub fn quickest_due(&self, spec: &AttemptSpec) -> Duration {
        self.due(spec, SmoothedSample::quickest)
    }

    /// How long an attempt behind this load waits for its slot.
    ///
    /// While all slots are taken, a long time since one was freed becomes the pace: an endpoint
    /// that froze ends nothing, and its old mean would go on promising slots. Gaps of a few times
    /// the usual one are common where answers differ in length, and say nothing.
    #[must_use]
    pub fn wait(&self, load: EndpointLoad, now: ClockTime) -> Duration {
        let before = load.ahead + load.running;
        if before < load.slots {
            return Duration::ZERO;
        }
        let full = load.running >= load.slots;
        let silence = if full {
            now.since(self.slot_freed_at).as_secs_f64()
        } else {
            0.0
        };
        let usual = self.service.mean() / count(load.slots);
        let pace = if silence > usual * SILENT_GAPS {
            silence
        } else {
            usual
        };
        span(pace * count(before + 1 - load.slots))
    }

    /// From now until what is due first, as expected. Zero if there is nothing to go by.
    ///
    /// At an idle endpoint the quickest of the last calls is the measure. After a pause or a slow
    /// spell the mean is too high, and while all is refused on it nothing corrects it; the worst
    /// of trying is one late answer.
    #[must_use]
    pub fn predict(&self, spec: &AttemptSpec, load: EndpointLoad, now: ClockTime) -> Duration {
        if load.ahead == 0 && self.is_stale(load.running, now) {
            return Duration::ZERO;
        }
        if load.ahead + load.running == 0 {
            return self.quickest_due(spec);
        }
        self.wait(load, now) + self.expected_due(spec)
    }

    /// Whether the endpoint is idle and the estimates are too old to refuse anything on.
    #[must_use]
    pub fn is_stale(&self, running: usize, now: ClockTime) -> bool {
        running == 0 && now.since(self.learnt_at) > STALE_AFTER
    }

    fn due(&self, spec: &AttemptSpec, pick: fn(&SmoothedSample) -> f64) -> Duration {
        match spec.goal {
            RequestGoal::Model { .. } => {
                let reading = pick(&self.prompt_token) * f64::from(spec.tokens.prompt);
                span(reading + pick(&self.step))
            }
            RequestGoal::Service { .. } => {
                let service = self.classes.get(&spec.class).unwrap_or(&self.service);
                span(pick(service))
            }
        }
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(LONGEST_WAIT)
        .min(LONGEST_WAIT)
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
