//! Which sidecars a gateway sends subscriptions to, and when.
//!
//! A subscription is a message that asks a sidecar for its status updates and announces the gateway. If every gateway
//! subscribed to every sidecar regularly, the number of subscriptions would grow with the product of gateways and
//! engines. Therefore, a gateway subscribes regularly only where it may be selected as a relay or uses adapters. It
//! announces itself to the others in rotation, and contacts a limited number of silent sidecars in each round. Each
//! gateway contacts these in a different order, and one subscription from any gateway of a zone makes the sidecar's
//! updates reach all of them.
//!
//! Some engines have no sidecar at all, so the interval grows for as long as a sidecar sends no updates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

/// Interval between rounds. After a start of all processes, sidecars that come up slightly later than the gateways send
/// status updates within this time.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(125);

/// Rounds between two subscriptions to a sidecar whose engine this gateway uses adapters of: half a second. A sidecar
/// considers an adapter unused after three of these.
const USED_ROUNDS: usize = 4;

/// Rounds between two subscriptions to a sidecar that may select this gateway as a relay: two seconds.
const RELAY_ROUNDS: usize = 16;

/// Maximum number of sidecars that this gateway announces itself to in a round.
const ANNOUNCEMENTS_PER_ROUND: usize = 6;

/// Maximum number of silent sidecars contacted in a round.
const SILENT_PER_ROUND: usize = 16;

/// How long a gateway that is not likely to be a relay of a silent sidecar waits for the updates that relays forward.
const RELAY_GRACE: Duration = Duration::from_millis(500);

/// Interval between subscriptions to a silent sidecar during [`INITIAL_PERIOD`].
const INITIAL_INTERVAL: Duration = ROUND_INTERVAL;

/// Time that a process takes to start.
const INITIAL_PERIOD: Duration = Duration::from_secs(4);

/// After [`INITIAL_PERIOD`], each subscription is sent when the time without updates is this many times what it
/// was at the previous subscription.
const BACKOFF_FACTOR: f64 = 1.25;

/// Maximum interval between subscriptions. A sidecar whose VM was partitioned is found again within this time.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// A sidecar as a gateway sees it.
#[derive(Debug, Clone, Copy)]
pub struct SidecarView<'a> {
    /// Its engine.
    pub engine: &'a EndpointName,
    /// Address of the engine, by which relays are selected.
    pub address: SocketAddr,
    /// Whether no current status update of it is known.
    pub is_silent: bool,
    /// Whether this gateway uses adapters of its engine.
    pub uses_adapters: bool,
}

/// Decides whether a sidecar may select this gateway as a relay.
pub type RelayCheck<'a> = &'a dyn Fn(SocketAddr) -> bool;

#[derive(Debug, Clone, Copy)]
struct SilentSidecar {
    since: ClockTime,
    subscribed_at: Option<ClockTime>,
}

impl SilentSidecar {
    /// Returns whether the next subscription is due.
    fn is_due(&self, may_relay: impl FnOnce() -> bool, now: ClockTime) -> bool {
        let Some(subscribed_at) = self.subscribed_at else {
            return now.since(self.since) >= RELAY_GRACE || may_relay();
        };
        now.since(subscribed_at) >= self.interval(subscribed_at)
    }

    fn interval(&self, subscribed_at: ClockTime) -> Duration {
        let silent_for = subscribed_at.since(self.since);
        if silent_for < INITIAL_PERIOD {
            return INITIAL_INTERVAL;
        }
        silent_for.mul_f64(BACKOFF_FACTOR - 1.0).min(MAX_INTERVAL)
    }
}

/// The schedule of a gateway's subscriptions.
#[derive(Debug, Default)]
pub struct SubscriptionSchedule {
    /// The sidecars that this gateway receives no updates from, by engine.
    silent: HashMap<EndpointName, SilentSidecar>,
    round: usize,
    /// Position of the next sidecar that this gateway announces itself to.
    next_announced: usize,
    /// Position of the silent sidecar that is considered first.
    next_silent: usize,
}

impl SubscriptionSchedule {
    /// Creates a schedule that begins at a position in the list of sidecars. It should differ between gateways.
    #[must_use]
    pub fn starting_at(position: usize) -> Self {
        Self {
            next_announced: position,
            next_silent: position,
            ..Self::default()
        }
    }

    /// Begins the next round and returns the positions of the sidecars to send subscriptions to.
    pub fn next_round(
        &mut self,
        sidecars: &[SidecarView<'_>],
        may_relay: RelayCheck<'_>,
        now: ClockTime,
    ) -> Vec<usize> {
        self.round += 1;
        let announced = self.next_announcements(sidecars.len());
        let is_used_round = self.round.is_multiple_of(USED_ROUNDS);
        let relay_slot = self.round % RELAY_ROUNDS;
        let mut due = Vec::new();
        for (position, sidecar) in sidecars.iter().enumerate() {
            if sidecar.is_silent {
                continue;
            }
            let is_relay_slot = position % RELAY_ROUNDS == relay_slot;
            let is_due = announced.contains(position)
                || (is_used_round && sidecar.uses_adapters)
                || (is_relay_slot && may_relay(sidecar.address));
            if is_due {
                due.push(position);
            }
        }
        due.extend(self.due_silent(sidecars, may_relay, now));
        due
    }

    /// Returns the positions of the silent sidecars to send subscriptions to, and records that these are sent.
    pub fn due_silent(
        &mut self,
        sidecars: &[SidecarView<'_>],
        may_relay: RelayCheck<'_>,
        now: ClockTime,
    ) -> Vec<usize> {
        self.track_silent(sidecars, now);
        let mut due = Vec::new();
        let first = self.next_silent.checked_rem(sidecars.len()).unwrap_or(0);
        for position in (first..sidecars.len()).chain(0..first) {
            if due.len() == SILENT_PER_ROUND {
                self.next_silent = position;
                break;
            }
            let view = &sidecars[position];
            let Some(sidecar) = self.silent.get_mut(view.engine) else {
                continue;
            };
            if sidecar.is_due(|| may_relay(view.address), now) {
                sidecar.subscribed_at = Some(now);
                due.push(position);
            }
        }
        due
    }

    fn track_silent(&mut self, sidecars: &[SidecarView<'_>], now: ClockTime) {
        let mut known = std::mem::take(&mut self.silent);
        for sidecar in sidecars.iter().filter(|sidecar| sidecar.is_silent) {
            let (engine, tracked) = known.remove_entry(sidecar.engine).unwrap_or_else(|| {
                let fresh = SilentSidecar {
                    since: now,
                    subscribed_at: None,
                };
                (sidecar.engine.clone(), fresh)
            });
            self.silent.insert(engine, tracked);
        }
    }

    /// Advances the rotation. It covers all sidecars in [`RELAY_ROUNDS`], or as many as fit into the maximum.
    fn next_announcements(&mut self, sidecars: usize) -> RotatingSpan {
        let covered = sidecars.min(ANNOUNCEMENTS_PER_ROUND * RELAY_ROUNDS);
        let step = self.round % RELAY_ROUNDS;
        let length = (step + 1) * covered / RELAY_ROUNDS - step * covered / RELAY_ROUNDS;
        let first = self.next_announced.checked_rem(sidecars).unwrap_or(0);
        self.next_announced = first + length;
        RotatingSpan {
            first,
            length,
            total: sidecars,
        }
    }
}

/// Consecutive positions in a list that continue at its start.
#[derive(Debug, Clone, Copy)]
struct RotatingSpan {
    first: usize,
    length: usize,
    total: usize,
}

impl RotatingSpan {
    fn contains(self, position: usize) -> bool {
        let distance = (position + self.total - self.first) % self.total;
        distance < self.length
    }
}
