//! Table of suspected prompt parts with their crashes, and of the requests that are barred.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::suspect::{CRASHES_TO_BAR, CrashStatus, PartSuspect};
use super::trials::PartTrial;
use super::{BarredPart, PartCrash, PartVerdict};
use crate::call::PromptPartId;
use crate::crashes::CrashSite;

/// Number of times that the pause before a trial is doubled for each other suspected part of the request, and for each other
/// barred one. The fewer there are, the more the outcome says about the part that is tried.
const SUSPECT_DOUBLINGS: u32 = 2;
const BARRED_DOUBLINGS: u32 = 3;

/// How long a part that is not barred remains a suspect after its last crash.
const SUSPECT_TTL: Duration = Duration::from_hours(1);

/// Maximum number of suspects. Above the limit, the owner with the most suspects loses its least certain one.
pub const MAX_SUSPECTS: usize = 512;

/// Status of a suspected part, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartStatus {
    /// Number of successive crashes.
    pub crashes: u32,
    /// Whether requests with the part are barred.
    pub is_barred: bool,
}

/// Suspected parts.
#[derive(Debug, Default)]
pub struct PartTable {
    suspects: HashMap<PromptPartId, PartSuspect>,
    /// Crashes of suspects evicted since the last call of [`Self::take_evicted`].
    evicted: Vec<PartCrash>,
}

impl PartTable {
    /// Decides whether a request may be sent whose prompt has these shared parts.
    #[must_use]
    pub fn evaluate(&self, parts: &[PromptPartId], now: ClockTime) -> PartVerdict {
        if self.suspects.is_empty() {
            return PartVerdict::Allowed;
        }
        let own = || {
            let found = |part: &PromptPartId| Some((*part, self.suspects.get(part)?));
            parts.iter().filter_map(found)
        };
        if let Some(barred) = self.find_barring(parts, now) {
            return PartVerdict::Barred(barred);
        }
        let open =
            own().find(|(part, suspect)| self.is_implicated(*part, suspect.suspected(), parts));
        if let Some((part, _)) = open {
            return PartVerdict::Deferred(part);
        }
        let contested = self.known_parts(parts);
        if let Some(part) = contested.first().copied() {
            return PartVerdict::Contested(PartTrial {
                part,
                parts: contested,
                is_contested: true,
            });
        }
        if own().any(|(_, suspect)| suspect.tests > 0) {
            return PartVerdict::Testing;
        }
        PartVerdict::Allowed
    }

    /// Returns the parts of a prompt that were at enough successive crashes to be barred.
    fn known_parts(&self, parts: &[PromptPartId]) -> SmallVec<[PromptPartId; 2]> {
        let is_known = |part: &&PromptPartId| {
            let suspect = self.suspects.get(part);
            suspect.is_some_and(PartSuspect::is_barred)
        };
        parts.iter().filter(is_known).copied().collect()
    }

    /// Returns the part that bars a request: the one with the most crashes.
    fn find_barring(&self, parts: &[PromptPartId], now: ClockTime) -> Option<BarredPart> {
        let own = || {
            let found = |part: &PromptPartId| Some((*part, self.suspects.get(part)?));
            parts.iter().filter_map(found)
        };
        let (part, suspect) = own()
            .filter(|(part, suspect)| self.is_implicated(*part, suspect.known(), parts))
            .max_by_key(|(part, suspect)| (suspect.crashes.len(), *part))?;
        let is_other = |other: &PartSuspect| !other.covers(suspect) || !suspect.covers(other);
        let doublings = own()
            .filter(|(_, other)| is_other(other))
            .map(|(_, other)| {
                if other.is_barred() {
                    BARRED_DOUBLINGS
                } else {
                    SUSPECT_DOUBLINGS
                }
            })
            .sum();
        let is_trial_due = suspect.is_trial_due(doublings, now);
        Some(BarredPart {
            part,
            crashes: suspect.known(),
            trial: is_trial_due.then(|| PartTrial {
                part,
                parts: self.known_parts(parts),
                is_contested: false,
            }),
        })
    }

    /// Returns whether a prompt crashes endpoints in all likelihood, because of one of its parts with this number of
    /// successive crashes.
    fn is_implicated(&self, part: PromptPartId, crashes: u32, parts: &[PromptPartId]) -> bool {
        let Some(suspect) = self.suspects.get(&part) else {
            return false;
        };
        let has_companions = || self.has_companions(part, suspect, parts);
        let is_explained = || self.known_parts(parts).len() == 1 && self.is_explained(suspect);
        crashes >= CRASHES_TO_BAR && has_companions() && !is_explained()
    }

    /// Returns whether a prompt contains all suspects that were at all crashes of one of its parts. A prompt without one
    /// of them may be sound: its outcome shows which of them is the cause.
    fn has_companions(
        &self,
        part: PromptPartId,
        suspect: &PartSuspect,
        parts: &[PromptPartId],
    ) -> bool {
        let mut others = self.suspects.iter();
        others.all(|(other, companion)| {
            *other == part || parts.contains(other) || !companion.covers(suspect)
        })
    }

    /// Returns whether a barred part was at each crash of a part, and none at all of them. A part that many requests share
    /// is at the crashes of several others, and is itself sound.
    fn is_explained(&self, suspect: &PartSuspect) -> bool {
        let causes: SmallVec<[&PartSuspect; 4]> = self
            .suspects
            .values()
            .filter(|other| other.is_barred() && !other.covers(suspect))
            .collect();
        let mut crashes = suspect.known_crashes();
        crashes.all(|crash| causes.iter().any(|cause| cause.was_at(&crash.site)))
    }

    /// Returns the number of successive crashes under a part, including those that are not certain.
    #[must_use]
    pub fn suspected(&self, part: PromptPartId) -> u32 {
        let suspect = self.suspects.get(&part);
        suspect.map_or(0, PartSuspect::suspected)
    }

    /// Returns whether a trial of a part is due that is barred by itself.
    #[must_use]
    pub fn is_trial_due(&self, part: PromptPartId, now: ClockTime) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|suspect| suspect.is_barred() && suspect.is_trial_due(0, now))
    }

    /// Returns whether a contested request with these parts may be sent.
    #[must_use]
    pub fn is_contest_due(&self, parts: &[PromptPartId], now: ClockTime) -> bool {
        let mut suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        suspects.all(|suspect| suspect.is_contest_due(now))
    }

    /// Records that an attempt with a suspected part is sent.
    pub fn begin_test(&mut self, part: PromptPartId) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.tests += 1;
        }
    }

    /// Records that the response of such an attempt has progressed, or that the attempt has ended.
    pub fn end_test(&mut self, part: PromptPartId) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.tests = suspect.tests.saturating_sub(1);
        }
    }

    /// Records that an attempt broke at an endpoint that may have crashed.
    pub fn note_open(&mut self, crash: &PartCrash, now: ClockTime) {
        self.insert(crash, CrashStatus::Open, now);
    }

    /// Removes a break whose endpoint has not crashed.
    pub fn remove_open(&mut self, part: PromptPartId, site: &CrashSite) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        suspect
            .crashes
            .retain(|crash| crash.status != CrashStatus::Open || crash.site != *site);
        if suspect.crashes.is_empty() {
            self.suspects.remove(&part);
        }
    }

    /// Records a crash. Returns `None` if it was known.
    pub fn note_crash(&mut self, crash: &PartCrash, now: ClockTime) -> Option<PartStatus> {
        let is_new = self.insert(crash, CrashStatus::Known, now);
        let suspect = self.suspects.get(&crash.part).filter(|_| is_new)?;
        Some(PartStatus {
            crashes: suspect.known(),
            is_barred: suspect.is_barred(),
        })
    }

    /// Adds a crash of a part. Returns whether it was not known.
    fn insert(&mut self, crash: &PartCrash, status: CrashStatus, now: ClockTime) -> bool {
        let suspect = self
            .suspects
            .entry(crash.part)
            .or_insert_with(|| PartSuspect {
                origin: crash.origin.clone(),
                crashes: SmallVec::new(),
                seen_at: now,
                tests: 0,
            });
        let is_new = suspect.add(crash, status);
        if is_new {
            suspect.seen_at = now;
        }
        self.evict_excess(crash.part);
        is_new
    }

    /// Applies the list of crashes in the store. Crashes that were listed before and are missing now have been cleared.
    pub fn apply_stored(&mut self, listed: &[PartCrash], now: ClockTime) {
        for crash in listed {
            self.insert(crash, CrashStatus::Stored, now);
        }
        let present: HashSet<(PromptPartId, &CrashSite)> = listed
            .iter()
            .map(|crash| (crash.part, &crash.site))
            .collect();
        self.suspects.retain(|part, suspect| {
            suspect.crashes.retain(|crash| {
                crash.status != CrashStatus::Stored || present.contains(&(*part, &crash.site))
            });
            !suspect.crashes.is_empty()
        });
    }

    /// Applies the list of crashes after the store was restored from an older copy. Crashes that were listed before and
    /// are missing now remain valid, and are returned so that they can be written again.
    pub fn apply_restored(&mut self, listed: &[PartCrash], now: ClockTime) -> Vec<PartCrash> {
        let present: HashSet<(PromptPartId, &CrashSite)> = listed
            .iter()
            .map(|crash| (crash.part, &crash.site))
            .collect();
        let mut lost = Vec::new();
        for (part, suspect) in &mut self.suspects {
            for crash in &mut suspect.crashes {
                let is_present = present.contains(&(*part, &crash.site));
                if crash.status != CrashStatus::Stored || is_present {
                    continue;
                }
                crash.status = CrashStatus::Known;
                lost.push(crash.record(*part, &suspect.origin));
            }
        }
        self.apply_stored(listed, now);
        lost
    }

    /// Clears a part, and returns its known crashes.
    pub fn clear(&mut self, part: PromptPartId) -> Vec<PartCrash> {
        let suspect = self.suspects.remove(&part);
        suspect.map_or_else(Vec::new, |suspect| suspect.records(part))
    }

    /// Removes expired suspects, and returns their crashes. Barred parts stay.
    pub fn expire(&mut self, now: ClockTime) -> Vec<PartCrash> {
        let old: Vec<PromptPartId> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| {
                !suspect.is_barred() && now.since(suspect.seen_at) >= SUSPECT_TTL
            })
            .map(|(part, _)| *part)
            .collect();
        old.iter().flat_map(|part| self.clear(*part)).collect()
    }

    fn evict_excess(&mut self, newest: PromptPartId) {
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
            .filter(|(part, suspect)| suspect.origin.owner() == owner && **part != newest)
            .min_by_key(|(part, suspect)| (suspect.suspected(), suspect.seen_at, **part))
            .map(|(part, _)| *part);
        if let Some(victim) = victim {
            let crashes = self.clear(victim);
            self.evicted.extend(crashes);
        }
    }

    /// Returns whether a part is suspected.
    #[must_use]
    pub fn contains(&self, part: PromptPartId) -> bool {
        self.suspects.contains_key(&part)
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of barred parts.
    #[must_use]
    pub fn barred(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_barred()).count()
    }

    /// Returns and removes the crashes of suspects that were evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<PartCrash> {
        std::mem::take(&mut self.evicted)
    }
}
