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
use xxhash_rust::xxh3::Xxh3;

use crate::crashes::CrashRecord;
use crate::directory::EndpointRecord;

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
    /// The digest of a configuration, by the revision of its last change, and of the registry.
    #[must_use]
    pub fn of(config_revision: u64, endpoints: &[EndpointRecord]) -> Self {
        let mut sorted: Vec<&EndpointRecord> = endpoints.iter().collect();
        sorted.sort_by(|one, other| one.name.cmp(&other.name));
        let mut hasher = Xxh3::new();
        hasher.update(&config_revision.to_le_bytes());
        for record in sorted {
            hasher.update(digest_row(record).as_bytes());
        }
        Self(hasher.digest())
    }

    /// The digest with what lies there on crashes.
    #[must_use]
    fn with(self, crashes: CrashDigest) -> Self {
        Self(self.0 ^ crashes.0)
    }
}

/// A digest of what lies in the store on crashes, 0 for nothing. Words between gateways do not carry it: who knows
/// another one reads by itself, which costs each gateway a read or two after an endpoint's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct CrashDigest(u64);

impl CrashDigest {
    fn of(crashes: &[CrashRecord]) -> Self {
        let digest = |crash: &CrashRecord| {
            let mut hasher = Xxh3::new();
            hasher.update(format!("{}/{};", crash.fingerprint, crash.site).as_bytes());
            hasher.digest()
        };
        Self(crashes.iter().fold(0, |sum, crash| sum ^ digest(crash)))
    }
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
    config_revision: u64,
    endpoints: Vec<EndpointRecord>,
    crashes: CrashDigest,
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
    pub fn new(config_revision: u64, endpoints: Vec<EndpointRecord>) -> Self {
        Self {
            digest: StoreDigest::of(config_revision, &endpoints),
            config_revision,
            endpoints,
            crashes: CrashDigest::default(),
        }
    }

    /// The same with what the read brought on crashes.
    #[must_use]
    pub fn with_crashes(self, crashes: &[CrashRecord]) -> Self {
        self.with_crash_digest(CrashDigest::of(crashes))
    }

    fn with_crash_digest(self, crashes: CrashDigest) -> Self {
        let digest = StoreDigest::of(self.config_revision, &self.endpoints);
        Self {
            digest: digest.with(crashes),
            crashes,
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
        let patched = Self::new(self.config_revision, endpoints).with_crash_digest(self.crashes);
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
