//! A gateway that follows the store with the code under test.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::quota::lease::StoreEra;
use oatpier_serving::reads::{
    ExcerptFetch, ExcerptQuery, FollowerTimes, StoreContents, StoreDelta, StoreExcerpt,
    StoreFollower, StoreKnowledge,
};

use super::ZONES;
use super::world::{Contents, HEARTBEAT_MS, StoreAnswer, World, name};
use crate::support::{at, endpoint};

const TIMES: FollowerTimes = FollowerTimes {
    period: Duration::from_millis(900),
    heartbeat: Duration::from_millis(HEARTBEAT_MS),
};

/// A message and the gateway that sent it.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    pub from: usize,
    pub delta: StoreDelta,
}

#[derive(Debug)]
struct Reading {
    begun: u64,
    done: u64,
    contents: Option<Contents>,
}

#[derive(Debug)]
pub struct FleetGateway {
    index: usize,
    follower: StoreFollower,
    directory: EndpointDirectory,
    reading: Option<Reading>,
    inbox: Vec<ReceivedMessage>,
    is_fetching: bool,
    era: Option<StoreEra>,
}

impl FleetGateway {
    pub fn new(index: usize, seed: u64) -> Self {
        Self {
            index,
            follower: StoreFollower::new(TIMES, seed + u64::try_from(index).unwrap()),
            directory: EndpointDirectory::default(),
            reading: None,
            inbox: Vec::new(),
            is_fetching: false,
            era: None,
        }
    }

    pub fn is_open(&self, id: u32, now: u64) -> bool {
        let row = self.directory.row(&endpoint(&name(id)));
        row.is_some_and(|row| row.is_open(at(now)))
    }

    pub fn receive(&mut self, message: ReceivedMessage) {
        self.inbox.push(message);
    }

    /// Advances to the world's time. Returns the message to the other gateways of the zone, if there is one.
    pub fn step(&mut self, world: &mut World) -> Option<StoreDelta> {
        let now = world.now;
        for message in std::mem::take(&mut self.inbox) {
            self.apply_message(&message, now);
        }
        if let Some(reading) = self.reading.take_if(|reading| reading.done <= now) {
            return self.finish_read(reading, now);
        }
        if self.reading.is_none() && self.follower.next_read_at() <= at(now) {
            self.begin_read(world);
        }
        None
    }

    /// Returns the question to another gateway that is due.
    pub fn begin_fetch(&mut self, now: u64) -> Option<ExcerptFetch> {
        let due = self.follower.next_fetch_at()?;
        if self.is_fetching || due > at(now) {
            return None;
        }
        let peers: Vec<SocketAddr> = (0..ZONES.len())
            .filter(|index| *index != self.index)
            .map(peer_address)
            .collect();
        let fetch = self.follower.begin_fetch(&peers, at(now))?;
        self.is_fetching = true;
        Some(fetch)
    }

    pub fn answer(&self, query: &ExcerptQuery, now: u64) -> Option<StoreExcerpt> {
        self.follower.excerpt(query, at(now))
    }

    pub fn finish_fetch(&mut self, excerpt: Option<StoreExcerpt>, now: u64) {
        self.is_fetching = false;
        let Some(excerpt) = excerpt else {
            self.follower.note_fetch_failure(at(now));
            return;
        };
        if let (_, Some(knowledge)) = self.follower.apply_excerpt(&excerpt, at(now)) {
            self.learn(knowledge, now);
        }
    }

    fn begin_read(&mut self, world: &mut World) {
        let begun = world.now;
        self.follower.note_read_begun(at(begun));
        let reading = match world.answer(self.index) {
            StoreAnswer::Contents(delay) => Reading {
                begun,
                done: begun + delay,
                contents: Some(world.contents()),
            },
            StoreAnswer::Rejected => Reading {
                begun,
                done: begun + 10,
                contents: None,
            },
            StoreAnswer::Silence => Reading {
                begun,
                done: begun + u64::try_from(self.follower.read_timeout().as_millis()).unwrap(),
                contents: None,
            },
        };
        self.reading = Some(reading);
    }

    fn finish_read(&mut self, reading: Reading, now: u64) -> Option<StoreDelta> {
        let Some(contents) = reading.contents else {
            self.follower.note_read_failure(at(reading.begun));
            return None;
        };
        let contents = StoreContents {
            begun: at(reading.begun),
            position: contents.position,
            last_position: contents.position,
            config: contents.config,
            internal: contents.internal,
            endpoints: contents.records,
        };
        let knowledge = self.follower.apply_read(contents, at(now));
        self.learn(knowledge, now)
    }

    fn apply_message(&mut self, message: &ReceivedMessage, now: u64) {
        let from = peer_address(message.from);
        if let (_, Some(knowledge)) = self.follower.apply_delta(from, &message.delta, at(now)) {
            self.learn(knowledge, now);
        }
    }

    /// Applies what was learned, and returns the message to the other gateways of the zone.
    fn learn(&mut self, knowledge: StoreKnowledge, now: u64) -> Option<StoreDelta> {
        let era = self.era.replace(knowledge.era);
        if era.is_some_and(|era| era != knowledge.era) {
            self.directory.note_store_restored(at(now));
        }
        if let Some(endpoints) = knowledge.endpoints {
            let known_at = at(now) - knowledge.age;
            self.directory
                .apply_registered(endpoints, known_at, at(now));
        }
        knowledge.delta
    }
}

/// Returns the address at which a gateway answers others.
fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, u8::try_from(index).unwrap()], 7380))
}

/// Returns the gateway at an address.
pub fn peer_index(peer: SocketAddr) -> usize {
    (0..ZONES.len())
        .find(|index| peer_address(*index) == peer)
        .unwrap()
}
