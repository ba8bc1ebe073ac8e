//! Which peers and agents are still to be brought the configuration.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;
use oatpier_types::names::DaemonName;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::messages::EntryContact;

/// Entries that an entry brings a new configuration, unasked.
pub const PUSH_FANOUT: usize = 4;

/// How often one push is tried. Then the peer finds out by itself.
pub const PUSH_TRIES: u32 = 3;

/// Time between two tries.
const RETRY_AFTER: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
struct OpenPush {
    to: EntryContact,
    have: Option<Generation>,
    tries: u32,
    sent: bool,
    next: ClockTime,
}

/// The pushes of one entry.
#[derive(Debug, Clone, Default)]
pub(super) struct PushQueue {
    open: IndexMap<DaemonName, OpenPush>,
}

impl PushQueue {
    /// A new configuration is in force: picks who is brought it.
    pub(super) fn start<'a>(
        &mut self,
        group: &'a [EntryContact],
        agents: impl Iterator<Item = &'a EntryContact>,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) {
        let picked = group.sample(generator, PUSH_FANOUT);
        for to in picked.chain(agents) {
            self.add(to, None, now);
        }
    }

    /// A peer that is behind, with what it has if that is known.
    pub(super) fn add(&mut self, to: &EntryContact, have: Option<Generation>, now: ClockTime) {
        let push = self.open.entry(to.daemon.clone()).or_insert(OpenPush {
            to: to.clone(),
            have,
            tries: 0,
            sent: false,
            next: now,
        });
        push.tries = 0;
    }

    /// Whom to send to now.
    pub(super) fn due(&mut self, now: ClockTime) -> Vec<(EntryContact, Option<Generation>)> {
        let due = self.open.values_mut();
        due.filter(|push| !push.sent && push.next <= now)
            .map(|push| {
                push.sent = true;
                push.tries += 1;
                (push.to.clone(), push.have)
            })
            .collect()
    }

    /// A push ended; `reached` is what the peer has now. Done if that is what is in force.
    pub(super) fn ended(
        &mut self,
        to: &DaemonName,
        reached: Option<Generation>,
        in_force: Generation,
        now: ClockTime,
    ) {
        let Some(push) = self.open.get_mut(to) else {
            return;
        };
        push.sent = false;
        push.have = reached.or(push.have);
        push.next = now + RETRY_AFTER;
        let done = reached.is_some_and(|reached| reached >= in_force);
        if done || push.tries >= PUSH_TRIES {
            self.open.swap_remove(to);
        }
    }

    pub(super) fn next_wake(&self) -> ClockTime {
        let waiting = self.open.values().filter(|push| !push.sent);
        let next = waiting.map(|push| push.next).min();
        next.unwrap_or(ClockTime::NEVER)
    }
}
