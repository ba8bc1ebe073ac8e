//! What gateways are told of an engine, and when.
//!
//! Words go to two relays in each availability zone, which pass them on; see
//! [`oatpier_serving::relays`]. What makes a gateway send elsewhere goes out at once, and a change of load
//! soon. What only makes a place a little better, an adapter more, is told at once to the gateways that have
//! just asked for one, since their requests wait for it, and to the others with the next whole pulse. What
//! has not changed is told now and then, so that a lost pulse is made good.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::engine::{AdapterKey, EndpointLoad, EngineReport};
use oatpier_serving::message::{
    EnginePulse, EngineWord, GatewayGreeting, InnerMessage, LoadPulse, MessageNumber,
};
use oatpier_serving::permits::PermitDesk;
use oatpier_serving::relays::{self, RelayCandidate};
use oatpier_serving::residency::{EngineResidency, held_adapters};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName, PoolName, ZoneName};

use crate::exchange::MessageOutlet;

/// A gateway that has not greeted for this long is no relay any more and is named to nobody: two greetings
/// and a half.
const GATEWAY_LIFE: Duration = Duration::from_secs(5);

/// A gateway is told of changes directly for this long after it asked for an adapter, or greeted as one that
/// hears nothing: it repeats both several times within it.
const ASKER_LIFE: Duration = Duration::from_millis(400);

/// The least time between two pulses while only the load changes.
const LOAD_EVERY: Duration = Duration::from_millis(100);

/// The time between two whole pulses while nothing changes.
const WHOLE_EVERY: Duration = Duration::from_millis(800);

/// Gateways that one whole pulse names, in turn. Naming all of them made the bytes grow with the square of
/// their number: 610 KB a second at each of 130 gateways. A gateway hears all sidecars, each at another
/// place of its turn, so it still learns of all others within a pulse or two.
const NAMED_GATEWAYS: usize = 16;

/// What gateways are to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PulseDue {
    Nothing,
    Load,
    Whole,
}

/// A gateway that greets.
#[derive(Debug)]
struct GreetedGateway {
    zone: ZoneName,
    processor: u32,
    at: ClockTime,
}

/// Sends pulses.
#[derive(Debug)]
pub struct PulseSender {
    engine: SocketAddr,
    service: Option<PoolName>,
    instance: Option<EndpointName>,
    number: MessageNumber,
    answers: bool,
    permit_wait_ms: u32,
    permits_waiting: u32,
    failing_percent: u8,
    gateways: HashMap<SocketAddr, GreetedGateway>,
    /// Gateways that wait for something here, and since when.
    askers: HashMap<SocketAddr, ClockTime>,
    /// What the askers were told last.
    asked_last: Option<EnginePulse>,
    /// Where the next whole pulse goes on naming gateways.
    next_named: usize,
    last: Option<EnginePulse>,
    whole_at: ClockTime,
    load_at: ClockTime,
}

impl PulseSender {
    /// A sender for the engine of a service at an address.
    #[must_use]
    pub fn new(engine: SocketAddr, service: Option<PoolName>) -> Self {
        Self {
            engine,
            service,
            instance: None,
            number: MessageNumber {
                boot: rand::random(),
                number: 0,
            },
            answers: false,
            permit_wait_ms: 0,
            permits_waiting: 0,
            failing_percent: 0,
            gateways: HashMap::new(),
            askers: HashMap::new(),
            asked_last: None,
            next_named: rand::random_range(0..NAMED_GATEWAYS * NAMED_GATEWAYS),
            last: None,
            whole_at: ClockTime::ZERO,
            load_at: ClockTime::ZERO,
        }
    }

    /// Whether the engine answers; gives back what was known before.
    pub fn set_answers(&mut self, answers: bool) -> bool {
        std::mem::replace(&mut self.answers, answers)
    }

    /// What waits for permits.
    pub fn set_waiting(&mut self, desk: &PermitDesk) {
        self.permit_wait_ms = u32::try_from(desk.waiting().as_millis()).unwrap_or(u32::MAX);
        self.permits_waiting = desk.waiting_requests();
    }

    /// The share of the engine's requests that fails.
    pub fn set_failing(&mut self, percent: u8) {
        self.failing_percent = percent;
    }

    /// A gateway greeted. One that hears nothing of this engine is told directly, until relays reach it.
    pub fn take_greeting(&mut self, from: SocketAddr, greeting: &GatewayGreeting, now: ClockTime) {
        let gateway = GreetedGateway {
            zone: greeting.zone.clone(),
            processor: greeting.processor,
            at: now,
        };
        self.gateways.insert(from, gateway);
        if !greeting.is_heard {
            self.note_asker(from, now);
        }
    }

    /// A gateway waits for an adapter here.
    pub fn note_asker(&mut self, gateway: SocketAddr, now: ClockTime) {
        if self.askers.insert(gateway, now).is_none() {
            self.asked_last = None;
        }
    }

    /// Which instance the engine is, as far as known.
    pub fn set_instance(&mut self, instance: Option<&EndpointName>) {
        self.instance = instance.cloned();
    }

    /// Sends what is due.
    pub fn send_due(
        &mut self,
        outlet: &dyn MessageOutlet,
        residency: &EngineResidency,
        now: ClockTime,
    ) {
        self.gateways
            .retain(|_, greeted| now.since(greeted.at) < GATEWAY_LIFE);
        self.askers
            .retain(|_, asked_at| now.since(*asked_at) < ASKER_LIFE);
        // Without a report there is only something to say when the engine is lost.
        let report = residency.report().cloned();
        if report.is_none() && self.answers {
            return;
        }
        let pulse = self.pulse(&report.unwrap_or_default(), residency, now);
        self.tell_askers(outlet, &pulse);
        match self.due(&pulse, now) {
            PulseDue::Nothing => {}
            PulseDue::Load => self.send_load(outlet, &pulse, now),
            PulseDue::Whole => self.send_whole(outlet, pulse, now),
        }
    }

    fn tell_askers(&mut self, outlet: &dyn MessageOutlet, pulse: &EnginePulse) {
        if self.askers.is_empty() {
            return;
        }
        let known = self.asked_last.as_ref();
        if known.is_some_and(|known| with_load_of(pulse, known) == *known) {
            return;
        }
        let pulse = EnginePulse {
            number: self.next_number(),
            ..pulse.clone()
        };
        self.asked_last = Some(pulse.clone());
        let message = InnerMessage::Pulse(Box::new(pulse));
        for asker in self.askers.keys() {
            outlet.send(*asker, &message);
        }
    }

    fn send_whole(&mut self, outlet: &dyn MessageOutlet, mut pulse: EnginePulse, now: ClockTime) {
        pulse.number = self.next_number();
        self.last = Some(pulse.clone());
        pulse.gateways = self.named_gateways();
        self.whole_at = now;
        self.load_at = now;
        self.tell_relays(outlet, EngineWord::Pulse(Box::new(pulse)));
    }

    fn send_load(&mut self, outlet: &dyn MessageOutlet, pulse: &EnginePulse, now: ClockTime) {
        let number = self.next_number();
        self.load_at = now;
        if let Some(last) = &mut self.last {
            last.load = pulse.load;
            last.memory_used = pulse.memory_used;
            last.permit_wait_ms = pulse.permit_wait_ms;
            last.permits_waiting = pulse.permits_waiting;
            last.failing_percent = pulse.failing_percent;
        }
        let load = LoadPulse {
            number,
            engine: self.engine,
            load: pulse.load,
            memory_used: pulse.memory_used,
            load_wait_ms: pulse.load_wait_ms,
            permit_wait_ms: pulse.permit_wait_ms,
            permits_waiting: pulse.permits_waiting,
            failing_percent: pulse.failing_percent,
        };
        self.tell_relays(outlet, EngineWord::Load(load));
    }

    fn tell_relays(&self, outlet: &dyn MessageOutlet, word: EngineWord) {
        let candidates = self
            .gateways
            .iter()
            .map(|(address, gateway)| RelayCandidate {
                zone: &gateway.zone,
                address: *address,
                processor: gateway.processor,
            });
        let message = InnerMessage::Spread(word);
        for relay in relays::draw(self.engine, candidates) {
            outlet.send(relay, &message);
        }
    }

    fn next_number(&mut self) -> MessageNumber {
        self.number.number += 1;
        self.number
    }

    fn due(&self, pulse: &EnginePulse, now: ClockTime) -> PulseDue {
        let Some(last) = &self.last else {
            return PulseDue::Whole;
        };
        if is_urgent(last, pulse) || now.since(self.whole_at) >= WHOLE_EVERY {
            return PulseDue::Whole;
        }
        let load_changed = last.load != pulse.load
            || last.memory_used != pulse.memory_used
            || last.permit_wait_ms != pulse.permit_wait_ms
            || last.permits_waiting != pulse.permits_waiting
            || last.failing_percent != pulse.failing_percent;
        if load_changed && now.since(self.load_at) >= LOAD_EVERY {
            PulseDue::Load
        } else {
            PulseDue::Nothing
        }
    }

    fn pulse(
        &self,
        report: &EngineReport,
        residency: &EngineResidency,
        now: ClockTime,
    ) -> EnginePulse {
        let wait_ms = residency.store_load_wait(now).as_millis();
        EnginePulse {
            number: self.number,
            engine: self.engine,
            service: self.service.clone(),
            instance: self.instance.clone(),
            start: report.start,
            answers: self.answers,
            load: EndpointLoad {
                running: report.load.running,
                waiting: report.load.waiting,
            },
            memory_used: report.memory_used,
            memory_total: report.memory_total,
            models: residency.offered(),
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

    /// The gateways that the next whole pulse names.
    fn named_gateways(&mut self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.gateways.keys().copied().collect();
        all.sort_unstable();
        let first = self.next_named.checked_rem(all.len()).unwrap_or(0);
        self.next_named = first + NAMED_GATEWAYS;
        all.rotate_left(first);
        all.truncate(NAMED_GATEWAYS);
        all
    }
}

/// A pulse with another one's load, to see whether they differ in anything else.
fn with_load_of(pulse: &EnginePulse, other: &EnginePulse) -> EnginePulse {
    EnginePulse {
        number: other.number,
        load: other.load,
        memory_used: other.memory_used,
        load_wait_ms: other.load_wait_ms,
        permit_wait_ms: other.permit_wait_ms,
        permits_waiting: other.permits_waiting,
        failing_percent: other.failing_percent,
        ..pulse.clone()
    }
}

/// Whether a change must reach all gateways at once: they would send what the engine can no longer take, or
/// refuse what it can. An adapter more is neither; one less is the first.
fn is_urgent(last: &EnginePulse, pulse: &EnginePulse) -> bool {
    let changed = EnginePulse {
        models: last.models.clone(),
        coming: last.coming.clone(),
        adapter_room: last.adapter_room,
        copies: last.copies.clone(),
        ..with_load_of(pulse, last)
    };
    changed != *last || holds_other_models(last, pulse) || lacks_adapter(last, pulse)
}

fn holds_other_models(last: &EnginePulse, pulse: &EnginePulse) -> bool {
    let models = |pulse: &EnginePulse| -> Vec<ModelName> {
        let held = pulse.models.iter();
        held.map(|held| held.model.clone()).collect()
    };
    models(last) != models(pulse)
}

fn lacks_adapter(last: &EnginePulse, pulse: &EnginePulse) -> bool {
    let has = |key: &AdapterKey| {
        let held = pulse.models.iter().find(|held| held.model == key.model);
        held.is_some_and(|held| held.adapters.contains(&key.adapter))
    };
    !held_adapters(&last.models).all(|key| has(&key))
}
