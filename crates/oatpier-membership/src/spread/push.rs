//! Pushes of the configuration that are still to be sent or answered.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;
use oatpier_types::names::DaemonName;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::messages::EntryContact;

/// The number of entries to which an entry pushes a new configuration.
pub const PUSH_FANOUT: usize = 4;

/// The maximum number of tries of one push. After that, the peer learns of the generation from
/// other messages.
pub const PUSH_TRIES: u32 = 3;

/// Delay between two tries.
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
    /// Starts the pushes of a new configuration: to random entries of the group and to `agents`.
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

    /// Adds a peer that is behind, with the generation it has if that is known.
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

    /// Returns the pushes to send now.
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

    /// Handles the end of a push. `reached` is the generation that the peer has now. The push is
    /// complete if that is at least the one in force.
    pub(super) fn handle_end(
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
        let is_done = reached.is_some_and(|reached| reached >= in_force);
        if is_done || push.tries >= PUSH_TRIES {
            self.open.swap_remove(to);
        }
    }

    pub(super) fn next_wake(&self) -> ClockTime {
        let waiting = self.open.values().filter(|push| !push.sent);
        let next = waiting.map(|push| push.next).min();
        next.unwrap_or(ClockTime::NEVER)
    }
}
