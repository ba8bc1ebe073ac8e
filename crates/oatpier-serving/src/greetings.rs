//! How often a gateway greets sidecars that it does not hear.
//!
//! The load: after a start of all processes every sidecar is to be heard within a moment, so an unheard one is
//! greeted eight times a second. In a fleet with ten engines for each VM of ours most engines have no sidecar at
//! all, and greetings that nobody answers were most of what gateways and engines' VMs exchanged. So a sidecar that
//! stays unheard is greeted ever more rarely.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

/// From one greeting to the next for as long as a process takes to start.
const FIRST_PAUSE: Duration = Duration::from_millis(125);

/// How long that is.
const FIRST_SPAN: Duration = Duration::from_secs(4);

/// After that a greeting comes when the sidecar has been unheard for this much longer than at the last one.
const GROWTH: f64 = 1.25;

/// The longest pause: a sidecar whose VM was cut off is found again this soon.
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

/// The sidecars that are not heard, by their engines.
#[derive(Debug, Default)]
pub struct GreetingPaces {
    unheard: HashMap<EndpointName, UnheardSidecar>,
}

impl GreetingPaces {
    /// Whether an engine's sidecar, which is not heard, is greeted now.
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

    /// Only these engines' sidecars are still unheard.
    pub fn retain(&mut self, is_unheard: impl Fn(&EndpointName) -> bool) {
        self.unheard.retain(|engine, _| is_unheard(engine));
    }
}
