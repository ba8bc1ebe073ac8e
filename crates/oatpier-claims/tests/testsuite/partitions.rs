//! Assignment of partitions to entries.

use std::collections::HashSet;

use oatpier_claims::message::KeyHash;
use oatpier_claims::partition::{PARTITION_COUNT, PartitionId, PartitionMap};
use oatpier_types::names::DaemonName;

fn entries(count: usize) -> Vec<DaemonName> {
    (0..count)
        .map(|index| DaemonName::try_from(format!("entry-{index}")).unwrap())
        .collect()
}

#[test]
fn map_does_not_depend_on_the_order_of_entries() {
    let entries = entries(24);
    let mut reversed = entries.clone();
    reversed.reverse();
    assert_eq!(PartitionMap::new(&entries), PartitionMap::new(&reversed));
}

#[test]
fn only_partitions_of_a_dead_entry_move() {
    let entries = entries(24);
    let before = PartitionMap::new(&entries);
    let dead = before.owner(PartitionId(0)).unwrap().clone();
    let rest: Vec<_> = entries.into_iter().filter(|name| *name != dead).collect();
    let after = PartitionMap::new(&rest);
    PartitionId::all().for_each(|partition| {
        let moved = before.owner(partition) != after.owner(partition);
        assert_eq!(moved, before.owner(partition) == Some(&dead));
    });
}

#[test]
fn partitions_spread_over_entries() {
    let map = PartitionMap::new(&entries(340));
    let owners: HashSet<_> = PartitionId::all().map(|id| map.owner(id)).collect();
    assert!(owners.len() >= 6, "{owners:?}");
    assert_eq!(PartitionMap::new(&[]).claimer_of(KeyHash(1)), None);
}

#[test]
fn every_key_has_a_partition() {
    let found: HashSet<_> = (0..100_u128)
        .map(|key| PartitionId::of(KeyHash(key)))
        .collect();
    assert_eq!(found.len(), usize::from(PARTITION_COUNT));
}
