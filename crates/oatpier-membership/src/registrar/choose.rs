//! The choice of an agent's registrars.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{DaemonName, ZoneName};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::backoff::jittered;
use crate::messages::EntryContact;
use crate::rendezvous;

/// The number of registrars of one agent.
pub const REGISTRARS: usize = 2;

/// How long a lost registrar is not used again. Doubles each time.
const AVOID_FIRST: Duration = Duration::from_secs(10);

/// The upper bound of that time.
const AVOID_LONGEST: Duration = Duration::from_mins(2);

#[derive(Debug, Clone, Copy)]
struct AvoidedEntry {
    until: ClockTime,
    times: u32,
}

/// Entries that did not answer and are not used for a while.
#[derive(Debug, Clone, Default)]
pub(super) struct AvoidList {
    entries: IndexMap<DaemonName, AvoidedEntry>,
}

impl AvoidList {
    pub(super) fn avoid(
        &mut self,
        daemon: &DaemonName,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) {
        let times = self.entries.get(daemon).map_or(0, |avoided| avoided.times);
        let doubled = AVOID_FIRST.saturating_mul(1 << times.min(8));
        let avoided = AvoidedEntry {
            until: now + jittered(doubled.min(AVOID_LONGEST), generator),
            times: times + 1,
        };
        self.entries.insert(daemon.clone(), avoided);
    }

    pub(super) fn avoids(&self, daemon: &DaemonName, now: ClockTime) -> bool {
        let avoided = self.entries.get(daemon);
        avoided.is_some_and(|avoided| avoided.until > now)
    }

    pub(super) fn forget(&mut self, daemon: &DaemonName) {
        self.entries.swap_remove(daemon);
    }
}

/// Chooses an agent's registrars among the usable entries: those of its own availability zone if
/// there are enough, otherwise those of other availability zones too.
#[must_use]
pub fn choose_registrars<'a>(
    agent: &DaemonName,
    zone: &ZoneName,
    entries: Vec<&'a EntryContact>,
) -> SmallVec<[&'a EntryContact; 4]> {
    let key = rendezvous::registrar_key(agent);
    let (near, far): (Vec<_>, Vec<_>) = entries.into_iter().partition(|entry| entry.zone == *zone);
    let mut chosen = rendezvous::choose(&key, near, REGISTRARS, contact_name);
    let missing = REGISTRARS - chosen.len();
    chosen.extend(rendezvous::choose(&key, far, missing, contact_name));
    chosen
}

fn contact_name(contact: &EntryContact) -> &str {
    contact.daemon.as_str()
}

/// Returns a hash of a set of entries that does not depend on their order.
#[must_use]
pub fn entries_digest<'a>(entries: impl Iterator<Item = &'a EntryContact>) -> u64 {
    entries
        .map(|contact| xxh3_64(format!("{}@{}", contact.daemon, contact.address).as_bytes()))
        .fold(0, |digest, hash| digest ^ hash)
}
