//! What sidecars tell gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_gateway::sidecar::pulses::PulseSender;
use oatpier_serving::engine::{EngineReport, HeldModel};
use oatpier_serving::message::{EnginePulse, EngineWord, GatewayGreeting, InnerMessage};
use oatpier_serving::residency::{EngineResidency, LoadPace};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, ModelName, ZoneName};

use crate::support::KeptOutlet;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_380))
}

fn residency() -> EngineResidency {
    let pace = LoadPace {
        loads: 4,
        engines: 4,
        place: 0,
        window: Duration::from_secs(5),
    };
    let mut residency = EngineResidency::new(pace, true, ClockTime::ZERO);
    residency.take_report(EngineReport::default());
    residency
}

fn greeting(zone: &str, is_heard: bool) -> GatewayGreeting {
    GatewayGreeting {
        zone: ZoneName::try_from(zone).unwrap(),
        processor: 100,
        is_heard,
        used: Vec::new(),
        engines: 4,
        place: 0,
        loads_per_window: 4,
        adapter_slots: 4,
        health_path: Arc::from("/health"),
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Reports of an engine that holds a model with these adapters.
fn holding(residency: &mut EngineResidency, adapters: &[&str]) {
    let adapters = adapters.iter().map(|name| adapter_name(name));
    residency.take_report(EngineReport {
        models: vec![HeldModel {
            model: ModelName::try_from("m1").unwrap(),
            adapters: adapters.collect(),
        }],
        ..EngineReport::default()
    });
}

fn adapter_name(name: &str) -> AdapterName {
    AdapterName::try_from(name).unwrap()
}

/// Whole pulses that were sent, with their receivers.
fn whole(outlet: &KeptOutlet) -> Vec<(SocketAddr, EnginePulse)> {
    let pulse = |(to, message): (SocketAddr, InnerMessage)| match message {
        InnerMessage::Pulse(pulse) | InnerMessage::Spread(EngineWord::Pulse(pulse)) => {
            Some((to, *pulse))
        }
        _ => None,
    };
    outlet.sent().into_iter().filter_map(pulse).collect()
}

/// Many gateways greet a sidecar. Pulses that named all of them would cost each gateway bytes with the
/// square of their number. Each names a few, and within some pulses each gateway was named.
#[test]
fn pulses_name_gateways_in_turn() {
    let outlet = KeptOutlet::default();
    let mut sender = PulseSender::new(address(200), None);
    sender.set_answers(true);
    let residency = residency();
    for second in 1..=5 {
        let now = ClockTime::from_millis(second * 1_000);
        for number in 0..60 {
            sender.take_greeting(address(number), &greeting("near", true), now);
        }
        sender.send_due(&outlet, &residency, now);
    }
    let mut named: Vec<SocketAddr> = Vec::new();
    for (_, message) in outlet.sent() {
        if let InnerMessage::Spread(EngineWord::Pulse(pulse)) = message {
            assert!(pulse.gateways.len() <= 16);
            named.extend(pulse.gateways);
        }
    }
    named.sort_unstable();
    named.dedup();
    assert_eq!(named.len(), 60);
}

/// The load: 60 gateways in three zones greet a sidecar. It tells two of each zone, whatever their number.
#[test]
fn a_pulse_goes_to_two_gateways_of_each_zone() {
    let outlet = KeptOutlet::default();
    let mut sender = PulseSender::new(address(200), None);
    sender.set_answers(true);
    for number in 0..60 {
        let zone = ["a", "b", "c"][usize::from(number % 3)];
        sender.take_greeting(address(number), &greeting(zone, true), at(1_000));
    }
    sender.send_due(&outlet, &residency(), at(1_000));
    let told = whole(&outlet);
    assert_eq!(told.len(), 6);
    let mut zones: Vec<u8> = told
        .iter()
        .map(|(to, _)| match to {
            SocketAddr::V4(to) => to.ip().octets()[3] % 3,
            SocketAddr::V6(_) => panic!("an address of the test is no IPv4 address"),
        })
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, vec![0, 0, 1, 1, 2, 2]);
}

/// A gateway that has just started, or whose relays are gone, hears nothing of an engine and would take it for
/// one without a sidecar. It says so when it greets, and is told directly.
#[test]
fn a_gateway_that_hears_nothing_is_told_directly() {
    let outlet = KeptOutlet::default();
    let mut sender = PulseSender::new(address(200), None);
    sender.set_answers(true);
    for number in 0..9 {
        sender.take_greeting(address(number), &greeting("near", true), at(1_000));
    }
    let residency = residency();
    sender.send_due(&outlet, &residency, at(1_000));
    for number in 0..9 {
        sender.take_greeting(address(number), &greeting("near", false), at(1_100));
    }
    sender.send_due(&outlet, &residency, at(1_100));
    let told = outlet
        .sent()
        .into_iter()
        .filter(|(_, message)| matches!(message, InnerMessage::Pulse(_)));
    assert_eq!(told.count(), 9);
}

/// An adapter is loaded for one gateway's request, which waits for it: that gateway hears of it at once, the
/// others with the next whole pulse. When an adapter goes, all hear of it at once, or they would send
/// requests that the engine turns away.
#[test]
fn a_new_adapter_is_told_to_who_waits_for_it_and_a_lost_one_to_all() {
    let outlet = KeptOutlet::default();
    let mut sender = PulseSender::new(address(200), None);
    sender.set_answers(true);
    sender.take_greeting(address(1), &greeting("near", true), at(1_000));
    let mut residency = residency();
    holding(&mut residency, &["a1"]);
    sender.send_due(&outlet, &residency, at(1_000));
    sender.note_asker(address(2), at(1_010));
    holding(&mut residency, &["a1", "a2"]);
    sender.send_due(&outlet, &residency, at(1_020));
    holding(&mut residency, &["a2"]);
    sender.send_due(&outlet, &residency, at(1_040));
    let told = whole(&outlet);
    let adapters = |to: SocketAddr| -> Vec<Vec<AdapterName>> {
        let to_it = told.iter().filter(|row| row.0 == to);
        to_it.map(|row| row.1.models[0].adapters.clone()).collect()
    };
    let (first, second) = (adapter_name("a1"), adapter_name("a2"));
    assert_eq!(
        adapters(address(2)),
        vec![vec![first.clone(), second.clone()], vec![second.clone()]]
    );
    assert_eq!(adapters(address(1)), vec![vec![first], vec![second]]);
}
