//! What gateways are told of an engine, and when.
//!
//! A change of what the engine holds goes out at once, since requests wait for it; a change of its
//! load soon; and what has not changed now and then, so that a lost pulse is made good.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::engine::{EndpointLoad, EngineReport};
use oatpier_serving::message::{EnginePulse, InnerMessage, LoadPulse, MessageNumber};
use oatpier_serving::residency::EngineResidency;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};

use crate::exchange::MessageOutlet;

/// A gateway that has not greeted for this long is told no more: three greetings.
const GATEWAY_LIFE: Duration = Duration::from_millis(1_600);

/// The least time between two pulses while only the load changes.
const LOAD_EVERY: Duration = Duration::from_millis(100);

/// The same for each gateway that is told: the more there are, the less of the load each one brings, and
/// the more each pulse costs.
const LOAD_EVERY_EACH: Duration = Duration::from_millis(12);

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

/// Sends pulses.
#[derive(Debug)]
pub struct PulseSender {
    engine: SocketAddr,
    service: Option<PoolName>,
    instance: Option<EndpointName>,
    number: MessageNumber,
    answers: bool,
    permit_wait_ms: u32,
    gateways: HashMap<SocketAddr, ClockTime>,
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
            gateways: HashMap::new(),
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

    /// The time to read the prompts that wait for permits.
    pub fn set_permit_wait(&mut self, waiting: Duration) {
        self.permit_wait_ms = u32::try_from(waiting.as_millis()).unwrap_or(u32::MAX);
    }

    /// A gateway greeted. A new one is told at once.
    pub fn note_gateway(&mut self, gateway: SocketAddr, now: ClockTime) {
        if self.gateways.insert(gateway, now).is_none() {
            self.last = None;
        }
    }

    /// Which instance the engine is, as far as known.
    pub fn set_instance(&mut self, instance: Option<&EndpointName>) {
        self.instance = instance.cloned();
    }

    /// Sends a pulse to all gateways if one is due.
    pub fn send_due(
        &mut self,
        outlet: &dyn MessageOutlet,
        residency: &EngineResidency,
        now: ClockTime,
    ) {
        self.gateways
            .retain(|_, greeted| now.since(*greeted) < GATEWAY_LIFE);
        // Without a report there is only something to say when the engine is lost.
        let report = residency.report().cloned();
        if report.is_none() && self.answers {
            return;
        }
        let pulse = self.pulse(&report.unwrap_or_default(), residency, now);
        match self.due(&pulse, now) {
            PulseDue::Nothing => {}
            PulseDue::Load => self.send_load(outlet, &pulse, now),
            PulseDue::Whole => self.send_whole(outlet, pulse, now),
        }
    }

    fn send_whole(&mut self, outlet: &dyn MessageOutlet, mut pulse: EnginePulse, now: ClockTime) {
        self.number.number += 1;
        pulse.number = self.number;
        self.last = Some(pulse.clone());
        pulse.gateways = self.named_gateways();
        self.whole_at = now;
        self.load_at = now;
        let message = InnerMessage::Pulse(Box::new(pulse));
        for gateway in self.gateways.keys() {
            outlet.send(*gateway, &message);
        }
    }

    fn send_load(&mut self, outlet: &dyn MessageOutlet, pulse: &EnginePulse, now: ClockTime) {
        self.number.number += 1;
        self.load_at = now;
        if let Some(last) = &mut self.last {
            last.load = pulse.load;
            last.memory_used = pulse.memory_used;
            last.permit_wait_ms = pulse.permit_wait_ms;
        }
        let message = InnerMessage::Load(LoadPulse {
            number: self.number,
            engine: self.engine,
            load: pulse.load,
            memory_used: pulse.memory_used,
            load_wait_ms: pulse.load_wait_ms,
            permit_wait_ms: pulse.permit_wait_ms,
        });
        for gateway in self.gateways.keys() {
            outlet.send(*gateway, &message);
        }
    }

    fn due(&self, pulse: &EnginePulse, now: ClockTime) -> PulseDue {
        let Some(last) = &self.last else {
            return PulseDue::Whole;
        };
        let same_load = EnginePulse {
            number: last.number,
            load: last.load,
            memory_used: last.memory_used,
            load_wait_ms: last.load_wait_ms,
            permit_wait_ms: last.permit_wait_ms,
            ..pulse.clone()
        };
        if same_load != *last || now.since(self.whole_at) >= WHOLE_EVERY {
            return PulseDue::Whole;
        }
        let load_changed = last.load != pulse.load
            || last.memory_used != pulse.memory_used
            || last.permit_wait_ms != pulse.permit_wait_ms;
        let gateways = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        let load_every = (LOAD_EVERY_EACH * gateways).max(LOAD_EVERY);
        if load_changed && now.since(self.load_at) >= load_every {
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
