//! Attempts that broke before their response progressed, kept until it is known whether their endpoint crashed.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::{PartCrash, PartExposure};
use crate::crashes::{CrashSite, RequestOrigin};

/// How long a broken attempt waits for the state of its endpoint, as for whole requests.
const BROKEN_PROMPT_TTL: Duration = Duration::from_secs(8);

/// Maximum number of broken attempts that are kept. Above the limit, the oldest ones are dropped.
const MAX_BROKEN_PROMPTS: usize = 512;

/// Attempt that broke before its response progressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenPrompt {
    /// The shared parts of its prompt that may have crashed the endpoint.
    pub parts: SmallVec<[PartExposure; 4]>,
    /// Origin of the request.
    pub origin: RequestOrigin,
    /// Incarnation of the endpoint that the request was sent to.
    pub site: CrashSite,
    /// Index of that incarnation in the directory.
    pub index: EndpointIndex,
    /// Time at which the connection broke.
    pub at: ClockTime,
    /// The same time by the wall clock, in Unix milliseconds.
    pub seen_ms: u64,
}

impl BrokenPrompt {
    /// Returns the record of the crash for one of the parts.
    #[must_use]
    pub fn crash(&self, exposure: PartExposure) -> PartCrash {
        PartCrash {
            part: exposure.part,
            generation: exposure.generation,
            is_trial: exposure.is_trial,
            origin: self.origin.clone(),
            site: self.site.clone(),
            seen_ms: self.seen_ms,
        }
    }

    /// Returns whether the state of the endpoint has been unknown for too long.
    #[must_use]
    pub fn is_expired(&self, now: ClockTime) -> bool {
        now.since(self.at) >= BROKEN_PROMPT_TTL
    }
}

/// Broken attempts whose endpoint's state is not known yet.
#[derive(Debug, Default)]
pub struct PromptWatch {
    prompts: Vec<BrokenPrompt>,
}

impl PromptWatch {
    /// Adds a broken attempt. Returns one that was dropped because there are too many.
    pub fn add(&mut self, prompt: BrokenPrompt) -> Option<BrokenPrompt> {
        let is_full = self.prompts.len() >= MAX_BROKEN_PROMPTS;
        let dropped = is_full.then(|| self.prompts.remove(0));
        self.prompts.push(prompt);
        dropped
    }

    /// Returns whether there are no broken attempts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Removes and returns all broken attempts.
    pub fn take(&mut self) -> Vec<BrokenPrompt> {
        std::mem::take(&mut self.prompts)
    }

    /// Puts back a broken attempt whose endpoint's state is still unknown.
    pub fn put_back(&mut self, prompt: BrokenPrompt) {
        self.prompts.push(prompt);
    }
}
