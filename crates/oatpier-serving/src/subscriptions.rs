//! How often a gateway sends subscriptions to sidecars that it receives no updates from.
//!
//! A subscription is a message that asks a sidecar for its status updates. After a start of all processes, the updates
//! of every sidecar must arrive promptly, so a sidecar without updates is sent a subscription eight times a second. In
//! a fleet with ten engines for each of our VMs, most engines have no sidecar at all, and unanswered subscriptions
//! were most of the traffic between gateways and engine VMs. Therefore, the interval grows for as long as a sidecar
//! sends no updates.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

/// Interval between subscriptions during [`INITIAL_PERIOD`].
const INITIAL_INTERVAL: Duration = Duration::from_millis(125);

/// Time that a process takes to start.
const INITIAL_PERIOD: Duration = Duration::from_secs(4);

/// After [`INITIAL_PERIOD`], each subscription is sent when the time without updates is this many times what it
/// was at the previous subscription.
const BACKOFF_FACTOR: f64 = 1.25;

/// Maximum interval between subscriptions. A sidecar whose VM was partitioned is found again within this time.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct SilentSidecar {
    since: ClockTime,
    subscribed_at: ClockTime,
}

impl SilentSidecar {
    fn interval(&self) -> Duration {
        let silent_for = self.subscribed_at.since(self.since);
        if silent_for < INITIAL_PERIOD {
            return INITIAL_INTERVAL;
        }
        silent_for.mul_f64(BACKOFF_FACTOR - 1.0).min(MAX_INTERVAL)
    }
}

/// The sidecars that this gateway receives no updates from, by engine.
#[derive(Debug, Default)]
pub struct SubscriptionSchedule {
    silent: HashMap<EndpointName, SilentSidecar>,
}

impl SubscriptionSchedule {
    /// Returns whether a subscription to a sidecar without updates is due, and records that it is sent.
    pub fn is_due(&mut self, engine: &EndpointName, now: ClockTime) -> bool {
        let Some(known) = self.silent.get_mut(engine) else {
            let sidecar = SilentSidecar {
                since: now,
                subscribed_at: now,
            };
            self.silent.insert(engine.clone(), sidecar);
            return true;
        };
        let is_due = now.since(known.subscribed_at) >= known.interval();
        if is_due {
            known.subscribed_at = now;
        }
        is_due
    }

    /// Keeps only the sidecars for which `is_silent` returns true.
    pub fn retain(&mut self, is_silent: impl Fn(&EndpointName) -> bool) {
        self.silent.retain(|engine, _| is_silent(engine));
    }
}
