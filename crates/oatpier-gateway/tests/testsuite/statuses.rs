//! Status updates that sidecars send to gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_gateway::sidecar::statuses::StatusSender;
use oatpier_serving::engine::{EngineReport, HeldModel};
use oatpier_serving::message::{EngineStatus, EngineUpdate, GatewaySubscription, InnerMessage};
use oatpier_serving::residency::{EngineResidency, LoadPace};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, ModelName, ZoneName};

use crate::support::RecordingOutlet;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_380))
}

fn residency() -> EngineResidency {
    let pace = LoadPace {
        loads: 4,
        engines: 4,
        index: 0,
        window: Duration::from_secs(5),
    };
    let mut residency = EngineResidency::new(pace, true, ClockTime::ZERO);
    residency.apply_report(EngineReport::default());
    residency
}

fn subscription(zone: &str, is_heard: bool) -> GatewaySubscription {
    GatewaySubscription {
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

/// Reports an engine that holds a model with these adapters.
fn report_adapters(residency: &mut EngineResidency, adapters: &[&str]) {
    let adapters = adapters.iter().map(|name| adapter_name(name));
    residency.apply_report(EngineReport {
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

/// Returns the full status updates that were sent, with their receivers.
fn sent_full_statuses(outlet: &RecordingOutlet) -> Vec<(SocketAddr, EngineStatus)> {
    let status = |(to, message): (SocketAddr, InnerMessage)| match message {
        InnerMessage::Status(status) | InnerMessage::Spread(EngineUpdate::Status(status)) => {
            Some((to, *status))
        }
        _ => None,
    };
    outlet.sent().into_iter().filter_map(status).collect()
}

/// Many gateways send subscriptions to a sidecar. If each status update listed all of them, the traffic at each
/// gateway would grow with the square of their number. Each status update lists a few, and all gateways are listed
/// within some status updates.
#[test]
fn status_updates_list_gateways_in_rotation() {
    let outlet = RecordingOutlet::default();
    let mut sender = StatusSender::new(address(200));
    sender.set_answering(true);
    let residency = residency();
    for second in 1..=5 {
        let now = ClockTime::from_millis(second * 1_000);
        for number in 0..60 {
            sender.apply_subscription(address(number), &subscription("near", true), now);
        }
        sender.send_due(&outlet, &residency, now);
    }
    let mut listed: Vec<SocketAddr> = Vec::new();
    for (_, message) in outlet.sent() {
        if let InnerMessage::Spread(EngineUpdate::Status(status)) = message {
            assert!(status.gateways.len() <= 16);
            listed.extend(status.gateways);
        }
    }
    listed.sort_unstable();
    listed.dedup();
    assert_eq!(listed.len(), 60);
}

/// 60 gateways in three availability zones send subscriptions to a sidecar. It sends its status update to two in each
/// zone, whatever their number.
#[test]
fn status_update_goes_to_two_gateways_of_each_zone() {
    let outlet = RecordingOutlet::default();
    let mut sender = StatusSender::new(address(200));
    sender.set_answering(true);
    for number in 0..60 {
        let zone = ["a", "b", "c"][usize::from(number % 3)];
        sender.apply_subscription(address(number), &subscription(zone, true), at(1_000));
    }
    sender.send_due(&outlet, &residency(), at(1_000));
    let sent = sent_full_statuses(&outlet);
    assert_eq!(sent.len(), 6);
    let mut zones: Vec<u8> = sent
        .iter()
        .map(|(to, _)| match to {
            SocketAddr::V4(to) => to.ip().octets()[3] % 3,
            SocketAddr::V6(_) => panic!("the test uses only IPv4 addresses"),
        })
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, vec![0, 0, 1, 1, 2, 2]);
}

/// A gateway that has just started, or whose relays are gone, gets no status updates of an engine and would assume
/// that the engine has no sidecar. Its subscription says so, and the sidecar sends it status updates directly.
#[test]
fn gateway_without_status_updates_is_sent_them_directly() {
    let outlet = RecordingOutlet::default();
    let mut sender = StatusSender::new(address(200));
    sender.set_answering(true);
    for number in 0..9 {
        sender.apply_subscription(address(number), &subscription("near", true), at(1_000));
    }
    let residency = residency();
    sender.send_due(&outlet, &residency, at(1_000));
    for number in 0..9 {
        sender.apply_subscription(address(number), &subscription("near", false), at(1_100));
    }
    sender.send_due(&outlet, &residency, at(1_100));
    let sent = outlet
        .sent()
        .into_iter()
        .filter(|(_, message)| matches!(message, InnerMessage::Status(_)));
    assert_eq!(sent.count(), 9);
}

/// Guards against status updates that grow with the square of the gateways when all of them start: each one that asked made
/// the sidecar send its status to all that had asked shortly before.
#[test]
fn gateways_that_ask_one_after_the_other_get_one_status_each() {
    for gateways in [50_u8, 100, 200] {
        let outlet = RecordingOutlet::default();
        let mut sender = StatusSender::new(address(201));
        sender.set_answering(true);
        let residency = residency();
        for number in 0..gateways {
            let now = at(1_000 + u64::from(number));
            sender.apply_subscription(address(number), &subscription("near", false), now);
            sender.send_due(&outlet, &residency, now);
        }
        let direct = outlet
            .sent()
            .into_iter()
            .filter(|(_, message)| matches!(message, InnerMessage::Status(_)));
        assert_eq!(direct.count(), usize::from(gateways));
    }
}

/// An adapter is loaded for a request of one gateway, which waits for it. That gateway is notified at once, the others
/// with the next full status update. The loss of an adapter is sent to all at once; otherwise they would send requests
/// that the engine rejects.
#[test]
fn a_new_adapter_is_sent_at_once_to_its_requester_and_a_lost_one_to_all() {
    let outlet = RecordingOutlet::default();
    let mut sender = StatusSender::new(address(200));
    sender.set_answering(true);
    sender.apply_subscription(address(1), &subscription("near", true), at(1_000));
    let mut residency = residency();
    report_adapters(&mut residency, &["a1"]);
    sender.send_due(&outlet, &residency, at(1_000));
    sender.record_requester(address(2), at(1_010));
    report_adapters(&mut residency, &["a1", "a2"]);
    sender.send_due(&outlet, &residency, at(1_020));
    report_adapters(&mut residency, &["a2"]);
    sender.send_due(&outlet, &residency, at(1_040));
    let sent = sent_full_statuses(&outlet);
    let adapters = |to: SocketAddr| -> Vec<Vec<AdapterName>> {
        let received = sent.iter().filter(|row| row.0 == to);
        received
            .map(|row| row.1.models[0].adapters.clone())
            .collect()
    };
    let (first, second) = (adapter_name("a1"), adapter_name("a2"));
    assert_eq!(
        adapters(address(2)),
        vec![vec![first.clone(), second.clone()], vec![second.clone()]]
    );
    assert_eq!(adapters(address(1)), vec![vec![first], vec![second]]);
}
