//! Entries that hear nobody: their silence says nothing about the others.

use oatpier_membership::members::MemberState;
use oatpier_types::clock::ClockTime;

use crate::support::fleet::{Fleet, Shape};
use crate::support::network::{OneWayCut, Side};
use crate::support::{millis, seconds};

fn settled(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.accept(1, "first");
    fleet.run_for(seconds(20));
    fleet
}

fn deafen(fleet: &mut Fleet, entry: usize) {
    let daemon = fleet.contact(entry).daemon;
    fleet.network.cuts.push(OneWayCut {
        from: Side::Anyone,
        to: Side::Process(daemon),
    });
}

/// Members that an entry outside `deaf` counted out since `from`, though they serve and hear.
fn wrongly_gone(fleet: &Fleet, deaf: &[usize], from: ClockTime) -> Vec<String> {
    let entries = (0..fleet.entries).filter(|index| !deaf.contains(index));
    let changes = entries.flat_map(|index| {
        let changes = fleet.processes[index].changes.iter();
        changes.map(move |(at, change)| (index, *at, change))
    });
    let wrong = changes.filter(|(_, at, change)| {
        let member = fleet.index(&change.daemon);
        *at > from && change.state == MemberState::Gone && !deaf.contains(&member)
    });
    wrong
        .map(|(index, at, change)| format!("{} at {index} at {at:?}", change.daemon))
        .collect()
}

/// All that comes to two entries of an availability zone is lost; what they send arrives.
/// Both hear nobody, and say of every agent and every entry that it is silent. For an agent that
/// has just these two as registrars these are two words, and it would get no work for seconds.
/// Their own isolation explains the silence, so they must not speak.
#[test]
fn two_entries_that_hear_nobody_remove_nobody() {
    for seed in 0..3 {
        for pair in [[0, 2], [0, 4], [2, 6], [4, 8], [6, 8]] {
            let mut fleet = settled(Shape::zoned(), seed);
            let from = fleet.now;
            deafen(&mut fleet, pair[0]);
            fleet.run_for(millis(900 * seed));
            deafen(&mut fleet, pair[1]);
            fleet.run_for(seconds(9));
            fleet.network.cuts.clear();
            fleet.run_for(seconds(30));
            let wrong = wrongly_gone(&fleet, &pair, from);
            assert!(wrong.is_empty(), "seed {seed} pair {pair:?}: {wrong:?}");
        }
    }
}

/// All agents of an availability zone die at once while its entries are well: that a registrar
/// hears none of its agents is no isolation, as it hears the other entries.
#[test]
fn many_agents_that_die_at_once_are_gone_as_fast_as_one() {
    let mut fleet = settled(Shape::zoned(), 4);
    let zone = fleet.contact(0).zone;
    let agents: Vec<usize> = (fleet.entries..fleet.processes.len())
        .filter(|agent| fleet.contact(*agent).zone == zone)
        .collect();
    for agent in &agents {
        fleet.kill(*agent);
    }
    let all_gone = |fleet: &Fleet| {
        let states = agents.iter().map(|agent| fleet.state(0, *agent));
        states
            .into_iter()
            .all(|state| state == Some(MemberState::Gone))
    };
    assert!(fleet.run_until(seconds(15), all_gone).is_some());
}

/// One of two entries and all agents die at once. To the other this looks as if it were
/// cut off itself. It waits with its words, but not for ever.
#[test]
fn an_entry_that_hears_nobody_speaks_after_a_while() {
    let shape = Shape {
        entries: 4,
        agents: 8,
        ..Shape::zoned()
    };
    let mut fleet = settled(shape, 5);
    let zone = fleet.contact(0).zone;
    let dead: Vec<usize> = (1..fleet.processes.len())
        .filter(|index| fleet.contact(*index).zone == zone)
        .collect();
    for index in &dead {
        fleet.kill(*index);
    }
    let all_gone = |fleet: &Fleet| {
        let states = dead.iter().map(|index| fleet.state(0, *index));
        states
            .into_iter()
            .all(|state| state == Some(MemberState::Gone))
    };
    assert!(fleet.run_until(seconds(60), all_gone).is_some());
}
