//! Greeting sidecars: this gateway is there, what it uses, and what each engine's part of shared bounds is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::greetings::GreetingPaces;
use oatpier_serving::message::{GatewayGreeting, InnerMessage};
use oatpier_serving::node::NodeBounds;
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};
use tokio::time::{MissedTickBehavior, interval};

use super::core::{CoreState, GatewayCore};

/// From one greeting to the next of a sidecar that is not heard: after a start of all processes, sidecars
/// that come up a moment later than gateways are heard this soon.
const UNHEARD_EVERY: Duration = Duration::from_millis(125);

/// Greetings of unheard sidecars for each greeting of those whose engines this gateway uses adapters of,
/// every half a second. A sidecar takes an adapter for unused after three of these.
const UNHEARD_GREETINGS: u64 = 4;

/// The same for each greeting of all, every two seconds: it only says that this gateway is still there, and
/// their number is that of gateways times engines.
const ALL_GREETINGS: u64 = 16;

/// The share of the weight store's bound that sidecars divide among themselves. The rest covers
/// loads whose answers were lost, and engines that not all sidecars have heard of yet.
const LOAD_SHARE: f64 = 0.93;

/// Loads that the weight store lets a window go over its rate, beside the margin.
const LOAD_ALLOWANCE: f64 = 3.0;

/// A greeting, and where it goes.
pub(super) struct SidecarGreeting {
    sidecar: SocketAddr,
    greeting: GatewayGreeting,
}

impl SidecarGreeting {
    pub(super) fn send(self, core: &GatewayCore) {
        let message = InnerMessage::Greeting(self.greeting);
        core.outlet.send(self.sidecar, &message);
    }
}

/// Which sidecars a round of greetings is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GreetingRound {
    /// Those that are not heard.
    Unheard,
    /// Those whose engines this gateway uses adapters of, too.
    Used,
    /// All.
    All,
}

impl GreetingRound {
    fn of_tick(number: u64) -> Self {
        if number.is_multiple_of(ALL_GREETINGS) {
            Self::All
        } else if number.is_multiple_of(UNHEARD_GREETINGS) {
            Self::Used
        } else {
            Self::Unheard
        }
    }

    fn includes(self, row: &EndpointRow, paces: &mut GreetingPaces, now: ClockTime) -> bool {
        if row.pulse(now).is_none() {
            return paces.is_due(&row.record.name, now);
        }
        self == Self::All || (self == Self::Used && row.uses_adapters())
    }
}

/// Greets until the process ends.
pub(super) async fn greet(core: &GatewayCore) {
    let mut ticks = interval(UNHEARD_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u64 = 0;
    loop {
        // An endpoint that has just appeared is greeted at once: until its sidecar answers, nothing
        // can be loaded there.
        let round = tokio::select! {
            _ = ticks.tick() => {
                number += 1;
                GreetingRound::of_tick(number)
            }
            () = core.appeared.notified() => GreetingRound::Unheard,
        };
        for due in greetings(core, round) {
            due.send(core);
        }
    }
}

/// The greetings that are due.
fn greetings(core: &GatewayCore, round: GreetingRound) -> Vec<SidecarGreeting> {
    let now = core.clock.now();
    let mut state = core.lock();
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let mut greetings = Vec::new();
    let mut paces = std::mem::take(&mut state.greeting_paces);
    paces.retain(|name| {
        let row = state.directory.row(name);
        row.is_some_and(|row| row.pulse(now).is_none())
    });
    for (service, _) in engine_services(&config) {
        let rows = state.directory.service(service);
        let due = rows.filter(|row| round.includes(row, &mut paces, now));
        let engines: Vec<EndpointName> = due.map(|row| row.record.name.clone()).collect();
        for engine in engines {
            greetings.extend(core.greeting(&mut state, service, &engine));
        }
    }
    state.greeting_paces = paces;
    greetings
}

impl GatewayCore {
    /// The greeting of one engine's sidecar, and where it goes.
    pub(super) fn greeting(
        &self,
        state: &mut CoreState,
        service: &PoolName,
        endpoint: &EndpointName,
    ) -> Option<SidecarGreeting> {
        let config = state.config.clone()?;
        let service_rule = config.service(service)?;
        let rule = service_rule.engine.as_ref()?;
        let row = state.directory.row(endpoint)?;
        let address = row.record.address;
        let is_heard = row.pulse(self.clock.now()).is_some();
        let settings = Arc::clone(&self.settings.borrow());
        let mut engines: u32 = 0;
        let mut place = 0;
        for row in state.directory.service(service) {
            if row.record.name == *endpoint {
                place = engines;
            }
            engines += 1;
        }
        let greeting = GatewayGreeting {
            zone: self.zone.clone(),
            processor: settings.processor,
            is_heard,
            used: state.directory.take_used(endpoint),
            engines,
            place,
            loads_per_window: loads_per_window(&settings.bounds, rule),
            adapter_slots: u32::try_from(rule.adapter_slots).unwrap_or(u32::MAX),
            health_path: Arc::clone(&service_rule.health_path),
        };
        Some(SidecarGreeting {
            sidecar: SocketAddr::new(address.ip(), self.inner_port),
            greeting,
        })
    }
}

/// The services whose endpoints are engines, with what these may hold.
pub(super) fn engine_services(
    config: &SiteConfig,
) -> impl Iterator<Item = (&PoolName, &EngineRule)> {
    let services = config.services.iter();
    services.filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

/// Loads that all engines may begin in one window.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive product far below the type's bound"
)]
fn loads_per_window(bounds: &NodeBounds, rule: &EngineRule) -> u32 {
    let loads = rule.loads_per_s * bounds.load_window.as_secs_f64() * bounds.load_margin;
    ((loads + LOAD_ALLOWANCE) * LOAD_SHARE).floor().max(1.0) as u32
}
