//! Tests of the distribution of configurations under losses, cuts and outages.

use oatpier_types::ids::Generation;

use crate::support::fleet::{Fleet, Shape};
use crate::support::{millis, seconds};

fn all_at(fleet: &Fleet, generation: Generation) -> bool {
    let live = 0..fleet.processes.len();
    live.filter(|index| fleet.is_up(*index))
        .all(|index| fleet.generation(index) == Some(generation))
}

fn settled_fleet(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.accept(1, "first");
    fleet.run_for(seconds(15));
    assert!(all_at(&fleet, Generation(1)));
    fleet
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    let entries = 0..fleet.entries;
    entries
        .filter(|index| fleet.is_up(*index) && fleet.entry(*index).is_watcher())
        .collect()
}

#[test]
fn change_reaches_every_process_quickly() {
    for (shape, seed) in [(Shape::small(), 1), (Shape::zoned(), 2)] {
        let mut fleet = settled_fleet(shape, seed);
        let generation = fleet.accept(2, "second");
        let took = fleet.run_until(seconds(5), |fleet| all_at(fleet, generation));
        assert!(took.is_some_and(|took| took < millis(500)), "took {took:?}");
    }
}

/// A tenth of all messages is lost, pushes and answers alike. Processes whose push was lost learn
/// of the change from a second pusher, a retry, or the generation in the next heartbeat or gossip.
/// The change must still be in force everywhere within seconds.
#[test]
fn change_reaches_every_process_with_a_tenth_of_messages_lost() {
    for seed in 0..4 {
        let mut fleet = settled_fleet(Shape::zoned(), seed);
        fleet.network.loss = 0.1;
        for change in 0..5 {
            let generation = fleet.accept(change, "under loss");
            let took = fleet.run_until(seconds(5), |fleet| all_at(fleet, generation));
            assert!(took.is_some(), "seed {seed} change {change}");
        }
    }
}

/// Every watcher of an availability zone dies at the same moment. Until the others detect this, no
/// entry there watches the store, and a change is accepted meanwhile. Other entries become watchers
/// once the dead ones are detected, and they read before they watch.
#[test]
fn dead_watchers_are_replaced() {
    let mut fleet = settled_fleet(Shape::zoned(), 5);
    let zone = fleet.zones[0].clone();
    let dead: Vec<usize> = watchers(&fleet)
        .into_iter()
        .filter(|index| fleet.processes[*index].contact.zone == zone)
        .collect();
    assert_eq!(dead.len(), 3);
    for index in dead {
        fleet.kill(index);
    }
    let generation = fleet.accept(2, "second");
    let took = fleet.run_until(seconds(5), |fleet| all_at(fleet, generation));
    assert!(took.is_some());
    fleet.run_for(seconds(20));
    let near = watchers(&fleet).into_iter();
    let near = near.filter(|index| fleet.processes[*index].contact.zone == zone);
    assert_eq!(near.count(), 2, "both remaining entries watch");
}

/// The connections of all watches break silently, so that no watcher learns of the next change.
/// Each watcher abandons its watch and reads. This must be soon enough that the change is in force
/// everywhere within five seconds, at whatever moment of a watch it is accepted.
#[test]
fn hanging_watches_are_abandoned() {
    for seed in 0..6 {
        let mut fleet = settled_fleet(Shape::small(), seed);
        fleet.store.watches_hang = true;
        for change in 0..4 {
            fleet.run_for(millis(730 * u64::from(change)));
            let generation = fleet.accept(change, "second");
            let took = fleet.run_until(seconds(5), |fleet| all_at(fleet, generation));
            assert!(took.is_some(), "seed {seed} change {change}");
        }
    }
}

/// A watch ends every two seconds, and each end costs the store another call. If every entry
/// watched, or a broken watch were repeated without a delay, these calls would crowd out all
/// others.
#[test]
fn watching_costs_few_calls() {
    for hang in [false, true] {
        let mut fleet = settled_fleet(Shape::zoned(), 9);
        fleet.store.watches_hang = hang;
        let before = fleet.store.calls;
        fleet.run_for(seconds(60));
        let calls = fleet.store.calls - before;
        let watchers = u64::try_from(watchers(&fleet).len()).expect("few entries");
        assert!(
            calls <= watchers * 60,
            "{calls} calls in a minute of {watchers} watchers"
        );
    }
}

/// For a minute the store takes four seconds for each answer, longer than a watch is waited for.
/// Watches are abandoned and repeated, and the answers to the earlier ones arrive late. If each
/// late answer were taken for that of the current call, each would start another call, and every
/// watcher would keep that many watches open forever.
#[test]
fn slow_store_leaves_no_second_watch_open() {
    for seed in 0..3 {
        let mut fleet = settled_fleet(Shape::zoned(), seed);
        fleet.store.extra_delay = seconds(4);
        fleet.run_for(seconds(30));
        let generation = fleet.accept(2, "while it is slow");
        fleet.run_for(seconds(30));
        assert!(all_at(&fleet, generation));
        fleet.store.extra_delay = seconds(0);
        fleet.run_for(seconds(20));
        let before = fleet.store.calls;
        fleet.run_for(seconds(60));
        let calls = fleet.store.calls - before;
        assert!(calls <= 6 * 31, "{calls} calls in a minute of six watchers");
    }
}

/// The store is down for twelve minutes. Half of all processes restart meanwhile and keep no state.
/// They must get the configuration in force from their peers, and no process may go back to an
/// older one. When the store recovers, only the watchers call it, and the next change reaches every
/// process.
#[test]
fn processes_starting_in_an_outage_learn_from_peers() {
    let mut fleet = settled_fleet(Shape::zoned(), 7);
    let generation = fleet.accept(2, "second");
    fleet.run_for(seconds(5));
    fleet.store_down();
    fleet.run_for(seconds(60));
    for index in (0..fleet.processes.len()).step_by(2) {
        fleet.kill(index);
        fleet.start(index);
    }
    let took = fleet.run_until(seconds(10), |fleet| all_at(fleet, generation));
    assert!(took.is_some(), "all processes have the configuration again");
    fleet.run_for(seconds(60));
    let before = fleet.store.calls;
    fleet.run_for(seconds(600));
    let calls = fleet.store.calls - before;
    assert!(calls < 600 * 8, "{calls} calls in the outage");
    fleet.store_up();
    let before = fleet.store.calls;
    let generation = fleet.accept(3, "after the outage");
    let took = fleet.run_until(seconds(5), |fleet| all_at(fleet, generation));
    assert!(took.is_some());
    assert!(
        fleet.store.calls - before <= 30,
        "few calls after the outage"
    );
}

/// An entry restarts while the store is down. Half of its peers are a generation behind, as a cut
/// kept the last change from them. If one of these answers first, callers would see the change
/// undone. The generation that peers remember of the earlier boot is a lower bound that prevents
/// this.
#[test]
fn restarted_entry_does_not_revert_to_an_older_generation() {
    for seed in 0..6 {
        let mut fleet = settled_fleet(Shape::small(), seed);
        let zone = fleet.zones[1].clone();
        fleet.network.cut_zone(&zone);
        let generation = fleet.accept(2, "second");
        fleet.run_for(seconds(12));
        fleet.store_down();
        let restarted = 0;
        assert_eq!(fleet.generation(restarted), Some(generation));
        fleet.kill(restarted);
        fleet.start(restarted);
        fleet.network.cuts.clear();
        fleet.run_for(seconds(20));
        let log = &fleet.processes[restarted].in_force;
        assert!(log.is_sorted_by_key(|row| row.1), "seed {seed}: {log:?}");
        assert!(all_at(&fleet, generation));
    }
}

/// An availability zone is cut off from everything for a minute, including the store. Changes are
/// accepted meanwhile. The zone keeps its configuration, and gets the latest after the cut.
#[test]
fn zone_that_was_cut_off_catches_up() {
    for shape in [Shape::small(), Shape::zoned()] {
        let mut fleet = settled_fleet(shape, 8);
        let zone = fleet.zones[1].clone();
        fleet.network.cut_zone(&zone);
        fleet.run_for(seconds(30));
        fleet.accept(2, "second");
        let generation = fleet.accept(3, "third");
        fleet.run_for(seconds(30));
        for index in 0..fleet.processes.len() {
            let inside = fleet.processes[index].contact.zone == zone;
            let wanted = if inside { Generation(1) } else { generation };
            assert_eq!(fleet.generation(index), Some(wanted));
        }
        fleet.network.cuts.clear();
        let took = fleet.run_until(seconds(5), |fleet| all_at(fleet, generation));
        assert!(took.is_some());
    }
}
