//! When a gateway reads the store, and what spares it a read.
//!
//! The load: 68 gateways that each read configuration and registry every 1.8 s made nearly 40 calls a
//! second, all of which said the same, and the thinnest of them spent a twentieth of their processor on
//! decoding it. So who has read tells the gateways of its availability zone what has changed since its last
//! read, with digests of what was there before and after. Who knows the one takes the change over, who knows the
//! other knows it already, and neither need read; anybody else reads when that is due, as without a word.
//! Nobody is elected: whoever is due first reads, and when it is gone the next one is due a moment later. A
//! bound on how late a change is seen holds for each gateway by itself, whatever it hears.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::crashes::CrashRecord;
use crate::directory::EndpointRecord;
use crate::quota::tenure::{PartEntry, StoreEra};

/// The least share of a period between two reads. Each gateway draws its own between this and the whole, so
/// that the first of a zone's dozen reads and tells before the others are due.
const LEAST_SHARE: f64 = 0.75;

/// Reads in a row that others may spare a gateway. What an engine holds is not in the digest, since sidecars
/// tell it sooner; of an engine whose sidecar is not heard it gets this old.
const MOST_SPARED: u32 = 20;

/// A digest of what lies in the store: the configuration, and who is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreDigest(pub u64);

impl StoreDigest {
    /// The digest of a configuration, by its [`config_mark`], and of the registry.
    #[must_use]
    pub fn of(config_mark: u64, endpoints: &[EndpointRecord]) -> Self {
        let mut sorted: Vec<&EndpointRecord> = endpoints.iter().collect();
        sorted.sort_by(|one, other| one.name.cmp(&other.name));
        let mut hasher = Xxh3::new();
        hasher.update(&config_mark.to_le_bytes());
        for record in sorted {
            hasher.update(digest_row(record).as_bytes());
        }
        Self(hasher.digest())
    }

    /// The digest with what lies there of our own.
    #[must_use]
    fn with(self, own: OwnDigest) -> Self {
        Self(self.0 ^ own.0)
    }
}

/// What tells one configuration from another. Not its revision: a store that came back from an older copy gives
/// revisions out again, and a gateway with the old configuration would take itself for one with the new.
#[must_use]
pub fn config_mark(value: &[u8]) -> u64 {
    xxh3_64(value)
}

/// What lies in the store that our own processes wrote, and which copy of the store it is.
#[derive(Debug, Clone, Copy)]
pub struct OwnEntries<'a> {
    /// Requests that were at endpoints that ended.
    pub crashes: &'a [CrashRecord],
    /// Who holds the parts of limits.
    pub parts: &'a [PartEntry],
    /// Which copy it is: words of another one say nothing here.
    pub era: StoreEra,
}

/// A digest of that, 0 for nothing. Words between gateways do not carry it: who knows another one reads by itself,
/// which costs each gateway a read or two after an endpoint's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct OwnDigest(u64);

impl OwnDigest {
    fn of(own: &OwnEntries<'_>) -> Self {
        let crashes = own.crashes.iter().map(digest_crash);
        let parts = own.parts.iter().map(digest_part);
        let era = (own.era != 0).then(|| xxh3_64(&own.era.to_le_bytes()));
        Self(
            crashes
                .chain(parts)
                .chain(era)
                .fold(0, |sum, row| sum ^ row),
        )
    }
}

fn digest_crash(crash: &CrashRecord) -> u64 {
    xxh3_64(format!("{}/{};", crash.fingerprint, crash.site).as_bytes())
}

/// Renewals change nothing for others, so they are left out.
fn digest_part(entry: &PartEntry) -> u64 {
    let record = &entry.record;
    xxh3_64(format!("{}={:?};", record.part, record.holder).as_bytes())
}

/// What of an endpoint goes into the digest.
fn digest_row(record: &EndpointRecord) -> String {
    let start = record.start.map(|start| start.0);
    format!(
        "{}|{start:?}|{}|{}|{}|{}|{};",
        record.name, record.service, record.address, record.zone, record.slots, record.draining,
    )
}

/// Changes of the registry that one word carries; a word is one packet. After more, as when a fleet starts, each
/// gateway reads by itself.
const MOST_CHANGES: usize = 6;

/// What a gateway has seen change in the store between two reads.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreWord {
    /// What was there before.
    pub before: StoreDigest,
    /// What is there now.
    pub now: StoreDigest,
    /// Endpoints that have appeared or changed. Empty where there were too many.
    pub changed: Vec<EndpointRecord>,
    /// Endpoints that are no longer listed.
    pub removed: Vec<EndpointName>,
}

/// What a gateway knows of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreView {
    config_mark: u64,
    endpoints: Vec<EndpointRecord>,
    own: OwnDigest,
    digest: StoreDigest,
}

/// What a word of another gateway comes to.
#[derive(Debug, Clone, PartialEq)]
pub enum WordOutcome {
    /// The store holds what was known.
    Same,
    /// The store holds something else, which is now known.
    Patched,
    /// The word is about a store that was not known here: it says nothing.
    Unknown,
}

impl StoreView {
    /// What a read brought.
    #[must_use]
    pub fn new(config_mark: u64, endpoints: Vec<EndpointRecord>) -> Self {
        Self {
            digest: StoreDigest::of(config_mark, &endpoints),
            config_mark,
            endpoints,
            own: OwnDigest::default(),
        }
    }

    /// The same with what the read brought of our own.
    #[must_use]
    pub fn with_own(self, own: &OwnEntries<'_>) -> Self {
        self.with_own_digest(OwnDigest::of(own))
    }

    fn with_own_digest(self, own: OwnDigest) -> Self {
        let digest = StoreDigest::of(self.config_mark, &self.endpoints);
        Self {
            digest: digest.with(own),
            own,
            ..self
        }
    }

    /// The endpoints that are registered.
    #[must_use]
    pub fn endpoints(&self) -> &[EndpointRecord] {
        &self.endpoints
    }

    /// What to tell others after a read, whose last one brought `before`.
    #[must_use]
    pub fn word_since(&self, before: Option<&Self>) -> StoreWord {
        let known = by_name(before.map_or(&[], Self::endpoints));
        let present = by_name(&self.endpoints);
        let is_new = |row: &&EndpointRecord| {
            let old = known.get(&row.name);
            old.is_none_or(|old| digest_row(old) != digest_row(row))
        };
        let changed: Vec<EndpointRecord> = self.endpoints.iter().filter(is_new).cloned().collect();
        let gone = known.keys().filter(|name| !present.contains_key(*name));
        let removed = gone.map(|name| (*name).clone()).collect();
        let fits = changed.len() <= MOST_CHANGES;
        StoreWord {
            before: before.map_or(self.digest, |view| view.digest),
            now: self.digest,
            changed: if fits { changed } else { Vec::new() },
            removed,
        }
    }

    /// Takes another gateway's word over. What it comes to is checked by its digest: a word that leaves something
    /// out, as a change of the configuration, is of no use.
    pub fn take_word(&mut self, word: &StoreWord) -> WordOutcome {
        if word.now == self.digest {
            return WordOutcome::Same;
        }
        if word.before != self.digest {
            return WordOutcome::Unknown;
        }
        let is_replaced = |row: &EndpointRecord| {
            word.removed.contains(&row.name) || word.changed.iter().any(|new| new.name == row.name)
        };
        let kept = self.endpoints.iter().filter(|row| !is_replaced(row));
        let endpoints = kept.chain(&word.changed).cloned().collect();
        let patched = Self::new(self.config_mark, endpoints).with_own_digest(self.own);
        if patched.digest != word.now {
            return WordOutcome::Unknown;
        }
        *self = patched;
        WordOutcome::Patched
    }
}

fn by_name(endpoints: &[EndpointRecord]) -> HashMap<&EndpointName, &EndpointRecord> {
    endpoints.iter().map(|row| (&row.name, row)).collect()
}

/// When the store is read next.
#[derive(Debug)]
pub struct ReadSchedule {
    generator: ChaCha8Rng,
    next_at: ClockTime,
    spared: u32,
}

impl ReadSchedule {
    /// A schedule whose first read is due at once, and whose spread follows from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
            next_at: ClockTime::ZERO,
            spared: 0,
        }
    }

    /// When the next read is due.
    #[must_use]
    pub fn next_at(&self) -> ClockTime {
        self.next_at
    }

    /// The store was read; a change must be seen within `period` from now.
    pub fn note_read(&mut self, begun: ClockTime, period: Duration) {
        self.spared = 0;
        self.next_at = begun + self.pause(period);
    }

    /// The store could not be read, and is to be read again at `at`.
    pub fn note_failure(&mut self, at: ClockTime) {
        self.next_at = at;
    }

    /// Another gateway has read the store, and what it saw is known here.
    pub fn note_told(&mut self, period: Duration, now: ClockTime) {
        if self.spared < MOST_SPARED {
            self.spared += 1;
            self.next_at = now + self.pause(period);
        }
    }

    fn pause(&mut self, period: Duration) -> Duration {
        let share = LEAST_SHARE + (1.0 - LEAST_SHARE) * self.generator.random::<f64>();
        period.mul_f64(share)
    }
}
