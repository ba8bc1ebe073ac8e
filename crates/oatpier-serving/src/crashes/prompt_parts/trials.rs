//! Trials: requests with a barred part that are sent to find out whether the part still crashes endpoints.
//!
//! A part may have been barred because endpoints crashed for other reasons, or engines may have been updated. Of several
//! parts that were at the same crashes, requests with only some show which one is the cause. Each trial may cost an
//! endpoint. Therefore one of the live gateways grants all trials, and grants one at a time for each part.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::call::PromptPartId;

/// Pause between the last crash under a barred part and the next trial, by the number of trials before. After the last
/// one the part stays barred until an operator lifts the bar.
pub const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_mins(5)];

/// Pause after the first contested request with a part. It is multiplied after each further one.
const CONTEST_PAUSE: Duration = Duration::from_secs(1);

/// Factor by which that pause grows, and the number of times that it does.
const CONTEST_FACTOR: u32 = 8;
const MAX_CONTEST_STEPS: u32 = 4;

/// Time for the outcome of a trial to become known. After it the next trial may be granted.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Send of a request although its prompt contains parts that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartTrial {
    /// The part that is tried.
    pub part: PromptPartId,
    /// All parts of the prompt that were at several successive crashes, including this one.
    pub parts: SmallVec<[PromptPartId; 2]>,
    /// Whether it is not known yet which of several parts is the cause. Such a trial is due as soon as no other one is
    /// open.
    pub is_contested: bool,
}

/// Trials with one part that this gateway has granted.
#[derive(Debug, Clone, Copy, Default)]
struct GrantState {
    /// When a trial was granted whose outcome is not known yet.
    open_since: Option<ClockTime>,
    /// When the next contested request may be sent.
    contested_at: ClockTime,
    /// Number of contested requests so far.
    contested: u32,
}

impl GrantState {
    fn allows(&self, trial: &PartTrial, now: ClockTime) -> bool {
        let is_open = |since: ClockTime| now.since(since) < TRIAL_TIMEOUT;
        let is_due = !trial.is_contested || now >= self.contested_at;
        is_due && !self.open_since.is_some_and(is_open)
    }

    fn note(&mut self, trial: &PartTrial, now: ClockTime) {
        self.open_since = Some(now);
        if trial.is_contested {
            self.contested_at = now + contest_pause(self.contested);
            self.contested += 1;
        }
    }
}

/// Trials that this gateway has granted.
#[derive(Debug, Default)]
pub struct TrialGrants {
    granted: HashMap<PromptPartId, GrantState>,
}

impl TrialGrants {
    /// Grants a trial, unless one with the same part is open. Contested requests are spaced more and more, because reports
    /// of the crashes that they cause may be lost.
    pub fn grant(&mut self, trial: &PartTrial, now: ClockTime) -> bool {
        let state_of = |part| self.granted.get(part).copied().unwrap_or_default();
        let mut parts = trial.parts.iter();
        let is_allowed = parts.all(|part| state_of(part).allows(trial, now));
        if is_allowed {
            for part in &trial.parts {
                self.granted.entry(*part).or_default().note(trial, now);
            }
        }
        is_allowed
    }

    /// Records that the outcome of a part's trial is known.
    pub fn end(&mut self, part: PromptPartId) {
        if let Some(state) = self.granted.get_mut(&part) {
            state.open_since = None;
        }
    }

    /// Removes the trials of parts that are not suspected any more.
    pub fn retain(&mut self, is_suspected: impl Fn(PromptPartId) -> bool) {
        self.granted.retain(|part, _| is_suspected(*part));
    }
}

/// Returns the pause after a contested request, by the number of those before it.
pub(super) fn contest_pause(before: u32) -> Duration {
    CONTEST_PAUSE * CONTEST_FACTOR.saturating_pow(before.min(MAX_CONTEST_STEPS))
}

/// Returns the gateway that grants trials.
#[must_use]
pub fn granting_gateway(gateways: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    gateways.max_by_key(|gateway| (xxh3_64(gateway.to_string().as_bytes()), *gateway))
}
