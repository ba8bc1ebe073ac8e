//! Subscriptions to the status updates of sidecars: they announce this gateway, the adapters it uses, and each
//! engine's share of common limits.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::{EngineListing, GatewaySubscription, InnerMessage};
use oatpier_serving::node::NodeBounds;
use oatpier_serving::relays::{self, RelayCandidate};
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_serving::subscriptions::{
    ROUND_INTERVAL, RelayCheck, SidecarView, SubscriptionSchedule,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};
use tokio::time::{MissedTickBehavior, interval};

use super::core::{CoreState, GatewayCore};

/// Share of the weight store's limit that sidecars divide among themselves. The rest covers loads whose answers were
/// lost, and engines that not all sidecars know yet.
const LOAD_SHARE: f64 = 0.93;

/// Number of loads by which a window may exceed the weight store's rate, in addition to the margin.
const LOAD_ALLOWANCE: f64 = 3.0;

/// A subscription and its destination.
pub(super) struct AddressedSubscription {
    sidecar: SocketAddr,
    subscription: GatewaySubscription,
    /// The engine's service, unless its sidecar states it.
    listing: Option<EngineListing>,
}

impl AddressedSubscription {
    pub(super) fn send(self, core: &GatewayCore) {
        let message = InnerMessage::Subscription(self.subscription);
        core.outlet.send(self.sidecar, &message);
        if let Some(listing) = self.listing {
            let message = InnerMessage::EngineListed(listing);
            core.outlet.send(self.sidecar, &message);
        }
    }
}

/// Sends subscriptions until the process ends.
pub(super) async fn subscribe(core: &GatewayCore) {
    let mut ticks = interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // The gateway subscribes to a new endpoint at once: until its sidecar answers, nothing can be loaded there.
        let subscriptions = tokio::select! {
            _ = ticks.tick() => due_subscriptions(core, SubscriptionSchedule::next_round),
            () = core.endpoints_appeared.notified() => {
                due_subscriptions(core, SubscriptionSchedule::due_silent)
            }
        };
        for due in subscriptions {
            due.send(core);
        }
    }
}

/// Selects the positions of the sidecars that are due.
type DueSelection =
    fn(&mut SubscriptionSchedule, &[SidecarView<'_>], RelayCheck<'_>, ClockTime) -> Vec<usize>;

/// Returns the subscriptions that are due now.
fn due_subscriptions(core: &GatewayCore, select: DueSelection) -> Vec<AddressedSubscription> {
    let now = core.clock.now();
    let mut state = core.lock();
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let engines = due_engines(core, &mut state, &config, select, now);
    let subscriptions = engines
        .iter()
        .filter_map(|due| core.subscription(&mut state, &due.service, &due.engine));
    subscriptions.collect()
}

/// An engine whose sidecar is due.
struct DueEngine {
    service: PoolName,
    engine: EndpointName,
}

fn due_engines(
    core: &GatewayCore,
    state: &mut CoreState,
    config: &SiteConfig,
    select: DueSelection,
    now: ClockTime,
) -> Vec<DueEngine> {
    let CoreState {
        directory,
        peers,
        subscription_schedule,
        ..
    } = state;
    let services = engine_services(config).map(|(service, _)| service);
    let rows: Vec<&EndpointRow> = services
        .flat_map(|service| directory.service(service))
        .collect();
    let sidecars: Vec<SidecarView<'_>> = rows.iter().map(|row| sidecar_view(row, now)).collect();
    let others = peers.zone_candidates(&core.zone, now);
    let own = RelayCandidate {
        zone: &core.zone,
        address: peers.own().address,
        processor: peers.own().processor,
    };
    let may_relay = |sidecar| relays::is_candidate(sidecar, &own, others.iter());
    let due = select(subscription_schedule, &sidecars, &may_relay, now);
    let engine = |position: usize| DueEngine {
        service: rows[position].record.service.clone(),
        engine: rows[position].record.name.clone(),
    };
    due.into_iter().map(engine).collect()
}

fn sidecar_view(row: &EndpointRow, now: ClockTime) -> SidecarView<'_> {
    SidecarView {
        engine: &row.record.name,
        address: row.record.address,
        is_silent: row.status(now).is_none(),
        uses_adapters: row.uses_adapters(),
    }
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
        let status = row.status(self.clock.now());
        let is_heard = status.is_some();
        let is_stated = status.is_some_and(|status| status.service.is_some());
        let listing = (!is_stated).then(|| EngineListing {
            engine: row.record.name.clone(),
            service: row.record.service.clone(),
        });
        let settings = Arc::clone(&self.settings.borrow());
        let engines = state.directory.service_size(service);
        let place = state.directory.place(service, endpoint)?;
        let subscription = GatewaySubscription {
            zone: self.zone.clone(),
            processor: settings.processor,
            is_heard,
            used: state.directory.take_used_adapters(endpoint),
            engines: u32::try_from(engines).unwrap_or(u32::MAX),
            place: u32::try_from(place).unwrap_or(u32::MAX),
            loads_per_window: loads_per_window(&settings.bounds, rule),
            adapter_slots: u32::try_from(rule.adapter_slots).unwrap_or(u32::MAX),
            health_path: Arc::clone(&service_rule.health_path),
        };
        Some(AddressedSubscription {
            sidecar: SocketAddr::new(address.ip(), self.inner_port),
            subscription,
            listing,
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
