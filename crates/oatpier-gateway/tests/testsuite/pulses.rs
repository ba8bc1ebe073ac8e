//! What sidecars tell gateways.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_gateway::sidecar::pulses::PulseSender;
use oatpier_serving::engine::EngineReport;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::residency::{EngineResidency, LoadPace};
use oatpier_types::clock::ClockTime;

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
            sender.note_gateway(address(number), now);
        }
        sender.send_due(&outlet, &residency, now);
    }
    let mut named: Vec<SocketAddr> = Vec::new();
    for (_, message) in outlet.sent() {
        if let InnerMessage::Pulse(pulse) = message {
            assert!(pulse.gateways.len() <= 16);
            named.extend(pulse.gateways);
        }
    }
    named.sort_unstable();
    named.dedup();
    assert_eq!(named.len(), 60);
}
