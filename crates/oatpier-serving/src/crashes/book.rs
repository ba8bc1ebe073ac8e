//! Which requests were at endpoints that ended, and which are not sent any more.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::{CrashRecord, CrashSite, RequestOrigin};
use crate::fingerprint::RequestFingerprint;

/// Ends of endpoints, with no whole answer between, that bar a request. Two may be chance: an endpoint that ends
/// for another reason takes dozens of requests along, and their callers may send them again at once. At three,
/// each further return costs an endpoint and all that it runs.
pub const MOST_CRASHES: usize = 3;

/// How long a request that is not barred stays under suspicion after its last crash. Callers come back within
/// seconds to minutes; one that is sent every quarter of an hour must not count as new each time.
pub const SUSPECT_LIFE: Duration = Duration::from_hours(1);

/// How long a request is barred before it may run once more. A wrong verdict then ends with its first whole answer.
/// A right one costs one endpoint more, and holds until an operator lifts it.
pub const BAR_LIFE: Duration = Duration::from_mins(10);

/// Crashes that are kept of one request. A barred one gets no more than one or two beyond those that barred it.
const MOST_SITES: usize = 8;

/// Requests under suspicion that are kept. A crash of the largest engines leaves 64; at 200 bytes each this is
/// 0.2 MB. Beyond it the workspace with the most of them loses its least certain one.
pub const MOST_SUSPECTS: usize = 1_024;

/// What is to be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It may be sent.
    Clear,
    /// It may not be sent until its runs and cuts that are open have turned out: with them it might end one
    /// endpoint too many.
    Held,
    /// It is not sent any more.
    Barred,
}

/// A crash as one gateway knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownCrash {
    site: CrashSite,
    seen_ms: u64,
    /// Whether the store has listed it. Only what was listed and is not any more was lifted or cleared.
    is_stored: bool,
}

/// A request that was at endpoints that ended.
#[derive(Debug, Clone)]
struct Suspect {
    origin: RequestOrigin,
    crashes: SmallVec<[KnownCrash; 4]>,
    /// When the last crash was heard of.
    seen_at: ClockTime,
    /// When the crash was heard of that barred it.
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

    /// One more run is allowed once the bar is old enough; the crash that follows is one more than that allows.
    fn crashes_allowed(&self, now: ClockTime) -> usize {
        let is_due = |at: ClockTime| now.since(at) >= BAR_LIFE;
        MOST_CRASHES + usize::from(self.barred_at.is_some_and(is_due))
    }

    fn is_barred(&self, now: ClockTime) -> bool {
        self.crashes.len() >= self.crashes_allowed(now)
    }

    /// What is certain goes last: barred requests, then those with more crashes, then the latest.
    fn certainty(&self) -> (usize, ClockTime) {
        (self.crashes.len(), self.seen_at)
    }
}

/// A request under suspicion, for whoever reads about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectStanding {
    /// Ends of endpoints that it was at.
    pub crashes: usize,
    /// Whether it is not sent any more.
    pub is_barred: bool,
}

/// The requests under suspicion.
#[derive(Debug, Default)]
pub struct CrashBook {
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// Runs of each request that are under way here.
    running: HashMap<RequestFingerprint, usize>,
    /// What was pushed out for want of room since it was last asked for.
    pushed_out: Vec<CrashRecord>,
}

impl CrashBook {
    /// What is to be done with a request of which `open` cuts have yet to turn out.
    ///
    /// Runs of a suspect that are under way count as crashes to come: the same request, sent several times at once,
    /// would otherwise take one endpoint for each time.
    #[must_use]
    pub fn judge(
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
            return SuspectVerdict::Clear;
        }
        let allowed = suspect.map_or(MOST_CRASHES, |suspect| suspect.crashes_allowed(now));
        let running = self.running.get(fingerprint).copied().unwrap_or(0);
        if crashes + open + running >= allowed {
            SuspectVerdict::Held
        } else {
            SuspectVerdict::Clear
        }
    }

    /// A run begins.
    pub fn begin(&mut self, fingerprint: RequestFingerprint) {
        *self.running.entry(fingerprint).or_default() += 1;
    }

    /// A run is over.
    pub fn end(&mut self, fingerprint: &RequestFingerprint) {
        let Some(running) = self.running.get_mut(fingerprint) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(fingerprint);
        }
    }

    /// A request was at an endpoint that ended. None if that was known.
    pub fn note_crash(&mut self, record: &CrashRecord, now: ClockTime) -> Option<SuspectStanding> {
        self.insert(record, false, now)
    }

    fn insert(
        &mut self,
        record: &CrashRecord,
        is_stored: bool,
        now: ClockTime,
    ) -> Option<SuspectStanding> {
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
        if suspect.crashes.len() >= MOST_SITES {
            return None;
        }
        suspect.crashes.push(KnownCrash {
            site: record.site.clone(),
            seen_ms: record.seen_ms,
            is_stored,
        });
        suspect.seen_at = now;
        if suspect.crashes.len() == MOST_CRASHES {
            suspect.barred_at = Some(now);
        }
        let standing = SuspectStanding {
            crashes: suspect.crashes.len(),
            is_barred: suspect.is_barred(now),
        };
        self.keep_bound(&record.fingerprint);
        Some(standing)
    }

    /// The store lists these. What it listed before and does not any more was lifted or cleared.
    pub fn take_stored(&mut self, listed: &[CrashRecord], now: ClockTime) {
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

    /// The store came back from an older copy and lists these. What it listed before and does not any more may have
    /// been lost and not lifted: it still holds here, and is given back to be written again.
    ///
    /// Taken for lifted, bars would end at all gateways at once, and the fleet would be open to the requests that
    /// end its endpoints. A request that was really lifted a moment before is barred again until it is lifted anew.
    pub fn take_returned(&mut self, listed: &[CrashRecord], now: ClockTime) -> Vec<CrashRecord> {
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
        self.take_stored(listed, now);
        lost
    }

    /// A request was answered whole, which clears it. Gives back what was known against it.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> Vec<CrashRecord> {
        let suspect = self.suspects.remove(fingerprint);
        suspect.map_or_else(Vec::new, |suspect| suspect.records(*fingerprint))
    }

    /// Drops suspicions that are old, and gives back what they held. Barred requests stay.
    pub fn expire(&mut self, now: ClockTime) -> Vec<CrashRecord> {
        let is_old = |suspect: &Suspect| {
            suspect.crashes.len() < MOST_CRASHES && now.since(suspect.seen_at) >= SUSPECT_LIFE
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

    /// Of the workspace with the most suspects the least certain one goes, so that a flood of one workspace's
    /// requests pushes out none but its own.
    fn keep_bound(&mut self, newest: &RequestFingerprint) {
        if self.suspects.len() <= MOST_SUSPECTS {
            return;
        }
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.origin.owner()).or_default() += 1;
        }
        let most = counts
            .into_iter()
            .max_by_key(|(owner, count)| (*count, *owner));
        let Some((owner, _)) = most else {
            return;
        };
        let least = self
            .suspects
            .iter()
            .filter(|(fingerprint, suspect)| {
                suspect.origin.owner() == owner && *fingerprint != newest
            })
            .min_by_key(|(fingerprint, suspect)| (suspect.certainty(), **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            let records = self.clear(&least);
            self.pushed_out.extend(records);
        }
    }

    /// Requests under suspicion.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Requests that are not sent any more.
    #[must_use]
    pub fn barred(&self, now: ClockTime) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_barred(now)).count()
    }

    /// What was pushed out for want of room since the last call.
    pub fn take_pushed_out(&mut self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.pushed_out)
    }
}
