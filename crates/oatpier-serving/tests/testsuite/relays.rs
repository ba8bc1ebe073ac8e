//! Tests of the selection of relays and of forwarding by them.
//!
//! The scenario has 93 sidecars and 68 gateways in five zones, on a mix of small and large VMs. Relays are
//! killed, and datagrams are lost, duplicated and reordered.

use std::collections::HashMap;
use std::net::SocketAddr;

use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::message::{EngineUpdate, LoadStatus, MessageNumber};
use oatpier_serving::relays::{RelayCandidate, RelayQueue, select_relays};
use oatpier_types::names::ZoneName;
use proptest::prelude::*;

use crate::support::{address, at, endpoint, fixed_cases, model, record, status, zone};

fn gateway(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7_380))
}

/// Returns the relays of a sidecar among the gateways of one zone.
fn relays(sidecar: u8, zone: &ZoneName, gateways: &[(u8, u32)]) -> Vec<SocketAddr> {
    let candidates = gateways.iter().map(|(number, processor)| RelayCandidate {
        zone,
        address: gateway(*number),
        processor: *processor,
    });
    select_relays(address(sidecar), candidates)
}

fn load(number: u64, running: u32) -> LoadStatus {
    LoadStatus {
        number: MessageNumber { boot: 1, number },
        engine: address(1),
        answers: true,
        load: EndpointLoad {
            running,
            waiting: 0,
        },
        memory_used: 0,
        load_wait_ms: 0,
        permit_wait_ms: 0,
        permits_waiting: 0,
        failing_percent: 0,
    }
}

fn whole(number: u64, models: &[&str], running: u32) -> EngineUpdate {
    let mut whole = status(1, models, running);
    whole.number.number = number;
    EngineUpdate::Status(Box::new(whole))
}

/// Removes all queued updates, as a relay does when both kinds are due.
fn drain_all(queue: &mut RelayQueue) -> Vec<Vec<EngineUpdate>> {
    let statuses = queue.drain_statuses();
    statuses.into_iter().chain(queue.drain_loads()).collect()
}

fn apply_update(directory: &mut EndpointDirectory, update: &EngineUpdate, now: u64) {
    match update {
        EngineUpdate::Status(status) => {
            directory.apply_status((**status).clone(), at(now));
        }
        EngineUpdate::Load(load) => directory.apply_load_status(load, at(now)),
        EngineUpdate::Pace(pace) => directory.apply_pace(pace, at(now)),
        EngineUpdate::Shares(shares) => directory.apply_shares(shares.clone(), at(now)),
    }
}

/// A relay is killed. Only the sidecars that had selected it select another one.
#[test]
fn failed_relay_is_replaced_only_by_its_own_sidecars() {
    let near = zone("near");
    let all: Vec<(u8, u32)> = (1..=13).map(|number| (number, 90)).collect();
    let left: Vec<(u8, u32)> = all[1..].to_vec();
    for sidecar in 1..=93 {
        let before = relays(sidecar, &near, &all);
        let after = relays(sidecar, &near, &left);
        assert_eq!(before.len(), 2);
        let kept = before.iter().filter(|relay| **relay != gateway(1));
        assert!(kept.clone().all(|relay| after.contains(relay)));
        if kept.count() == 2 {
            assert_eq!(before, after);
        }
    }
}

/// Three VMs of a zone have five times the CPU allotment of the ten others. They must relay for most
/// sidecars, and the others for few.
#[test]
fn relays_are_selected_by_cpu_allotment() {
    let near = zone("near");
    let gateways: Vec<(u8, u32)> = (1..=13)
        .map(|number| (number, if number <= 3 { 500 } else { 90 }))
        .collect();
    let mut drawn: HashMap<SocketAddr, u32> = HashMap::new();
    for sidecar in 1..=200 {
        for relay in relays(sidecar, &near, &gateways) {
            *drawn.entry(relay).or_default() += 1;
        }
    }
    let strong: u32 = (1..=3)
        .filter_map(|number| drawn.get(&gateway(number)))
        .sum();
    assert!(strong > 300, "{strong} of 400");
    let most_thin = (4..=13)
        .filter_map(|number| drawn.get(&gateway(number)))
        .max();
    assert!(most_thin.is_some_and(|most| *most < 20), "{most_thin:?}");
}

#[test]
fn relay_queue_keeps_the_newest_update_of_each_kind() {
    let mut queue = RelayQueue::default();
    queue.push(EngineUpdate::Load(load(3, 5)));
    queue.push(EngineUpdate::Load(load(2, 9)));
    queue.push(whole(1, &["m1"], 1));
    let passed = drain_all(&mut queue);
    assert_eq!(passed.concat().len(), 2);
    assert!(passed.concat().contains(&EngineUpdate::Load(load(3, 5))));
    assert!(drain_all(&mut queue).is_empty());
}

/// Two relays of a zone receive the same updates. The later one must not forward them again.
#[test]
fn updates_forwarded_by_another_relay_are_not_forwarded_again() {
    let mut queue = RelayQueue::default();
    queue.push(EngineUpdate::Load(load(3, 5)));
    queue.push(whole(4, &["m1"], 1));
    queue.note_forwarded(&EngineUpdate::Load(load(3, 5)));
    assert_eq!(drain_all(&mut queue), vec![vec![whole(4, &["m1"], 1)]]);
}

/// A load update that arrives through another relay overtakes a full status update. The models are taken
/// from the status update and the load from the load update.
#[test]
fn overtaken_status_update_sets_the_models_but_not_the_load() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    apply_update(&mut directory, &whole(1, &["m1"], 1), 0);
    apply_update(&mut directory, &EngineUpdate::Load(load(3, 7)), 10);
    apply_update(&mut directory, &whole(2, &["m1", "m2"], 2), 20);
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(row.holds(&model("m2"), at(30)));
    assert_eq!(row.request_count(), 7);
}

/// Three zones of four gateways and some engines, with the directory of each gateway.
struct RelayFleet {
    zones: Vec<ZoneName>,
    queues: Vec<RelayQueue>,
    known: Vec<EndpointDirectory>,
    dead: Vec<usize>,
}

const FLEET_GATEWAYS: usize = 12;
const FLEET_ENGINES: u8 = 5;

impl RelayFleet {
    fn new(dead: Vec<usize>) -> Self {
        let mut known: Vec<EndpointDirectory> = Vec::new();
        known.resize_with(FLEET_GATEWAYS, EndpointDirectory::default);
        for directory in &mut known {
            let records = (1..=FLEET_ENGINES).map(|number| record(number, &["m0"]));
            directory.apply_registry(records.collect(), at(0));
        }
        let mut queues = Vec::new();
        queues.resize_with(FLEET_GATEWAYS, RelayQueue::default);
        Self {
            zones: ["a", "b", "c"].map(zone).to_vec(),
            queues,
            known,
            dead,
        }
    }

    fn index(relay: SocketAddr) -> usize {
        match relay {
            SocketAddr::V4(relay) => usize::from(relay.ip().octets()[3]),
            SocketAddr::V6(_) => panic!("the test uses only IPv4 addresses"),
        }
    }

    /// Runs one period, in which each sidecar sends an update to its relays, which forward it. A datagram
    /// is lost if `loses` returns true.
    fn period(&mut self, number: u64, holds: &str, mut loses: impl FnMut() -> bool) {
        let now = number * 100;
        for engine in 1..=FLEET_ENGINES {
            let candidates = (0..FLEET_GATEWAYS).map(|index| RelayCandidate {
                zone: &self.zones[index % 3],
                address: gateway(u8::try_from(index).unwrap()),
                processor: 100,
            });
            let relays = select_relays(address(engine), candidates);
            let mut status = status(engine, &[holds], 1);
            status.number.number = number;
            let update = EngineUpdate::Status(Box::new(status));
            for relay in relays.into_iter().map(Self::index) {
                if !self.dead.contains(&relay) && !loses() {
                    apply_update(&mut self.known[relay], &update, now);
                    self.queues[relay].push(update.clone());
                }
            }
        }
        for relay in 0..FLEET_GATEWAYS {
            for updates in drain_all(&mut self.queues[relay]) {
                for other in (relay % 3..FLEET_GATEWAYS).step_by(3) {
                    if other == relay || self.dead.contains(&other) || loses() {
                        continue;
                    }
                    for update in &updates {
                        self.queues[other].note_forwarded(update);
                        apply_update(&mut self.known[other], update, now + 40);
                    }
                }
            }
        }
    }

    /// Returns the number of running gateways that do not know the models of every engine.
    fn outdated_count(&self, holds: &str, now: u64) -> usize {
        let knows = |directory: &EndpointDirectory| {
            directory.all().all(|row| row.holds(&model(holds), at(now)))
        };
        let live = (0..FLEET_GATEWAYS).filter(|index| !self.dead.contains(index));
        live.filter(|index| !knows(&self.known[*index])).count()
    }
}

proptest! {
    #![proptest_config(fixed_cases(128))]

    /// One gateway of each zone is dead and still counts as a relay, and half of all datagrams are lost for
    /// a while. One period after the losses end, every gateway must know the models of every engine.
    #[test]
    fn gateways_converge_within_a_period_despite_dead_relays_and_losses(
        dead in (0_usize..4, 0_usize..4, 0_usize..4),
        losses in prop::collection::vec(any::<bool>(), 200),
    ) {
        let dead = vec![dead.0 * 3, dead.1 * 3 + 1, dead.2 * 3 + 2];
        let mut fleet = RelayFleet::new(dead);
        let mut draws = losses.iter().cycle();
        for number in 1..6 {
            fleet.period(number, "m1", || draws.next().copied().unwrap_or(false));
        }
        fleet.period(6, "m2", || false);
        prop_assert_eq!(fleet.outdated_count("m2", 650), 0);
    }

    /// Updates are lost, duplicated and reordered on both paths. Once the latest full status update and the
    /// latest load update have arrived, in either order, the gateway must know the latest state.
    #[test]
    fn state_converges_under_loss_duplication_and_reordering(
        noise in prop::collection::vec((0_usize..40, any::<bool>()), 0..80),
        models in prop::collection::vec(any::<bool>(), 40),
        load_first in any::<bool>(),
    ) {
        let names = |holds: bool| if holds { ["m1"].as_slice() } else { ["m2"].as_slice() };
        let mut updates: Vec<EngineUpdate> = Vec::new();
        for (number, holds) in (1..).zip(&models) {
            updates.push(whole(2 * number, names(*holds), 1));
            updates.push(EngineUpdate::Load(load(2 * number + 1, u32::try_from(number).unwrap())));
        }
        let mut directory = EndpointDirectory::default();
        directory.apply_registry(vec![record(1, &["m3"])], at(0));
        for (index, is_load) in noise {
            apply_update(&mut directory, &updates[2 * index + usize::from(is_load)], 100);
        }
        let last = updates.len() - 2;
        let order = if load_first { [last + 1, last, last + 1] } else { [last, last + 1, last] };
        for index in order {
            apply_update(&mut directory, &updates[index], 200);
        }
        let row = directory.row(&endpoint("e1")).unwrap();
        let held = names(models[39])[0];
        prop_assert!(row.holds(&model(held), at(210)));
        prop_assert_eq!(row.request_count(), 40);
    }
}
