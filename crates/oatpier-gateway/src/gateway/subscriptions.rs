//! Subscriptions to the status updates of sidecars: they announce this gateway, the adapters it uses, and each
//! engine's share of common limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::{GatewaySubscription, InnerMessage};
use oatpier_serving::node::NodeBounds;
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_serving::subscriptions::SubscriptionSchedule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};
use tokio::time::{MissedTickBehavior, interval};

use super::core::{CoreState, GatewayCore};

/// Interval between subscriptions to a silent sidecar, one without a current status update. After a start of all
/// processes, sidecars that come up slightly later than the gateways send status updates within this time.
const SILENT_INTERVAL: Duration = Duration::from_millis(125);

/// Ticks for each subscription to sidecars whose engines this gateway uses adapters of: every half second. A sidecar
/// considers an adapter unused after three of these.
const USED_ROUND_TICKS: u64 = 4;

/// Ticks for each subscription to all sidecars: every two seconds. It only says that this gateway is still there, and
/// the number of these subscriptions is that of gateways times engines.
const ALL_ROUND_TICKS: u64 = 16;

/// Share of the weight store's limit that sidecars divide among themselves. The rest covers loads whose answers were
/// lost, and engines that not all sidecars know yet.
const LOAD_SHARE: f64 = 0.93;

/// Number of loads by which a window may exceed the weight store's rate, in addition to the margin.
const LOAD_ALLOWANCE: f64 = 3.0;

/// A subscription and its destination.
pub(super) struct AddressedSubscription {
    sidecar: SocketAddr,
    subscription: GatewaySubscription,
}

impl AddressedSubscription {
    pub(super) fn send(self, core: &GatewayCore) {
        let message = InnerMessage::Subscription(self.subscription);
        core.outlet.send(self.sidecar, &message);
    }
}

/// The sidecars that one round of subscriptions addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SubscriptionRound {
    /// Silent sidecars only.
    Silent,
    /// Silent sidecars, and those whose engines this gateway uses adapters of.
    Used,
    /// All sidecars.
    All,
}

impl SubscriptionRound {
    fn of_tick(number: u64) -> Self {
        if number.is_multiple_of(ALL_ROUND_TICKS) {
            Self::All
        } else if number.is_multiple_of(USED_ROUND_TICKS) {
            Self::Used
        } else {
            Self::Silent
        }
    }

    fn includes(
        self,
        row: &EndpointRow,
        schedule: &mut SubscriptionSchedule,
        now: ClockTime,
    ) -> bool {
        if row.status(now).is_none() {
            return schedule.is_due(&row.record.name, now);
        }
        self == Self::All || (self == Self::Used && row.uses_adapters())
    }
}

/// Sends subscriptions until the process ends.
pub(super) async fn subscribe(core: &GatewayCore) {
    let mut ticks = interval(SILENT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u64 = 0;
    loop {
        // The gateway subscribes to a new endpoint at once: until its sidecar answers, nothing can be loaded there.
        let round = tokio::select! {
            _ = ticks.tick() => {
                number += 1;
                SubscriptionRound::of_tick(number)
            }
            () = core.endpoints_appeared.notified() => SubscriptionRound::Silent,
        };
        for due in due_subscriptions(core, round) {
            due.send(core);
        }
    }
}

/// Returns the subscriptions that are due in a round.
fn due_subscriptions(core: &GatewayCore, round: SubscriptionRound) -> Vec<AddressedSubscription> {
    let now = core.clock.now();
    let mut state = core.lock();
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let mut subscriptions = Vec::new();
    let mut schedule = std::mem::take(&mut state.subscription_schedule);
    schedule.retain(|name| {
        let row = state.directory.row(name);
        row.is_some_and(|row| row.status(now).is_none())
    });
    for (service, _) in engine_services(&config) {
        let rows = state.directory.service(service);
        let due = rows.filter(|row| round.includes(row, &mut schedule, now));
        let engines: Vec<EndpointName> = due.map(|row| row.record.name.clone()).collect();
        for engine in engines {
            subscriptions.extend(core.subscription(&mut state, service, &engine));
        }
    }
    state.subscription_schedule = schedule;
    subscriptions
}

impl GatewayCore {
    /// Returns the subscription to the sidecar of one engine, with its destination.
    pub(super) fn subscription(
        &self,
        state: &mut CoreState,
        service: &PoolName,
        endpoint: &EndpointName,
    ) -> Option<AddressedSubscription> {
        let config = state.config.clone()?;
        let service_rule = config.service(service)?;
        let rule = service_rule.engine.as_ref()?;
        let row = state.directory.row(endpoint)?;
        let address = row.record.address;
        let is_heard = row.status(self.clock.now()).is_some();
        let settings = Arc::clone(&self.settings.borrow());
        let mut engines: u32 = 0;
        let mut place = 0;
        for row in state.directory.service(service) {
            if row.record.name == *endpoint {
                place = engines;
            }
            engines += 1;
        }
        let subscription = GatewaySubscription {
            zone: self.zone.clone(),
            processor: settings.processor,
            is_heard,
            used: state.directory.take_used_adapters(endpoint),
            engines,
            place,
            loads_per_window: loads_per_window(&settings.bounds, rule),
            adapter_slots: u32::try_from(rule.adapter_slots).unwrap_or(u32::MAX),
            health_path: Arc::clone(&service_rule.health_path),
        };
        Some(AddressedSubscription {
            sidecar: SocketAddr::new(address.ip(), self.inner_port),
            subscription,
        })
    }
}

/// Returns the services whose endpoints are engines, with the capacity rules of these engines.
pub(super) fn engine_services(
    config: &SiteConfig,
) -> impl Iterator<Item = (&PoolName, &EngineRule)> {
    let services = config.services.iter();
    services.filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

/// Returns how many loads all engines together may begin in one window.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive product far below the type's bound"
)]
fn loads_per_window(bounds: &NodeBounds, rule: &EngineRule) -> u32 {
    let loads = rule.loads_per_s * bounds.load_window.as_secs_f64() * bounds.load_margin;
    ((loads + LOAD_ALLOWANCE) * LOAD_SHARE).floor().max(1.0) as u32
}
