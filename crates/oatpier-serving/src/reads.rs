//! When a gateway reads the store, and what spares it a read.
//!
//! The load: 68 gateways that each read configuration and registry every 1.8 s made nearly 40 calls a
//! second, all of which said the same, and the thinnest of them spent a twentieth of their processor on
//! decoding it. So who has read tells the gateways of its availability zone a digest of what it saw. Who
//! knows the same need not read; who knows something else reads at once. Nobody is elected: whoever is
//! due first reads, and when it is gone the next one is due a moment later. A bound on how late a change is
//! seen holds for each gateway by itself, whatever it hears.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::directory::EndpointRecord;

/// The least share of a period between two reads. Each gateway draws its own between this and the whole, so
/// that the first of a zone's dozen reads and tells before the others are due.
const LEAST_SHARE: f64 = 0.75;

/// Reads in a row that others may spare a gateway. What an engine holds is not in the digest, since sidecars
/// tell it sooner; of an engine whose sidecar is not heard it gets this old.
const MOST_SPARED: u32 = 20;

/// A digest of what lies in the store: the configuration, and who is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
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
            let start = record.start.map(|start| start.0);
            let row = format!(
                "{}|{start:?}|{}|{}|{}|{}|{};",
                record.name,
                record.service,
                record.address,
                record.zone,
                record.slots,
                record.draining,
            );
            hasher.update(row.as_bytes());
        }
        Self(hasher.digest())
    }
}

/// What another gateway's digest says to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestNews {
    /// The store holds what is known here.
    Same,
    /// The store holds something else.
    Other,
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

    /// Another gateway has read the store.
    pub fn take_news(&mut self, news: DigestNews, period: Duration, now: ClockTime) {
        match news {
            DigestNews::Other => self.next_at = self.next_at.min(now),
            DigestNews::Same if self.spared < MOST_SPARED => {
                self.spared += 1;
                self.next_at = now + self.pause(period);
            }
            DigestNews::Same => {}
        }
    }

    fn pause(&mut self, period: Duration) -> Duration {
        let share = LEAST_SHARE + (1.0 - LEAST_SHARE) * self.generator.random::<f64>();
        period.mul_f64(share)
    }
}
