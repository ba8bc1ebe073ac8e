//! Attempts whose connection broke, tracked until it is known whether their endpoint crashed.
//!
//! A connection also breaks if an endpoint sends a malformed response, a link fails or a VM loses its connections. None
//! of these is caused by the request. A broken attempt therefore counts only once the endpoint is known to have ended.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;

use super::{CrashRecord, CrashSite, RequestOrigin};
use crate::fingerprint::RequestFingerprint;

/// How long a broken attempt waits for the state of its endpoint. The registry drops an endpoint after three missed
/// heartbeats, which are about 1.2 s apart, and is read every one or two seconds. If the state is still unknown then,
/// no crash is counted, because a request must not be rejected without evidence.
const BROKEN_ATTEMPT_TTL: Duration = Duration::from_secs(8);

/// Maximum number of broken attempts that are tracked. A gateway has a few hundred requests at endpoints. Above the
/// limit, the oldest ones are dropped.
const MAX_BROKEN_ATTEMPTS: usize = 1_024;

/// State of an endpoint after the connection to it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The incarnation ended, or another one has its address.
    Ended,
    /// The same incarnation is still running.
    Alive,
    /// Nothing has been received since.
    Unknown,
}

/// Attempt whose connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Owner of the request.
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

/// Broken attempts whose endpoint state is not known yet.
#[derive(Debug, Default)]
pub struct AttemptWatch {
    attempts: Vec<BrokenAttempt>,
}

impl AttemptWatch {
    /// Adds a broken attempt.
    pub fn add(&mut self, attempt: BrokenAttempt) {
        if self.attempts.len() >= MAX_BROKEN_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(attempt);
    }

    /// Returns whether there are no broken attempts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of broken attempts of a request that may still count as crashes.
    #[must_use]
    pub fn count_unresolved(&self, fingerprint: &RequestFingerprint) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|attempt| attempt.fingerprint == *fingerprint)
            .count()
    }

    /// Checks the endpoint of each broken attempt with `find_outcome`. Returns the crashes that are now certain.
    pub fn resolve(
        &mut self,
        now: ClockTime,
        find_outcome: impl Fn(&BrokenAttempt) -> EndpointOutcome,
    ) -> Vec<CrashRecord> {
        let mut crashes = Vec::new();
        self.attempts.retain(|attempt| match find_outcome(attempt) {
            EndpointOutcome::Ended => {
                crashes.push(attempt.to_crash_record());
                false
            }
            EndpointOutcome::Alive => false,
            EndpointOutcome::Unknown => now.since(attempt.at) < BROKEN_ATTEMPT_TTL,
        });
        crashes
    }
}

impl BrokenAttempt {
    fn to_crash_record(&self) -> CrashRecord {
        CrashRecord {
            fingerprint: self.fingerprint,
            origin: self.origin.clone(),
            site: self.site.clone(),
            seen_ms: self.seen_ms,
        }
    }
}
