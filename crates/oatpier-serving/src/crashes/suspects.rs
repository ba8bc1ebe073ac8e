//! Table of requests that were running at endpoints when those crashed, and of the requests that are barred.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::{CrashRecord, CrashSite, RequestOrigin};
use crate::fingerprint::RequestFingerprint;

/// Number of crashes, with no complete answer in between, that bar a request. Two may be coincidence: an endpoint that
/// crashes for another reason interrupts dozens of requests, and their callers may send all of them again at once. From
/// the third crash on, each retry costs an endpoint and all requests that it runs.
pub const CRASHES_TO_BAR: usize = 3;

/// How long a request that is not barred remains a suspect after its last crash. Callers retry within seconds to
/// minutes. A request that is sent every quarter of an hour must not count as new each time.
pub const SUSPECT_TTL: Duration = Duration::from_hours(1);

/// How long a request is barred before it may run once more. If it was barred wrongly, the first complete answer clears
/// it. Otherwise the run costs one more endpoint, and the request stays barred until an operator clears it.
pub const BAR_DURATION: Duration = Duration::from_mins(10);

/// Maximum number of crashes that are kept for one request. A barred request gets at most one or two more than those
/// that barred it.
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// Maximum number of suspects. A crash of one of the largest engines creates 64. At 200 bytes each, the table takes 0.2
/// MB. Above the limit, the workspace with the most suspects loses its least certain one.
pub const MAX_SUSPECTS: usize = 1_024;

/// Decision whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request may be sent.
    Allowed,
    /// The request must wait until the outcome of its active runs and broken attempts is known. Together with them, it
    /// might crash more endpoints than allowed.
    Deferred,
    /// The request is not sent any more.
    Barred,
}

/// Crash as known to one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownCrash {
    site: CrashSite,
    seen_ms: u64,
    /// Whether the store has listed the crash. Only a crash that was listed and is missing now has been cleared.
    is_stored: bool,
}

/// Request that was running at endpoints when those crashed.
#[derive(Debug, Clone)]
struct Suspect {
    origin: RequestOrigin,
    crashes: SmallVec<[KnownCrash; 4]>,
    /// Time at which the last crash became known.
    seen_at: ClockTime,
    /// Time at which the crash that barred the request became known.
    barred_at: Option<ClockTime>,
}

impl Suspect {
    fn records(&self, fingerprint: RequestFingerprint) -> Vec<CrashRecord> {
        let crashes = self.crashes.iter().map(|crash| CrashRecord {
            fingerprint,
            origin: self.origin.clone(),
            site: crash.site.clone(),
            seen_ms: crash.seen_ms,
        });
        crashes.collect()
    }

    /// Returns the number of crashes at which the request is barred. Once the bar has lasted for [`BAR_DURATION`], one
    /// more run is allowed, and the next crash bars the request again.
    fn crashes_allowed(&self, now: ClockTime) -> usize {
        let is_due = |at: ClockTime| now.since(at) >= BAR_DURATION;
        CRASHES_TO_BAR + usize::from(self.barred_at.is_some_and(is_due))
    }

    fn is_barred(&self, now: ClockTime) -> bool {
        self.crashes.len() >= self.crashes_allowed(now)
    }

    /// Returns a sort key. Suspects with the fewest crashes are evicted first, and among those the oldest. Barred
    /// requests are evicted last.
    fn certainty(&self) -> (usize, ClockTime) {
        (self.crashes.len(), self.seen_at)
    }
}

/// Status of a suspect, for log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Number of crashes at which the request was running.
    pub crashes: usize,
    /// Whether the request is not sent any more.
    pub is_barred: bool,
}

/// Suspects, which are requests that were running at endpoints when those crashed.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// Number of active runs of each request at this gateway.
    running: HashMap<RequestFingerprint, usize>,
    /// Crashes of suspects evicted since the last call of [`Self::take_evicted`].
    evicted: Vec<CrashRecord>,
}

impl SuspectTable {
    /// Decides whether a request may be sent that has `open` broken attempts with an unknown outcome.
    ///
    /// Active runs of a suspect count as crashes. Otherwise the same request, sent several times at once, could crash
    /// one endpoint for each time.
    #[must_use]
    pub fn evaluate(
        &self,
        fingerprint: &RequestFingerprint,
        open: usize,
        now: ClockTime,
    ) -> SuspectVerdict {
        let suspect = self.suspects.get(fingerprint);
        if suspect.is_some_and(|suspect| suspect.is_barred(now)) {
            return SuspectVerdict::Barred;
        }
        let crashes = suspect.map_or(0, |suspect| suspect.crashes.len());
        if crashes + open == 0 {
            return SuspectVerdict::Allowed;
        }
        let allowed = suspect.map_or(CRASHES_TO_BAR, |suspect| suspect.crashes_allowed(now));
        let running = self.running.get(fingerprint).copied().unwrap_or(0);
        if crashes + open + running >= allowed {
            SuspectVerdict::Deferred
        } else {
            SuspectVerdict::Allowed
        }
    }

    /// Records the start of a run.
    pub fn begin_run(&mut self, fingerprint: RequestFingerprint) {
        *self.running.entry(fingerprint).or_default() += 1;
    }

    /// Records the end of a run.
    pub fn end_run(&mut self, fingerprint: &RequestFingerprint) {
        let Some(running) = self.running.get_mut(fingerprint) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(fingerprint);
        }
    }

    /// Records that a request was running at an endpoint when that crashed. Returns `None` if the crash was known.
    pub fn note_crash(&mut self, record: &CrashRecord, now: ClockTime) -> Option<SuspectStatus> {
        self.insert(record, false, now)
    }

    fn insert(
        &mut self,
        record: &CrashRecord,
        is_stored: bool,
        now: ClockTime,
    ) -> Option<SuspectStatus> {
        let suspect = self
            .suspects
            .entry(record.fingerprint)
            .or_insert_with(|| Suspect {
                origin: record.origin.clone(),
                crashes: SmallVec::new(),
                seen_at: now,
                barred_at: None,
            });
        let known = suspect
            .crashes
            .iter_mut()
            .find(|crash| crash.site == record.site);
        if let Some(known) = known {
            known.is_stored |= is_stored;
            return None;
        }
        if suspect.crashes.len() >= MAX_CRASHES_PER_REQUEST {
            return None;
        }
        suspect.crashes.push(KnownCrash {
            site: record.site.clone(),
            seen_ms: record.seen_ms,
            is_stored,
        });
        suspect.seen_at = now;
        if suspect.crashes.len() == CRASHES_TO_BAR {
            suspect.barred_at = Some(now);
        }
        let status = SuspectStatus {
            crashes: suspect.crashes.len(),
            is_barred: suspect.is_barred(now),
        };
        self.evict_excess(&record.fingerprint);
        Some(status)
    }

    /// Applies the list of crashes in the store. Crashes that were listed before and are missing now have been cleared.
    pub fn apply_stored(&mut self, listed: &[CrashRecord], now: ClockTime) {
        for record in listed {
            self.insert(record, true, now);
        }
        let present: HashSet<(RequestFingerprint, &CrashSite)> = listed
            .iter()
            .map(|record| (record.fingerprint, &record.site))
            .collect();
        self.suspects.retain(|fingerprint, suspect| {
            suspect
                .crashes
                .retain(|crash| !crash.is_stored || present.contains(&(*fingerprint, &crash.site)));
            !suspect.crashes.is_empty()
        });
    }

    /// Applies the list of crashes after the store was restored from an older copy. Crashes that were listed before and
    /// are missing now may have been lost and not cleared. They remain valid here, and are returned so that they can be
    /// written again.
    ///
    /// If they were treated as cleared, all gateways would stop barring the requests at once, and the requests could
    /// crash endpoints again. A request that an operator cleared just before is barred again until it is cleared once
    /// more.
    pub fn apply_restored(&mut self, listed: &[CrashRecord], now: ClockTime) -> Vec<CrashRecord> {
        let mut lost = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let is_lost = |crash: &&mut KnownCrash| {
                let is_listed = listed
                    .iter()
                    .any(|record| record.fingerprint == *fingerprint && record.site == crash.site);
                crash.is_stored && !is_listed
            };
            for crash in suspect.crashes.iter_mut().filter(is_lost) {
                crash.is_stored = false;
                lost.push(CrashRecord {
                    fingerprint: *fingerprint,
                    origin: suspect.origin.clone(),
                    site: crash.site.clone(),
                    seen_ms: crash.seen_ms,
                });
            }
        }
        self.apply_stored(listed, now);
        lost
    }

    /// Clears a request that was answered completely, and returns its crashes.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> Vec<CrashRecord> {
        let suspect = self.suspects.remove(fingerprint);
        suspect.map_or_else(Vec::new, |suspect| suspect.records(*fingerprint))
    }

    /// Removes expired suspects, and returns their crashes. Barred requests stay.
    pub fn expire(&mut self, now: ClockTime) -> Vec<CrashRecord> {
        let is_old = |suspect: &Suspect| {
            suspect.crashes.len() < CRASHES_TO_BAR && now.since(suspect.seen_at) >= SUSPECT_TTL
        };
        let old: Vec<RequestFingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_old(suspect))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        old.iter()
            .flat_map(|fingerprint| self.clear(fingerprint))
            .collect()
    }

    /// Evicts the least certain suspect of the workspace with the most suspects if the table is too large. Many
    /// requests of one workspace therefore evict only suspects of the same workspace.
    fn evict_excess(&mut self, newest: &RequestFingerprint) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.origin.owner()).or_default() += 1;
        }
        let largest = counts
            .into_iter()
            .max_by_key(|(owner, count)| (*count, *owner));
        let Some((owner, _)) = largest else {
            return;
        };
        let victim = self
            .suspects
            .iter()
            .filter(|(fingerprint, suspect)| {
                suspect.origin.owner() == owner && *fingerprint != newest
            })
            .min_by_key(|(fingerprint, suspect)| (suspect.certainty(), **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(victim) = victim {
            let records = self.clear(&victim);
            self.evicted.extend(records);
        }
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of barred requests.
    #[must_use]
    pub fn barred(&self, now: ClockTime) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_barred(now)).count()
    }

    /// Returns and removes the crashes of suspects that were evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.evicted)
    }
}
