//! Tests of gateway membership and the choice of the planner.

use std::net::SocketAddr;

use oatpier_serving::message::{ConfigStatus, MessageNumber, ModelDemand, PeerReport};
use oatpier_serving::peers::{PeerTable, ReportAddresses};
use oatpier_types::names::DaemonName;

use crate::support::{address, at, millis, model, zone};

/// Interval between the reports of a gateway. Three are missing after 2.25 s.
const EVERY_MS: u32 = 750;

fn report(number: u64, leaving: bool, running: f32) -> PeerReport {
    PeerReport {
        number: MessageNumber { boot: 1, number },
        name: DaemonName::try_from("g").unwrap(),
        zone: zone("near"),
        every_ms: EVERY_MS,
        processor: 100,
        is_behind: false,
        leaving,
        engines_heard: 8,
        config: ConfigStatus::default(),
        is_partial: false,
        demand: vec![ModelDemand {
            model: model("m1"),
            running,
            sent: 0.0,
            unserved: 0.0,
            asked_fast: 0.0,
            asked_slow: 0.0,
            asked_long: 0.0,
            adapters: 0,
            idle_ms: 10,
        }],
        uses: Vec::new(),
    }
}

fn table(own: u8, others: &[u8]) -> PeerTable {
    let mut table = PeerTable::new(address(own), 100);
    table.set_own(8, false);
    for other in others {
        table.apply_report(address(*other), report(1, false, 2.0), at(0));
    }
    table
}

#[test]
fn lowest_address_among_equals_plans_while_it_is_live() {
    let table = table(2, &[1, 3]);
    assert_eq!(table.planner(at(500)), address(1));
    assert_eq!(table.planner(at(3_000)), address(2));
}

/// A leaving gateway must not plan: no planner would follow up on its last advice.
#[test]
fn leaving_gateway_does_not_plan() {
    let mut table = table(2, &[1]);
    table.apply_report(address(1), report(2, true, 0.0), at(100));
    assert_eq!(table.planner(at(200)), address(2));
}

#[test]
fn demand_is_summed_over_live_gateways() {
    let table = table(2, &[1, 3]);
    assert!((table.total_demand(&[], at(100))[&model("m1")].running - 4.0).abs() < 1e-6);
    let later = table.total_demand(&[], at(5_000));
    assert!(later[&model("m1")].running.abs() < 1e-6);
    assert_eq!(later[&model("m1")].idle, Some(millis(5_000)));
}

#[test]
fn late_report_is_ignored() {
    let mut table = table(2, &[]);
    table.apply_report(address(1), report(5, false, 1.0), at(0));
    table.apply_report(address(1), report(4, false, 9.0), at(10));
    assert!((table.total_demand(&[], at(20))[&model("m1")].running - 1.0).abs() < 1e-6);
}

#[test]
fn gateway_named_by_a_sidecar_is_sent_reports_until_it_expires() {
    let mut table = table(2, &[]);
    let named: [SocketAddr; 2] = [address(1), address(2)];
    table.note_named(&named, at(0));
    assert_eq!(
        table.addresses(&zone("near"), at(1_000)).unreported,
        vec![address(1)]
    );
    let later = table.addresses(&zone("near"), at(10_000));
    assert_eq!(later, ReportAddresses::default());
}

/// Sending the full demand to every gateway would cost bytes and CPU time that grow with the square of
/// their number. Only the planner and its successor receive it, and a gateway whose reports are missing is
/// not one of them.
#[test]
fn only_the_planner_and_its_successor_receive_the_demand() {
    let mut table = table(9, &[1, 2, 3, 4, 5]);
    table.apply_report(address(2), report(2, false, 0.0), at(2_600));
    table.apply_report(address(4), report(2, false, 0.0), at(2_600));
    let addresses = table.addresses(&zone("near"), at(3_000));
    assert_eq!(addresses.readers, vec![address(2), address(4)]);
    assert_eq!(addresses.near.len() + addresses.far.len(), 3);
}

/// All processes were restarted, and the gateway with the lowest address started last. It receives updates
/// from two of eight engines and would regard the others as busy while their models are in demand. It plans
/// only when it receives updates from nearly as many engines as the others.
#[test]
fn gateway_with_updates_from_few_engines_does_not_plan() {
    let mut table = table(2, &[]);
    let mut late = report(2, false, 0.0);
    late.engines_heard = 2;
    table.apply_report(address(1), late.clone(), at(100));
    assert_eq!(table.planner(at(150)), address(2));
    late.number.number = 3;
    late.engines_heard = 7;
    table.apply_report(address(1), late, at(200));
    assert_eq!(table.planner(at(250)), address(1));
}

/// The gateway is partitioned from the sidecars, but not from its peers. As the planner it would know of no
/// engine that could load a model.
#[test]
fn gateway_partitioned_from_sidecars_does_not_plan() {
    let mut table = table(1, &[2, 3]);
    table.set_own(0, false);
    assert_eq!(table.planner(at(100)), address(2));
}

/// The gateway with the lowest address is on the smallest VM. A planning round takes it 200 ms, during
/// which no model is loaded anywhere. A gateway with five times the CPU allotment plans instead.
#[test]
fn gateway_with_the_largest_cpu_allotment_plans() {
    let mut table = table(1, &[2]);
    let strong = PeerReport {
        processor: 500,
        ..report(1, false, 0.0)
    };
    table.apply_report(address(9), strong.clone(), at(0));
    assert_eq!(table.planner(at(100)), address(9));
    // The gateway is overloaded, so its advice would be late.
    let behind = PeerReport {
        number: MessageNumber { boot: 1, number: 2 },
        is_behind: true,
        ..strong
    };
    table.apply_report(address(9), behind, at(200));
    assert_eq!(table.planner(at(300)), address(1));
}

/// The planner is killed. Gateways of other zones receive its reports as often as those of its own zone, so
/// the next planner takes over within three report intervals in all zones.
#[test]
fn successor_plans_soon_after_the_planner_fails() {
    let table = table(2, &[1]);
    assert!(table.receives_demand(at(100)));
    assert_eq!(table.planner(at(2_300)), address(1));
    assert_eq!(table.planner(at(2_500)), address(2));
}

/// Requests for one model cannot be served. The planner receives the demand for that model immediately, and
/// its data about other models is kept.
#[test]
fn partial_report_replaces_only_the_models_it_lists() {
    let mut table = table(2, &[1]);
    let mut pressed = report(2, false, 0.0);
    pressed.is_partial = true;
    pressed.demand[0].model = model("m2");
    pressed.demand[0].unserved = 3.0;
    table.apply_report(address(1), pressed, at(50));
    let total = table.total_demand(&[], at(100));
    assert!((total[&model("m1")].running - 2.0).abs() < 1e-6);
    assert!((total[&model("m2")].unserved - 3.0).abs() < 1e-6);
}

/// Sidecars have named sixty other gateways to one that has just started, and none of them has reported
/// yet. The gateway must take only its part of the shared rates, not all of it.
#[test]
fn gateways_only_named_by_sidecars_are_counted() {
    let mut table = PeerTable::new(address(1), 100);
    let named: Vec<SocketAddr> = (2..62).map(address).collect();
    table.note_named(&named, at(0));
    assert_eq!(table.count(at(10)), 61);
}

#[test]
fn gateways_of_other_zones_are_listed_separately() {
    let mut table = table(1, &[2, 3, 4]);
    let far = PeerReport {
        zone: zone("far"),
        ..report(2, false, 0.0)
    };
    table.apply_report(address(5), far, at(0));
    let addresses = table.addresses(&zone("near"), at(10));
    assert_eq!(addresses.near, vec![address(4)]);
    assert_eq!(addresses.far, vec![address(5)]);
    let mut near: Vec<SocketAddr> = table.in_zone(&zone("near"), at(10)).collect();
    near.sort_unstable();
    assert_eq!(near, vec![address(2), address(3), address(4)]);
}
