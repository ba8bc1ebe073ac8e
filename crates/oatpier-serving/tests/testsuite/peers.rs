//! Which gateways there are, and which of them plans.

use std::net::SocketAddr;

use oatpier_serving::message::{ConfigStanding, MessageNumber, ModelDemand, PeerReport};
use oatpier_serving::peers::PeerBook;
use oatpier_types::names::DaemonName;

use crate::support::{address, at, millis, model, zone};

/// From one report of a gateway to its next; three are missing after 2.25 s.
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
        config: ConfigStanding::default(),
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

fn book(own: u8, others: &[u8]) -> PeerBook {
    let mut book = PeerBook::new(address(own), 100);
    book.note_own(8, false);
    for other in others {
        book.take_report(address(*other), report(1, false, 2.0), at(0));
    }
    book
}

#[test]
fn the_lowest_address_of_equals_plans_while_it_is_heard_of() {
    let book = book(2, &[1, 3]);
    assert_eq!(book.planner(at(500)), address(1));
    assert_eq!(book.planner(at(3_000)), address(2));
}

/// A gateway on its way out must not plan: its last advice would be followed by nobody's.
#[test]
fn a_gateway_that_leaves_does_not_plan() {
    let mut book = book(2, &[1]);
    book.take_report(address(1), report(2, true, 0.0), at(100));
    assert_eq!(book.planner(at(200)), address(2));
}

#[test]
fn demand_is_summed_over_those_heard_of() {
    let book = book(2, &[1, 3]);
    assert!((book.total(&[], at(100))[&model("m1")].running - 4.0).abs() < 1e-6);
    let later = book.total(&[], at(5_000));
    assert!(later[&model("m1")].running.abs() < 1e-6);
    assert_eq!(later[&model("m1")].idle, Some(millis(5_000)));
}

#[test]
fn a_late_report_changes_nothing() {
    let mut book = book(2, &[]);
    book.take_report(address(1), report(5, false, 1.0), at(0));
    book.take_report(address(1), report(4, false, 9.0), at(10));
    assert!((book.total(&[], at(20))[&model("m1")].running - 1.0).abs() < 1e-6);
}

#[test]
fn a_gateway_that_a_sidecar_names_is_told_reports_for_a_while() {
    let mut book = book(2, &[]);
    let named: [SocketAddr; 2] = [address(1), address(2)];
    book.note_named(&named, at(0));
    assert_eq!(
        book.addresses(&zone("near"), at(1_000)).near,
        vec![address(1)]
    );
    let later = book.addresses(&zone("near"), at(10_000));
    assert!(later.readers.is_empty() && later.near.is_empty() && later.far.is_empty());
}

/// With many gateways, telling each of them the whole demand would cost with the square of their
/// number. Only those that plan, or follow the one that does, are told; one that went silent is not
/// among them.
#[test]
fn only_the_first_gateways_heard_of_are_told_the_demand() {
    let mut book = book(9, &[1, 2, 3, 4, 5]);
    book.take_report(address(2), report(2, false, 0.0), at(2_600));
    book.take_report(address(4), report(2, false, 0.0), at(2_600));
    let told = book.addresses(&zone("near"), at(3_000));
    assert_eq!(told.readers, vec![address(2), address(4)]);
    assert_eq!(told.near.len() + told.far.len(), 3);
}

/// All processes were restarted, and the gateway with the lowest address came up last. It has heard two of
/// eight engines, and would take the others for busy while their models are asked for. It plans once it
/// hears nearly as many as the others.
#[test]
fn a_gateway_that_hears_few_engines_does_not_plan() {
    let mut book = book(2, &[]);
    let mut late = report(2, false, 0.0);
    late.engines_heard = 2;
    book.take_report(address(1), late.clone(), at(100));
    assert_eq!(book.planner(at(150)), address(2));
    late.number.number = 3;
    late.engines_heard = 7;
    book.take_report(address(1), late, at(200));
    assert_eq!(book.planner(at(250)), address(1));
}

/// The gateway is cut off from the sidecars, not from its peers. As the planner it would see no engine that
/// could load anything.
#[test]
fn a_gateway_that_is_cut_off_from_sidecars_leaves_planning_to_others() {
    let mut book = book(1, &[2, 3]);
    book.note_own(0, false);
    assert_eq!(book.planner(at(100)), address(2));
}

/// The gateway with the lowest address is on the thinnest VM. A round of planning takes it a fifth of a
/// second there, and meanwhile nothing is loaded anywhere; one with five times the processor plans.
#[test]
fn the_gateway_with_the_largest_processor_plans() {
    let mut book = book(1, &[2]);
    let strong = PeerReport {
        processor: 500,
        ..report(1, false, 0.0)
    };
    book.take_report(address(9), strong.clone(), at(0));
    assert_eq!(book.planner(at(100)), address(9));
    // It has more to do than its processor does: its advice would come late.
    let behind = PeerReport {
        number: MessageNumber { boot: 1, number: 2 },
        is_behind: true,
        ..strong
    };
    book.take_report(address(9), behind, at(200));
    assert_eq!(book.planner(at(300)), address(1));
}

/// The gateway that plans is killed. Those of other zones hear it as often as those of its own, so that
/// the next one plans within three of its reports everywhere.
#[test]
fn the_next_gateway_plans_soon_after_the_planner_is_gone() {
    let book = book(2, &[1]);
    assert!(book.is_reader(at(100)));
    assert_eq!(book.planner(at(2_300)), address(1));
    assert_eq!(book.planner(at(2_500)), address(2));
}

/// Requests of one model can't be served. The planner hears of that model at once; what it knows of the
/// others stays.
#[test]
fn a_partial_report_renews_the_models_that_it_names() {
    let mut book = book(2, &[1]);
    let mut pressed = report(2, false, 0.0);
    pressed.is_partial = true;
    pressed.demand[0].model = model("m2");
    pressed.demand[0].unserved = 3.0;
    book.take_report(address(1), pressed, at(50));
    let total = book.total(&[], at(100));
    assert!((total[&model("m1")].running - 2.0).abs() < 1e-6);
    assert!((total[&model("m2")].unserved - 3.0).abs() < 1e-6);
}

/// A gateway that has just started was named sixty others by sidecars, and has heard of none yet. It takes
/// its part of what all share, not the whole.
#[test]
fn gateways_that_were_only_named_count() {
    let mut book = PeerBook::new(address(1), 100);
    let named: Vec<SocketAddr> = (2..62).map(address).collect();
    book.note_named(&named, at(0));
    assert_eq!(book.count(at(10)), 61);
}

#[test]
fn gateways_of_other_zones_are_told_apart() {
    let mut book = book(1, &[2, 3, 4]);
    let far = PeerReport {
        zone: zone("far"),
        ..report(2, false, 0.0)
    };
    book.take_report(address(5), far, at(0));
    let told = book.addresses(&zone("near"), at(10));
    assert_eq!(told.near, vec![address(4)]);
    assert_eq!(told.far, vec![address(5)]);
    let mut near: Vec<SocketAddr> = book.in_zone(&zone("near"), at(10)).collect();
    near.sort_unstable();
    assert_eq!(near, vec![address(2), address(3), address(4)]);
}
