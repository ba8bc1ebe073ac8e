//! Attempts that are running at the endpoint.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::request::{AttemptSpec, RequestGoal};

/// An attempt that is running at the endpoint.
#[derive(Debug, Clone)]
pub(crate) struct RunningAttempt {
    pub spec: AttemptSpec,
    pub deadline: ClockTime,
    pub started: ClockTime,
    first_token: Option<ClockTime>,
    last_token: ClockTime,
    tokens: u32,
}

impl RunningAttempt {
    pub fn new(spec: AttemptSpec, deadline: ClockTime, now: ClockTime) -> Self {
        Self {
            spec,
            deadline,
            started: now,
            first_token: None,
            last_token: now,
            tokens: 0,
        }
    }

    /// Records the arrival of the first token. Returns false if it was recorded before.
    pub fn record_first_token(&mut self, now: ClockTime) -> bool {
        if self.first_token.is_some() {
            return false;
        }
        self.first_token = Some(now);
        self.last_token = now;
        true
    }

    /// Records further tokens and returns the time since the previous ones.
    pub fn record_tokens(&mut self, tokens: u32, now: ClockTime) -> Duration {
        let taken = now.since(self.last_token);
        self.last_token = now;
        self.tokens = self.tokens.saturating_add(tokens);
        taken
    }

    /// Returns whether the class target applies to the first token instead of the whole answer.
    pub fn is_stream(&self, target: Option<ClassTarget>) -> bool {
        match target {
            Some(ClassTarget::Stream { .. }) => true,
            Some(ClassTarget::Whole { .. }) => false,
            None => matches!(self.spec.goal, RequestGoal::Model { .. }),
        }
    }

    /// Returns whether the first token was in time but the later tokens were too slow.
    pub fn is_too_slow(&self, target: Option<ClassTarget>) -> bool {
        let Some(ClassTarget::Stream { between_tokens, .. }) = target else {
            return false;
        };
        let Some(first_token) = self.first_token else {
            return false;
        };
        let allowed = between_tokens.saturating_mul(self.tokens);
        first_token <= self.deadline && self.last_token.since(first_token) > allowed
    }
}
