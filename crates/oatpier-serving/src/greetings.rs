//! How often a gateway sends greetings to sidecars that it receives no updates from.
//!
//!
//! A greeting asks a sidecar for its status updates. After a start of all processes, the updates of every
//! sidecar must arrive promptly, so a sidecar without updates is greeted eight times a second. In a fleet
//! with ten engines for each of our VMs, most engines have no sidecar at all, and unanswered greetings were
//! most of the traffic between gateways and engine VMs. Therefore, the interval grows for as long as a
//! sidecar sends no updates.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

/// Interval between greetings during [`FIRST_SPAN`].
const FIRST_PAUSE: Duration = Duration::from_millis(125);

/// Time that a process takes to start.
const FIRST_SPAN: Duration = Duration::from_secs(4);

/// After [`FIRST_SPAN`], each greeting is sent when the time without updates is this many times what it was
/// at the
///
/// previous greeting.
const GROWTH: f64 = 1.25;

/// Maximum interval between greetings. A sidecar whose VM was partitioned is found again within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct UnheardSidecar {
    since: ClockTime,
    greeted_at: ClockTime,
}

impl UnheardSidecar {
    fn pause(&self) -> Duration {
        let unheard_for = self.greeted_at.since(self.since);
        if unheard_for < FIRST_SPAN {
            return FIRST_PAUSE;
        }
        unheard_for.mul_f64(GROWTH - 1.0).min(LONGEST_PAUSE)
    }
}

/// The sidecars that this gateway receives no updates from, by engine.
#[derive(Debug, Default)]
pub struct GreetingPaces {
    unheard: HashMap<EndpointName, UnheardSidecar>,
}

impl GreetingPaces {
    /// Returns whether a greeting to a sidecar without updates is due, and records that it is sent.
    pub fn is_due(&mut self, engine: &EndpointName, now: ClockTime) -> bool {
        let Some(known) = self.unheard.get_mut(engine) else {
            let fresh = UnheardSidecar {
                since: now,
                greeted_at: now,
            };
            self.unheard.insert(engine.clone(), fresh);
            return true;
        };
        let is_due = now.since(known.greeted_at) >= known.pause();
        if is_due {
            known.greeted_at = now;
        }
        is_due
    }

    /// Keeps only the sidecars for which `is_unheard` returns true.
    pub fn retain(&mut self, is_unheard: impl Fn(&EndpointName) -> bool) {
        self.unheard.retain(|engine, _| is_unheard(engine));
    }
}
