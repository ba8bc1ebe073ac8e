//! How long engines take to read prompts.
//!
//! An engine reads prompts between the steps of the streams that it serves, so what it has to read makes
//! the next first pieces late and stretches the pauses of everybody there. How fast it reads depends on
//! the model and on the engine's hardware, which nobody tells; it is learned from the time to first pieces.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::names::ModelName;

/// Shorter prompts say little about the pace: the way to the engine and its step weigh as much.
const LEAST_TOKENS: f64 = 200.0;

/// The share of times that lie below the learned one. Most of what makes a time long is not the reading
/// (others' prompts, an engine that is slow), so a low one is taken; the lowest ones are prompts
/// of which an engine kept more than is known here.
const PACE_QUANTILE: f64 = 0.2;

/// How far one time moves the estimate, as a factor's logarithm.
const PACE_STEP: f64 = 0.12;

/// How much farther the first times move it, divided by how many there were: the very first may be several
/// times too long, and a busy model should be known after a second.
const PACE_FIRST_STEP: f64 = 1.5;

/// Times after which the estimate is used.
const LEAST_TIMES: u32 = 5;

/// Of the time to a first piece at least this share counts as reading, whatever the overhead seems to be.
const LEAST_READING: f64 = 0.25;

/// A low quantile of times.
#[derive(Debug, Clone, Copy)]
struct QuantileTime {
    ms: f64,
    times: u32,
}

impl QuantileTime {
    fn starting_at(ms: f64) -> Self {
        Self { ms, times: 0 }
    }

    fn note(&mut self, ms: f64) {
        let size = PACE_STEP + PACE_FIRST_STEP / f64::from(self.times + 2);
        let up = size * PACE_QUANTILE;
        let down = size * (1.0 - PACE_QUANTILE);
        self.ms = if ms > self.ms {
            ms.min(self.ms * up.exp())
        } else {
            ms.max(self.ms * (-down).exp())
        };
        self.times = self.times.saturating_add(1);
    }

    fn is_known(&self) -> bool {
        self.times >= LEAST_TIMES
    }
}

/// The paces of all models.
#[derive(Debug, Default)]
pub struct ReadingPaces {
    /// The time to read one token of each model's prompts.
    models: HashMap<ModelName, QuantileTime>,
    /// The pace over all models. A gateway before many engines is asked for each of many models every few
    /// seconds: by itself each model would be known after half a minute, all together after half a second.
    any: Option<QuantileTime>,
    /// The time of first pieces that have hardly anything to be read for: connections, steps and this process's
    /// own delays. On a VM of a tenth of a core it is several times the reading of a common prompt, and
    /// taken for reading it made engines look as if they read a quarter as fast.
    overhead: Option<QuantileTime>,
}

impl ReadingPaces {
    /// The first piece of an answer came after `took`; the engine had `tokens` to read for it, and nothing
    /// else that is known of.
    pub fn note(&mut self, model: &ModelName, tokens: f64, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        if tokens < LEAST_TOKENS {
            let first = QuantileTime::starting_at(took_ms);
            self.overhead.get_or_insert(first).note(took_ms);
            return;
        }
        let overhead = self.overhead.filter(QuantileTime::is_known);
        let reading_ms = took_ms - overhead.map_or(0.0, |overhead| overhead.ms);
        let token_ms = reading_ms.max(took_ms * LEAST_READING) / tokens;
        let first = QuantileTime::starting_at(token_ms);
        let pace = self.models.entry(model.clone()).or_insert(first);
        pace.note(token_ms);
        self.any.get_or_insert(first).note(token_ms);
    }

    /// The time to read so many tokens, in milliseconds. A model that was hardly seen yet is read like the
    /// slowest one that was, or like all of them together before one is known; zero before any was seen.
    #[must_use]
    pub fn reading_ms(&self, model: &ModelName, tokens: f64) -> f64 {
        let known = self.models.get(model).filter(|pace| pace.is_known());
        let token_ms = known.map_or_else(|| self.slowest(), |pace| pace.ms);
        tokens * token_ms
    }

    fn slowest(&self) -> f64 {
        let all = self.models.values().chain(&self.any);
        let known = all.filter(|pace| pace.is_known());
        known.map(|pace| pace.ms).fold(0.0, f64::max)
    }
}

/// What one gateway has sent to an engine to read.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadingLoad {
    prompts: u32,
    ms: f64,
}

impl ReadingLoad {
    /// Whether nothing is being read.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.prompts == 0
    }

    /// The time that it takes to read it all, in milliseconds.
    #[must_use]
    pub fn ms(&self) -> f64 {
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
    /// Tokens that the engine has to read for it, as far as known.
    pub tokens: f64,
    /// The time that this takes, in milliseconds.
    pub own_ms: f64,
    /// The time that the engine needed for what was sent there before, in milliseconds.
    pub ahead_ms: f64,
    /// Whether nothing else of this gateway was being read.
    pub alone: bool,
    /// The start of the endpoint that it was sent to, as its place in the tables tells it.
    pub start: Option<EndpointIndex>,
}
