//! Which gateways of each zone hear a sidecar, and what they pass on.
//!
//! The load: 93 sidecars before 68 gateways in five zones, thin and strong VMs side by side; relays are
//! killed, and datagrams are lost, doubled and crossed.

use std::collections::HashMap;
use std::net::SocketAddr;

use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::message::{EngineWord, LoadPulse, MessageNumber};
use oatpier_serving::relays::{RelayCandidate, RelayQueue, draw};
use oatpier_types::names::ZoneName;
use proptest::prelude::*;

use crate::support::{address, at, endpoint, fixed_cases, model, pulse, record, zone};

fn gateway(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7_380))
}

/// The relays of a sidecar among gateways of one zone.
fn relays(sidecar: u8, zone: &ZoneName, gateways: &[(u8, u32)]) -> Vec<SocketAddr> {
    let candidates = gateways.iter().map(|(number, processor)| RelayCandidate {
        zone,
        address: gateway(*number),
        processor: *processor,
    });
    draw(address(sidecar), candidates)
}

fn load(number: u64, running: u32) -> LoadPulse {
    LoadPulse {
        number: MessageNumber { boot: 1, number },
        engine: address(1),
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

fn whole(number: u64, models: &[&str], running: u32) -> EngineWord {
    let mut whole = pulse(1, models, running);
    whole.number.number = number;
    EngineWord::Pulse(Box::new(whole))
}

fn hear(directory: &mut EndpointDirectory, word: &EngineWord, now: u64) {
    match word {
        EngineWord::Pulse(pulse) => {
            directory.take_pulse((**pulse).clone(), at(now));
        }
        EngineWord::Load(load) => directory.take_load_pulse(load, at(now)),
    }
}

/// A relay is killed. Only the sidecars that had drawn it draw another one; what the others do stays.
#[test]
fn when_a_relay_is_gone_only_its_own_sidecars_draw_anew() {
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

/// Three VMs of a zone have five times the processor of the ten others: they relay most sidecars, and the
/// others few.
#[test]
fn relays_are_drawn_by_processor() {
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
fn a_relay_keeps_the_newest_word_of_each_kind() {
    let mut queue = RelayQueue::default();
    queue.take(EngineWord::Load(load(3, 5)));
    queue.take(EngineWord::Load(load(2, 9)));
    queue.take(whole(1, &["m1"], 1));
    let passed = queue.drain();
    assert_eq!(passed.concat().len(), 2);
    assert!(passed.concat().contains(&EngineWord::Load(load(3, 5))));
    assert!(queue.drain().is_empty());
}

/// Two relays of a zone hear the same. The one that comes second does not tell it all again.
#[test]
fn what_another_relay_has_passed_on_is_not_passed_on_again() {
    let mut queue = RelayQueue::default();
    queue.take(EngineWord::Load(load(3, 5)));
    queue.take(whole(4, &["m1"], 1));
    queue.note_passed_on(&EngineWord::Load(load(3, 5)));
    assert_eq!(queue.drain(), vec![vec![whole(4, &["m1"], 1)]]);
}

/// A whole pulse is overtaken by a word on the load that came by the other relay: what the engine holds is
/// taken from the one, its load from the other.
#[test]
fn a_pulse_that_was_overtaken_says_what_is_held_and_not_the_load() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    hear(&mut directory, &whole(1, &["m1"], 1), 0);
    hear(&mut directory, &EngineWord::Load(load(3, 7)), 10);
    hear(&mut directory, &whole(2, &["m1", "m2"], 2), 20);
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(row.holds(&model("m2"), at(30)));
    assert_eq!(row.present(), 7);
}

/// Three zones of four gateways before some engines, each gateway with what it knows of them.
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

    fn place(relay: SocketAddr) -> usize {
        match relay {
            SocketAddr::V4(relay) => usize::from(relay.ip().octets()[3]),
            SocketAddr::V6(_) => panic!("an address of the test is no IPv4 address"),
        }
    }

    /// One period: each sidecar tells its relays, and these pass on. `loses` says which datagrams are lost.
    fn period(&mut self, number: u64, holds: &str, mut loses: impl FnMut() -> bool) {
        let now = number * 100;
        for engine in 1..=FLEET_ENGINES {
            let candidates = (0..FLEET_GATEWAYS).map(|place| RelayCandidate {
                zone: &self.zones[place % 3],
                address: gateway(u8::try_from(place).unwrap()),
                processor: 100,
            });
            let relays = draw(address(engine), candidates);
            let mut told = pulse(engine, &[holds], 1);
            told.number.number = number;
            let word = EngineWord::Pulse(Box::new(told));
            for relay in relays.into_iter().map(Self::place) {
                if !self.dead.contains(&relay) && !loses() {
                    hear(&mut self.known[relay], &word, now);
                    self.queues[relay].take(word.clone());
                }
            }
        }
        for relay in 0..FLEET_GATEWAYS {
            for words in self.queues[relay].drain() {
                for other in (relay % 3..FLEET_GATEWAYS).step_by(3) {
                    if other == relay || self.dead.contains(&other) || loses() {
                        continue;
                    }
                    for word in &words {
                        self.queues[other].note_passed_on(word);
                        hear(&mut self.known[other], word, now + 40);
                    }
                }
            }
        }
    }

    /// Gateways that live and don't know what every engine holds.
    fn behind(&self, holds: &str, now: u64) -> usize {
        let knows = |directory: &EndpointDirectory| {
            directory.all().all(|row| row.holds(&model(holds), at(now)))
        };
        let live = (0..FLEET_GATEWAYS).filter(|place| !self.dead.contains(place));
        live.filter(|place| !knows(&self.known[*place])).count()
    }
}

proptest! {
    #![proptest_config(fixed_cases(128))]

    /// One gateway of each zone is dead and still counts as a relay, and half of all datagrams are lost for a
    /// while. One period after the losses end everybody knows what every engine holds.
    #[test]
    fn a_fleet_knows_within_a_period_with_dead_relays_and_after_losses(
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
        prop_assert_eq!(fleet.behind("m2", 650), 0);
    }

    /// A sidecar tells more than goes through: words are lost, doubled and crossed on both ways. Once two
    /// periods bring a whole pulse and a load through, in whatever order, the gateway knows what the
    /// sidecar said last.
    #[test]
    fn knowledge_converges_under_loss_doubling_and_crossing(
        noise in prop::collection::vec((0_usize..40, any::<bool>()), 0..80),
        models in prop::collection::vec(any::<bool>(), 40),
        load_first in any::<bool>(),
    ) {
        let names = |holds: bool| if holds { ["m1"].as_slice() } else { ["m2"].as_slice() };
        let mut words: Vec<EngineWord> = Vec::new();
        for (number, holds) in (1..).zip(&models) {
            words.push(whole(2 * number, names(*holds), 1));
            words.push(EngineWord::Load(load(2 * number + 1, u32::try_from(number).unwrap())));
        }
        let mut directory = EndpointDirectory::default();
        directory.apply_registry(vec![record(1, &["m3"])], at(0));
        for (place, is_load) in noise {
            hear(&mut directory, &words[2 * place + usize::from(is_load)], 100);
        }
        let last = words.len() - 2;
        let order = if load_first { [last + 1, last, last + 1] } else { [last, last + 1, last] };
        for place in order {
            hear(&mut directory, &words[place], 200);
        }
        let row = directory.row(&endpoint("e1")).unwrap();
        let held = names(models[39])[0];
        prop_assert!(row.holds(&model(held), at(210)));
        prop_assert_eq!(row.present(), 40);
    }
}
