//! Tests of isolated entries, whose silent votes are no evidence against the others.

use oatpier_membership::members::MemberState;
use oatpier_types::clock::ClockTime;

use crate::support::fleet::{Fleet, Shape};
use crate::support::network::{OneWayCut, Side};
use crate::support::{millis, seconds};

fn settled_fleet(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.accept(1, "first");
    fleet.run_for(seconds(20));
    fleet
}

fn cut_inbound(fleet: &mut Fleet, entry: usize) {
    let daemon = fleet.contact(entry).daemon;
    fleet.network.cuts.push(OneWayCut {
        from: Side::Any,
        to: Side::Process(daemon),
    });
}

/// Returns members that an entry outside `isolated` counted as gone after `from`, although they
/// serve and are connected.
fn wrongly_gone(fleet: &Fleet, isolated: &[usize], from: ClockTime) -> Vec<String> {
    let entries = (0..fleet.entries).filter(|index| !isolated.contains(index));
    let changes = entries.flat_map(|index| {
        let changes = fleet.processes[index].changes.iter();
        changes.map(move |(at, change)| (index, *at, change))
    });
    let wrong = changes.filter(|(_, at, change)| {
        let member = fleet.index(&change.daemon);
        *at > from && change.state == MemberState::Gone && !isolated.contains(&member)
    });
    wrong
        .map(|(index, at, change)| format!("{} at {index} at {at:?}", change.daemon))
        .collect()
}

/// Every message to two entries of an availability zone is lost, while messages from them arrive.
/// Both get messages from no one, and would vote every agent and every entry silent. For an agent
/// that has just these two as registrars these are two votes, and it would get no work for seconds.
/// The two entries are isolated themselves, so they must not vote.
#[test]
fn two_isolated_entries_remove_no_member() {
    for seed in 0..3 {
        for pair in [[0, 2], [0, 4], [2, 6], [4, 8], [6, 8]] {
            let mut fleet = settled_fleet(Shape::zoned(), seed);
            let from = fleet.now;
            cut_inbound(&mut fleet, pair[0]);
            fleet.run_for(millis(900 * seed));
            cut_inbound(&mut fleet, pair[1]);
            fleet.run_for(seconds(9));
            fleet.network.cuts.clear();
            fleet.run_for(seconds(30));
            let wrong = wrongly_gone(&fleet, &pair, from);
            assert!(wrong.is_empty(), "seed {seed} pair {pair:?}: {wrong:?}");
        }
    }
}

/// All agents of an availability zone die at once while its entries are up. A registrar that gets
/// no heartbeats from any of its agents is not isolated, as it still gets messages from the other
/// entries.
#[test]
fn many_agents_dying_at_once_are_removed_within_seconds() {
    let mut fleet = settled_fleet(Shape::zoned(), 4);
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

/// One of two entries and all agents die at once. The other entry can't tell this from being cut
/// off itself. It withholds its votes, but not forever.
#[test]
fn isolated_entry_votes_after_a_delay() {
    let shape = Shape {
        entries: 4,
        agents: 8,
        ..Shape::zoned()
    };
    let mut fleet = settled_fleet(shape, 5);
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
