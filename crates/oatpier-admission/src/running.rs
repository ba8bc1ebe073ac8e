//! The attempts that are at the endpoint.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::request::{AttemptSpec, RequestGoal};

/// An attempt that is at the endpoint.
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

    /// Notes the first token; false if it came before.
    pub fn note_first(&mut self, now: ClockTime) -> bool {
        if self.first_token.is_some() {
            return false;
        }
        self.first_token = Some(now);
        self.last_token = now;
        true
    }

    /// Notes more tokens, and gives the time since those before.
    pub fn note_piece(&mut self, tokens: u32, now: ClockTime) -> Duration {
        let taken = now.since(self.last_token);
        self.last_token = now;
        self.tokens = self.tokens.saturating_add(tokens);
        taken
    }

    /// Whether its class judges it by its first token.
    pub fn is_stream(&self, target: Option<ClassTarget>) -> bool {
        match target {
            Some(ClassTarget::Stream { .. }) => true,
            Some(ClassTarget::Whole { .. }) => false,
            None => matches!(self.spec.goal, RequestGoal::Model { .. }),
        }
    }

    /// Whether its first token was in time but the later ones too slow.
    pub fn fell_behind(&self, target: Option<ClassTarget>) -> bool {
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
