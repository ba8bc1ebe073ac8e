//! One suspected prompt part.

use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::PartCrash;
use super::trials::{TRIAL_PAUSES, contest_pause};
use crate::call::PromptPartId;
use crate::crashes::{CrashSite, RequestOrigin};

/// Number of successive crashes that bar a part. At the second one the part was at the beginning of a response for the
/// second time in a row, and no request with it has been answered since the first.
pub const CRASHES_TO_BAR: u32 = 2;

/// Maximum number of times that the pause before a trial is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Maximum number of crashes that are kept for one part. Many are known only if many endpoints crash at once.
const MAX_CRASHES_PER_PART: usize = 32;

/// What is known of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashStatus {
    /// The attempt broke here, and it is not known yet whether its endpoint crashed.
    Open,
    /// The endpoint crashed.
    Known,
    /// The store lists the crash. Only a crash that was listed and is missing now has been cleared.
    Stored,
}

#[derive(Debug, Clone)]
pub(super) struct SuspectCrash {
    pub(super) site: CrashSite,
    pub(super) generation: u32,
    pub(super) is_trial: bool,
    pub(super) seen_ms: u64,
    pub(super) status: CrashStatus,
}

impl SuspectCrash {
    /// Returns the record of this crash under a part.
    pub(super) fn record(&self, part: PromptPartId, origin: &RequestOrigin) -> PartCrash {
        PartCrash {
            part,
            generation: self.generation,
            is_trial: self.is_trial,
            origin: origin.clone(),
            site: self.site.clone(),
            seen_ms: self.seen_ms,
        }
    }
}

#[derive(Debug, Clone)]
pub(super) struct PartSuspect {
    pub(super) origin: RequestOrigin,
    pub(super) crashes: SmallVec<[SuspectCrash; 4]>,
    /// Time at which the last crash became known.
    pub(super) seen_at: ClockTime,
    /// Number of this gateway's attempts with the part whose responses have not progressed and that were sent since the
    /// part is a suspect.
    pub(super) tests: u32,
}

impl PartSuspect {
    /// Returns the number of successive crashes that are known.
    pub(super) fn known(&self) -> u32 {
        successive_crashes(self.known_crashes().map(|crash| crash.generation))
    }

    /// Returns the number of successive crashes, including attempts whose endpoint may have crashed.
    pub(super) fn suspected(&self) -> u32 {
        successive_crashes(self.crashes.iter().map(|crash| crash.generation))
    }

    pub(super) fn known_crashes(&self) -> impl Iterator<Item = &SuspectCrash> {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.status != CrashStatus::Open)
    }

    pub(super) fn was_at(&self, site: &CrashSite) -> bool {
        self.crashes.iter().any(|crash| crash.site == *site)
    }

    pub(super) fn is_barred(&self) -> bool {
        self.known() >= CRASHES_TO_BAR
    }

    /// Returns whether the part was at all crashes of another one.
    pub(super) fn covers(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.iter();
        crashes.all(|crash| self.was_at(&crash.site))
    }

    /// Returns whether a request may be sent as a trial of the part, with a pause that is doubled this many times.
    pub(super) fn is_trial_due(&self, doublings: u32, now: ClockTime) -> bool {
        let trials = self.known_crashes().filter(|crash| crash.is_trial);
        let pause = TRIAL_PAUSES.get(trials.count());
        let factor = 1 << doublings.min(MAX_DOUBLINGS);
        pause.is_some_and(|pause| now.since(self.seen_at) >= *pause * factor)
    }

    /// Returns whether a contested request with the part may be sent. Crashes beyond those that bar the part were brought about
    /// by such requests. The pauses follow from them, so that they hold wherever the crashes are known.
    pub(super) fn is_contest_due(&self, now: ClockTime) -> bool {
        let beyond = self.known().saturating_sub(CRASHES_TO_BAR);
        let pause = beyond.checked_sub(1).map(contest_pause);
        pause.is_none_or(|pause| now.since(self.seen_at) >= pause)
    }

    /// Adds a crash, or updates what is known of it. Returns whether it is a crash that was not known.
    pub(super) fn add(&mut self, crash: &PartCrash, status: CrashStatus) -> bool {
        let same_site = |known: &&mut SuspectCrash| known.site == crash.site;
        if let Some(known) = self.crashes.iter_mut().find(same_site) {
            let was_open = known.status == CrashStatus::Open;
            known.generation = known.generation.max(crash.generation);
            if was_open || status == CrashStatus::Stored {
                known.status = status;
            }
            return was_open && status != CrashStatus::Open;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_PART {
            return false;
        }
        self.crashes.push(SuspectCrash {
            site: crash.site.clone(),
            generation: crash.generation,
            is_trial: crash.is_trial,
            seen_ms: crash.seen_ms,
            status,
        });
        status != CrashStatus::Open
    }

    pub(super) fn records(&self, part: PromptPartId) -> Vec<PartCrash> {
        let crashes = self.known_crashes();
        crashes
            .map(|crash| crash.record(part, &self.origin))
            .collect()
    }
}

/// Returns the number of successive crashes, from the generations of all. It never exceeds their number, so that a single
/// record that is left of cleared ones does not bar the part.
pub fn successive_crashes(generations: impl Iterator<Item = u32>) -> u32 {
    let (number, latest) = generations.fold((0, 0), |(number, latest), generation| {
        (number + 1, generation.max(latest))
    });
    latest.min(number)
}
