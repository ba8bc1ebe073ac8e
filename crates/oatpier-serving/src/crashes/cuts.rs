//! Attempts that were cut off, until it is known whether their endpoint ended.
//!
//! A connection also breaks where an endpoint spoils an answer, a link is cut or a VM loses its connections. None
//! of these is the request's doing, so a cut counts only once the endpoint is known to have ended.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;

use super::{CrashRecord, CrashSite, RequestOrigin};
use crate::fingerprint::RequestFingerprint;

/// How long a cut waits for word of its endpoint. The registry drops an endpoint after three heartbeats of
/// silence, at some 1.2 s each, and is read each second or two. What nobody can tell by then counts as no crash:
/// a request must not be turned away on a guess.
const CUT_LIFE: Duration = Duration::from_secs(8);

/// Cuts that are watched. A gateway has some hundred requests at endpoints; beyond this the oldest are dropped.
const MOST_CUTS: usize = 1_024;

/// What became of an endpoint after a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFate {
    /// It ended, or another one has its place.
    Ended,
    /// The same start goes on.
    Alive,
    /// Nothing was heard since.
    Unknown,
}

/// An attempt that was cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CutAttempt {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub origin: RequestOrigin,
    /// Where it was.
    pub site: CrashSite,
    /// The place of that start in the directory.
    pub index: EndpointIndex,
    /// When it was cut.
    pub at: ClockTime,
    /// The same by the time of day, in milliseconds since 1970.
    pub seen_ms: u64,
}

/// Cuts whose endpoints have yet to be heard of.
#[derive(Debug, Default)]
pub struct CutWatch {
    cuts: Vec<CutAttempt>,
}

impl CutWatch {
    /// An attempt was cut off.
    pub fn note(&mut self, cut: CutAttempt) {
        if self.cuts.len() >= MOST_CUTS {
            self.cuts.remove(0);
        }
        self.cuts.push(cut);
    }

    /// Whether any cut waits for word.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cuts.is_empty()
    }

    /// Cuts of a request that may still turn out as crashes.
    #[must_use]
    pub fn open(&self, fingerprint: &RequestFingerprint) -> usize {
        let own = self.cuts.iter();
        own.filter(|cut| cut.fingerprint == *fingerprint).count()
    }

    /// Asks what became of each endpoint, and gives back the crashes that are certain now.
    pub fn settle(
        &mut self,
        now: ClockTime,
        fate: impl Fn(&CutAttempt) -> EndpointFate,
    ) -> Vec<CrashRecord> {
        let mut crashes = Vec::new();
        self.cuts.retain(|cut| match fate(cut) {
            EndpointFate::Ended => {
                crashes.push(cut.crash());
                false
            }
            EndpointFate::Alive => false,
            EndpointFate::Unknown => now.since(cut.at) < CUT_LIFE,
        });
        crashes
    }
}

impl CutAttempt {
    fn crash(&self) -> CrashRecord {
        CrashRecord {
            fingerprint: self.fingerprint,
            origin: self.origin.clone(),
            site: self.site.clone(),
            seen_ms: self.seen_ms,
        }
    }
}
