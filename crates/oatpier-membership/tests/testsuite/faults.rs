//! Property tests with random faults, alone and combined.

use oatpier_membership::members::MemberState;
use oatpier_types::ids::Generation;
use proptest::prelude::*;

use crate::support::fleet::{Fleet, Shape};
use crate::support::network::{OneWayCut, Side};
use crate::support::{fixed_cases, millis, seconds};

#[derive(Debug, Clone)]
enum Fault {
    Accept(u32),
    StoreDown,
    StoreUp,
    Kill(usize),
    Start(usize),
    Restart(usize),
    Pause(usize, u64),
    CutZone(usize),
    CutOneWay(usize),
    Heal,
    Loss(bool),
    WatchesHang(bool),
}

fn faults() -> impl Strategy<Value = Vec<(Fault, u64)>> {
    let fault = prop_oneof![
        4 => (0_u32..20).prop_map(Fault::Accept),
        2 => Just(Fault::StoreDown),
        2 => Just(Fault::StoreUp),
        2 => (0_usize..18).prop_map(Fault::Kill),
        2 => (0_usize..18).prop_map(Fault::Start),
        3 => (0_usize..18).prop_map(Fault::Restart),
        2 => (0_usize..18, 1_u64..20).prop_map(|(index, span)| Fault::Pause(index, span)),
        1 => (0_usize..3).prop_map(Fault::CutZone),
        1 => (0_usize..18).prop_map(Fault::CutOneWay),
        1 => Just(Fault::Heal),
        1 => any::<bool>().prop_map(Fault::Loss),
        1 => any::<bool>().prop_map(Fault::WatchesHang),
    ];
    prop::collection::vec((fault, 0_u64..12_000), 1..14)
}

fn inject_fault(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::Accept(key) if !fleet.store.down => {
            fleet.accept(*key, "changed");
        }
        Fault::StoreDown => fleet.store_down(),
        Fault::StoreUp => fleet.store_up(),
        Fault::Kill(index) => fleet.kill(*index),
        Fault::Start(index) if !fleet.is_up(*index) => fleet.start(*index),
        Fault::Accept(_) | Fault::Start(_) => {}
        Fault::Restart(index) => {
            fleet.kill(*index);
            fleet.start(*index);
        }
        Fault::Pause(index, span) => fleet.pause(*index, seconds(*span)),
        Fault::CutZone(place) => {
            let zone = fleet.zones[*place % fleet.zones.len()].clone();
            fleet.network.cut_zone(&zone);
        }
        Fault::CutOneWay(index) => {
            let daemon = fleet.contact(*index).daemon;
            fleet.network.cuts.push(OneWayCut {
                from: Side::Any,
                to: Side::Process(daemon),
            });
        }
        Fault::Heal => fleet.network.cuts.clear(),
        Fault::Loss(lossy) => fleet.network.loss = if *lossy { 0.1 } else { 0.0 },
        Fault::WatchesHang(hang) => fleet.store.watches_hang = *hang,
    }
}

fn end_faults(fleet: &mut Fleet) -> Generation {
    fleet.network.cuts.clear();
    fleet.network.loss = 0.0;
    fleet.store.watches_hang = false;
    fleet.store_up();
    fleet.accept(99, "after the faults")
}

proptest! {
    #![proptest_config(fixed_cases(24))]

    /// In every process the generation never decreases, not even across restarts, and each
    /// generation has one content. After the faults, every live process has the last generation and
    /// every table is correct.
    #[test]
    fn all_processes_converge_after_random_faults(
        seed in 0_u64..1_000,
        zoned in any::<bool>(),
        steps in faults(),
    ) {
        let shape = if zoned { Shape { agents: 8, ..Shape::zoned() } } else { Shape::small() };
        let mut fleet = Fleet::new(shape, seed);
        fleet.accept(0, "first");
        fleet.run_for(seconds(10));
        for (fault, wait) in &steps {
            inject_fault(&mut fleet, fault);
            fleet.run_for(millis(*wait));
        }
        let last = end_faults(&mut fleet);
        fleet.run_for(seconds(150));
        let mut contents = std::collections::HashMap::new();
        for (index, process) in fleet.processes.iter().enumerate() {
            let log = &process.in_force;
            prop_assert!(log.is_sorted_by_key(|row| row.1), "{index}: {log:?}");
            for (_, generation, content) in log {
                let known = *contents.entry(*generation).or_insert(*content);
                prop_assert_eq!(known, *content);
            }
            if fleet.is_up(index) {
                prop_assert_eq!(fleet.generation(index), Some(last), "process {}", index);
            }
        }
        check_tables(&fleet)?;
    }
}

fn check_tables(fleet: &Fleet) -> Result<(), TestCaseError> {
    let entries = (0..fleet.entries).filter(|index| fleet.is_up(*index));
    for entry in entries {
        for member in 0..fleet.processes.len() {
            let same_zone = fleet.contact(entry).zone == fleet.contact(member).zone;
            let state = fleet.state(entry, member);
            if fleet.is_up(member) && same_zone {
                prop_assert_eq!(state, Some(MemberState::Alive), "{} of {}", member, entry);
            } else if !fleet.is_up(member) {
                let right = matches!(state, None | Some(MemberState::Gone));
                prop_assert!(right, "{member} of {entry} is {state:?}");
            }
        }
    }
    Ok(())
}
