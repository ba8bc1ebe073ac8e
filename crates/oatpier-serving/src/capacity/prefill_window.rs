//! The prefill work that an engine may be sent.
//!
//! A stream pauses for the steps of one chunk and for the prompts that the engine prefills between these steps. So the
//! work that is granted within any span of the pause limit has to fit beside one chunk. Both are taken at the engine's
//! present pace: an engine that is disturbed or slow takes less at once, a fast one more. Granted work leaves the window
//! by time alone, since messages that a prompt was prefilled arrive late or not at all.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

/// Share of the pause limit that may be used. Prompts take different times to reach the engine, so that those granted
/// within somewhat more than a pause limit may be prefilled within one.
const USED_SHARE: f64 = 0.85;

/// Share of the time of an engine that may be prefill while its chunks alone exceed the pause limit. Its streams are late
/// whether it prefills or not, so that only their progress is kept.
const SHARE_WITHOUT_LIMIT: f64 = 0.5;

/// Maximum time for which a prompt stays in the window. Longer than the pauses that callers allow.
const MAX_PROMPT_TIME: Duration = Duration::from_secs(1);

/// A prompt that an engine is to prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromptWork {
    /// Number of tokens to prefill, if the gateway stated it.
    pub tokens: Option<u32>,
    /// Time to prefill them according to the gateway.
    pub estimate: Duration,
}

/// Pace of an engine at present, including disturbances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PresentPace {
    /// Time of the steps of one chunk.
    pub chunk: Duration,
    /// Time to prefill a token, in microseconds; 0 while unknown.
    pub token_us: f64,
}

impl PresentPace {
    /// Returns the time to prefill a prompt.
    #[must_use]
    pub fn prefill(&self, prompt: PromptWork) -> Duration {
        let known = prompt.tokens.filter(|_| self.token_us > 0.0);
        known.map_or(prompt.estimate, |tokens| {
            Duration::from_secs_f64(f64::from(tokens) * self.token_us / 1e6)
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct GrantedPrompt {
    prompt: PromptWork,
    at: ClockTime,
}

impl GrantedPrompt {
    /// Returns when the prompt leaves the window: a pause limit after its grant, or its own time if that is longer.
    fn leaves_at(&self, pace: &PresentPace, max_pause: Duration) -> ClockTime {
        let own = pace.prefill(self.prompt);
        self.at + own.max(max_pause).min(MAX_PROMPT_TIME)
    }
}

/// The prompts that an engine was granted lately.
#[derive(Debug, Default)]
pub struct PrefillWindow {
    granted: VecDeque<GrantedPrompt>,
}

impl PrefillWindow {
    /// Records a prompt that was granted.
    pub fn note_granted(&mut self, prompt: PromptWork, now: ClockTime) {
        self.granted.push_back(GrantedPrompt { prompt, at: now });
    }

    /// Drops prompts that have left the window, by the pace and the pause limit if known.
    pub fn expire(&mut self, limits: Option<(&PresentPace, Duration)>, now: ClockTime) {
        self.granted.retain(|granted| {
            let leaves_at = limits.map_or(granted.at + MAX_PROMPT_TIME, |(pace, max_pause)| {
                granted.leaves_at(pace, max_pause)
            });
            leaves_at > now
        });
    }

    /// Returns the prefill work that the window has room for.
    #[must_use]
    pub fn room(&self, pace: &PresentPace, max_pause: Duration, now: ClockTime) -> Duration {
        let work: Duration = self
            .current(pace, max_pause, now)
            .map(|granted| pace.prefill(granted.prompt))
            .sum();
        let budget = if pace.chunk > max_pause {
            max_pause.mul_f64(SHARE_WITHOUT_LIMIT)
        } else {
            max_pause.mul_f64(USED_SHARE).saturating_sub(pace.chunk)
        };
        budget.saturating_sub(work)
    }

    /// Returns whether a prompt may be granted. An engine that was granted none lately accepts one of any length, also
    /// if its chunks leave no room: otherwise its models would be out of reach.
    #[must_use]
    pub fn has_room(
        &self,
        prompt: PromptWork,
        pace: &PresentPace,
        max_pause: Duration,
        now: ClockTime,
    ) -> bool {
        let is_empty = self.current(pace, max_pause, now).next().is_none();
        is_empty || pace.prefill(prompt) <= self.room(pace, max_pause, now)
    }

    /// Returns the next time at which a prompt leaves the window.
    #[must_use]
    pub fn next_room(&self, pace: &PresentPace, max_pause: Duration) -> Option<ClockTime> {
        let leaves = |granted: &GrantedPrompt| granted.leaves_at(pace, max_pause);
        self.granted.iter().map(leaves).min()
    }

    fn current(
        &self,
        pace: &PresentPace,
        max_pause: Duration,
        now: ClockTime,
    ) -> impl Iterator<Item = &GrantedPrompt> {
        let granted = self.granted.iter();
        granted.filter(move |granted| granted.leaves_at(pace, max_pause) > now)
    }
}
