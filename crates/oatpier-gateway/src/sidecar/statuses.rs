//! Status updates: a sidecar's messages about its engine, and when gateways get them.
//!
//! Status updates go to two relays in each availability zone, which forward them; see [`oatpier_serving::relays`].
//! Changes that make gateways place requests elsewhere are sent at once, changes of load after a short interval. A
//! change that only improves a placement, such as an additional adapter, is sent at once to the gateways that have
//! just requested an adapter, since their requests wait for it; the others get it with the next full status update.
//! Unchanged state is repeated at intervals to make up for lost status updates. The intervals depend on the number of
//! engines; see [`oatpier_serving::pacing`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::engine::{AdapterKey, EndpointLoad, EngineReport};
use oatpier_serving::message::{
    EngineStatus, EngineUpdate, GatewaySubscription, InnerMessage, LoadStatus, MessageNumber,
};
use oatpier_serving::pacing;
use oatpier_serving::permits::PermitIssuer;
use oatpier_serving::relays::{self, RelayCandidate};
use oatpier_serving::residency::{EngineResidency, held_adapters};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName, PoolName, ZoneName};

use crate::exchange::MessageOutlet;

/// Time after its last subscription at which a gateway is no longer used as a relay or listed in status updates: two
/// and a half subscription intervals.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(5);

/// How long a gateway is sent changes directly after it requested an adapter, or sent a subscription that says it gets
/// no status updates of this engine. It repeats both several times within this period.
const REQUESTER_EXPIRY: Duration = Duration::from_millis(400);

/// Minimum time between two full status updates while a change only improves placements.
const CHANGE_INTERVAL: Duration = Duration::from_millis(800);

/// Number of gateways listed in one full status update, in rotation. Listing all of them made the traffic grow with
/// the square of their number: 610 KB a second at each of 130 gateways. A gateway gets the status updates of all
/// sidecars, each at a different position of its rotation, so it still learns of all others within one or two status
/// updates.
const GATEWAYS_PER_STATUS: usize = 16;

/// The kind of status update that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StatusDue {
    Nothing,
    Load,
    Full,
}

/// A gateway that sends subscriptions.
#[derive(Debug)]
struct KnownGateway {
    zone: ZoneName,
    processor: u32,
    at: ClockTime,
}

/// A gateway that waits for a change.
#[derive(Debug)]
struct StatusRequester {
    requested_at: ClockTime,
    /// Whether it has been sent the last status update to requesters.
    is_updated: bool,
}

/// Decides when status updates are due, and sends them.
#[derive(Debug)]
pub struct StatusSender {
    engine: SocketAddr,
    service: Option<PoolName>,
    instance: Option<EndpointName>,
    number: MessageNumber,
    is_answering: bool,
    permit_wait_ms: u32,
    permits_waiting: u32,
    failing_percent: u8,
    gateways: HashMap<SocketAddr, KnownGateway>,
    /// Number of engines of the service, as gateways state it.
    engines: usize,
    /// Gateways that wait for a change here.
    requesters: HashMap<SocketAddr, StatusRequester>,
    /// The last status update that was sent to requesters.
    last_to_requesters: Option<EngineStatus>,
    /// Position in the sorted gateways at which the next full status update continues.
    next_listed: usize,
    last_sent: Option<EngineStatus>,
    full_sent_at: ClockTime,
    load_sent_at: ClockTime,
}

impl StatusSender {
    /// Creates a sender for the engine at an address.
    #[must_use]
    pub fn new(engine: SocketAddr) -> Self {
        Self {
            engine,
            service: None,
            instance: None,
            number: MessageNumber {
                boot: rand::random(),
                number: 0,
            },
            is_answering: false,
            permit_wait_ms: 0,
            permits_waiting: 0,
            failing_percent: 0,
            gateways: HashMap::new(),
            engines: 0,
            requesters: HashMap::new(),
            last_to_requesters: None,
            next_listed: rand::random_range(0..GATEWAYS_PER_STATUS * GATEWAYS_PER_STATUS),
            last_sent: None,
            full_sent_at: ClockTime::ZERO,
            load_sent_at: ClockTime::ZERO,
        }
    }

    /// Sets whether the engine answers. Returns the previous value.
    pub fn set_answering(&mut self, is_answering: bool) -> bool {
        std::mem::replace(&mut self.is_answering, is_answering)
    }

    /// Sets the number of requests that wait for permits, and the time to read their prompts.
    pub fn set_waiting(&mut self, issuer: &PermitIssuer) {
        self.permit_wait_ms =
            u32::try_from(issuer.pending_prefill().as_millis()).unwrap_or(u32::MAX);
        self.permits_waiting = issuer.pending_requests();
    }

    /// Sets the share of the engine's requests that fail.
    pub fn set_failing(&mut self, percent: u8) {
        self.failing_percent = percent;
    }

    /// Records a subscription. A gateway that gets no status updates of this engine is sent them directly until relays
    /// reach it.
    pub fn apply_subscription(
        &mut self,
        from: SocketAddr,
        subscription: &GatewaySubscription,
        now: ClockTime,
    ) {
        let gateway = KnownGateway {
            zone: subscription.zone.clone(),
            processor: subscription.processor,
            at: now,
        };
        self.gateways.insert(from, gateway);
        self.engines = usize::try_from(subscription.engines).unwrap_or(usize::MAX);
        if !subscription.is_heard {
            // It asks again if the last answer was lost.
            self.note_requester(from, now).is_updated = false;
        }
    }

    /// Records that a gateway waits for an adapter of this engine.
    pub fn record_requester(&mut self, gateway: SocketAddr, now: ClockTime) {
        self.note_requester(gateway, now);
    }

    fn note_requester(&mut self, gateway: SocketAddr, now: ClockTime) -> &mut StatusRequester {
        let requester = self.requesters.entry(gateway).or_insert(StatusRequester {
            requested_at: now,
            is_updated: false,
        });
        requester.requested_at = now;
        requester
    }

    /// Returns the number of engines of the service, as gateways state it.
    #[must_use]
    pub fn engines(&self) -> usize {
        self.engines
    }

    /// Sets the engine's instance, if known.
    pub fn set_instance(&mut self, instance: Option<&EndpointName>) {
        self.instance = instance.cloned();
    }

    /// Sets the engine's service, if it is certain.
    pub fn set_service(&mut self, service: Option<&PoolName>) {
        self.service = service.cloned();
    }

    /// Sends the status updates that are due.
    pub fn send_due(
        &mut self,
        outlet: &dyn MessageOutlet,
        residency: &EngineResidency,
        now: ClockTime,
    ) {
        self.gateways
            .retain(|_, gateway| now.since(gateway.at) < GATEWAY_EXPIRY);
        self.requesters
            .retain(|_, requester| now.since(requester.requested_at) < REQUESTER_EXPIRY);
        // Without a report, the only change worth sending is the loss of the engine.
        let report = residency.report().cloned();
        if report.is_none() && self.is_answering {
            return;
        }
        let status = self.status(&report.unwrap_or_default(), residency, now);
        self.send_to_requesters(outlet, &status);
        match self.due(&status, now) {
            StatusDue::Nothing => {}
            StatusDue::Load => self.send_load(outlet, &status, now),
            StatusDue::Full => self.send_full(outlet, status, now),
        }
    }

    fn send_to_requesters(&mut self, outlet: &dyn MessageOutlet, status: &EngineStatus) {
        if self.requesters.is_empty() {
            return;
        }
        let known = self.last_to_requesters.as_ref();
        if known.is_none_or(|known| with_load_of(status, known) != *known) {
            self.last_to_requesters = Some(status.clone());
            for requester in self.requesters.values_mut() {
                requester.is_updated = false;
            }
        }
        if self
            .requesters
            .values()
            .all(|requester| requester.is_updated)
        {
            return;
        }
        let status = EngineStatus {
            number: self.next_number(),
            gateways: self.next_gateways(),
            ..status.clone()
        };
        let message = InnerMessage::Status(Box::new(status));
        for (address, requester) in &mut self.requesters {
            if !std::mem::replace(&mut requester.is_updated, true) {
                outlet.send(*address, &message);
            }
        }
    }

    fn send_full(&mut self, outlet: &dyn MessageOutlet, mut status: EngineStatus, now: ClockTime) {
        status.number = self.next_number();
        self.last_sent = Some(status.clone());
        status.gateways = self.next_gateways();
        self.full_sent_at = now;
        self.load_sent_at = now;
        self.send_to_relays(outlet, EngineUpdate::Status(Box::new(status)));
    }

    fn send_load(&mut self, outlet: &dyn MessageOutlet, status: &EngineStatus, now: ClockTime) {
        let number = self.next_number();
        self.load_sent_at = now;
        if let Some(last_sent) = &mut self.last_sent {
            last_sent.load = status.load;
            last_sent.memory_used = status.memory_used;
            last_sent.permit_wait_ms = status.permit_wait_ms;
            last_sent.permits_waiting = status.permits_waiting;
            last_sent.failing_percent = status.failing_percent;
        }
        let load = LoadStatus {
            number,
            engine: self.engine,
            answers: status.answers,
            load: status.load,
            memory_used: status.memory_used,
            load_wait_ms: status.load_wait_ms,
            permit_wait_ms: status.permit_wait_ms,
            permits_waiting: status.permits_waiting,
            failing_percent: status.failing_percent,
        };
        self.send_to_relays(outlet, EngineUpdate::Load(load));
    }

    /// Sends an update to the relays of all availability zones.
    pub fn send_to_relays(&self, outlet: &dyn MessageOutlet, update: EngineUpdate) {
        let candidates = self
            .gateways
            .iter()
            .map(|(address, gateway)| RelayCandidate {
                zone: &gateway.zone,
                address: *address,
                processor: gateway.processor,
            });
        let message = InnerMessage::Spread(update);
        for relay in relays::select_relays(self.engine, candidates) {
            outlet.send(relay, &message);
        }
    }

    fn next_number(&mut self) -> MessageNumber {
        self.number.number += 1;
        self.number
    }

    fn due(&self, status: &EngineStatus, now: ClockTime) -> StatusDue {
        let Some(last_sent) = &self.last_sent else {
            return StatusDue::Full;
        };
        let since_full = now.since(self.full_sent_at);
        let has_changed = with_load_of(status, last_sent) != *last_sent;
        let is_full_due = is_urgent(last_sent, status)
            || (has_changed && since_full >= CHANGE_INTERVAL)
            || since_full >= pacing::status_repeat_interval(self.engines);
        if is_full_due {
            return StatusDue::Full;
        }
        let load_changed = last_sent.load != status.load
            || last_sent.memory_used != status.memory_used
            || last_sent.permit_wait_ms != status.permit_wait_ms
            || last_sent.permits_waiting != status.permits_waiting
            || last_sent.failing_percent != status.failing_percent;
        let load_interval = if load_changed {
            pacing::load_interval(self.engines)
        } else {
            pacing::heartbeat_interval(self.engines)
        };
        if now.since(self.load_sent_at) >= load_interval {
            StatusDue::Load
        } else {
            StatusDue::Nothing
        }
    }

    fn status(
        &self,
        report: &EngineReport,
        residency: &EngineResidency,
        now: ClockTime,
    ) -> EngineStatus {
        let wait_ms = residency.store_load_wait(now).as_millis();
        EngineStatus {
            number: self.number,
            engine: self.engine,
            service: self.service.clone(),
            instance: self.instance.clone(),
            start: report.start,
            answers: self.is_answering,
            load: EndpointLoad {
                running: report.load.running,
                waiting: report.load.waiting,
            },
            memory_used: report.memory_used,
            memory_total: report.memory_total,
            models: residency.offered_models(),
            retiring: residency.retiring().to_vec(),
            loading: residency.loading().cloned(),
            coming: report.coming.clone(),
            adapter_room: residency.adapter_room(now),
            copies: report.copies.clone(),
            draining: report.draining,
            load_wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            permit_wait_ms: self.permit_wait_ms,
            permits_waiting: self.permits_waiting,
            failing_percent: self.failing_percent,
            gateways: Vec::new(),
        }
    }

    /// Returns the gateways to list in the next full status update.
    fn next_gateways(&mut self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.gateways.keys().copied().collect();
        all.sort_unstable();
        let first = self.next_listed.checked_rem(all.len()).unwrap_or(0);
        self.next_listed = first + GATEWAYS_PER_STATUS;
        all.rotate_left(first);
        all.truncate(GATEWAYS_PER_STATUS);
        all
    }
}

/// Returns a status update with the load of another one, to compare everything else.
fn with_load_of(status: &EngineStatus, other: &EngineStatus) -> EngineStatus {
    EngineStatus {
        number: other.number,
        load: other.load,
        memory_used: other.memory_used,
        load_wait_ms: other.load_wait_ms,
        permit_wait_ms: other.permit_wait_ms,
        permits_waiting: other.permits_waiting,
        failing_percent: other.failing_percent,
        ..status.clone()
    }
}

/// Returns whether a change must reach all gateways at once, because otherwise they would send requests that the
/// engine can no longer serve, or refuse requests that it can. An additional adapter is neither; a missing one is the
/// former.
fn is_urgent(last_sent: &EngineStatus, status: &EngineStatus) -> bool {
    let changed = EngineStatus {
        service: last_sent.service.clone(),
        models: last_sent.models.clone(),
        coming: last_sent.coming.clone(),
        adapter_room: last_sent.adapter_room,
        copies: last_sent.copies.clone(),
        ..with_load_of(status, last_sent)
    };
    changed != *last_sent
        || holds_other_models(last_sent, status)
        || lacks_adapter(last_sent, status)
}

fn holds_other_models(last_sent: &EngineStatus, status: &EngineStatus) -> bool {
    let models = |status: &EngineStatus| -> Vec<ModelName> {
        let held = status.models.iter();
        held.map(|held| held.model.clone()).collect()
    };
    models(last_sent) != models(status)
}

fn lacks_adapter(last_sent: &EngineStatus, status: &EngineStatus) -> bool {
    let has = |key: &AdapterKey| {
        let held = status.models.iter().find(|held| held.model == key.model);
        held.is_some_and(|held| held.adapters.contains(&key.adapter))
    };
    !held_adapters(&last_sent.models).all(|key| has(&key))
}
