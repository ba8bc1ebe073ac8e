//! Tests of how the reads of the store grow with the gateways of a zone and with the endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::engine::StartTime;
use oatpier_serving::reads::{
    ExcerptQuery, FollowerTimes, InternalContents, InternalDigest, ReadSchedule, StoreContents,
    StoreDelta, StoreFollower, StorePosition, ZonePlace,
};

use crate::support::{at, millis, record};

const PERIOD: Duration = Duration::from_millis(1_800);

/// Digest of the configuration, which never changes here.
const CONFIG: u64 = 7;

/// Returns the schedules of the gateways of a zone, which have all read at the start.
fn ranked_schedules(gateways: u32) -> Vec<ReadSchedule> {
    let schedules = (0..gateways).map(|rank| {
        let mut schedule = ReadSchedule::new(u64::from(rank));
        schedule.set_place(Some(ZonePlace { rank, gateways }));
        schedule.note_read(at(0), PERIOD);
        schedule
    });
    schedules.collect()
}

/// Returns how often the gateways of a zone read in a minute. A read reaches the others 100 ms after it began, the time
/// that a thin VM takes to decode it.
fn reads_per_minute(gateways: u32) -> usize {
    let mut schedules = ranked_schedules(gateways);
    let mut begun: Vec<(u64, usize)> = Vec::new();
    let mut told = 0;
    for now in (10..60_000).step_by(10) {
        while let Some((at_ms, reader)) = begun.get(told).filter(|(at_ms, _)| at_ms + 100 <= now) {
            let others = schedules.iter_mut().enumerate();
            for (_, schedule) in others.filter(|(index, _)| index != reader) {
                schedule.note_peer_read(at(*at_ms), PERIOD);
            }
            told += 1;
        }
        for (index, schedule) in schedules.iter_mut().enumerate() {
            if schedule.next_at() <= at(now) {
                schedule.note_read(at(now), PERIOD);
                begun.push((now, index));
            }
        }
    }
    begun.len()
}

/// Guards against a number of reads that grows with the gateways of a zone: those that are due before a read has reached
/// them read too, and each reads by itself after some time. A single gateway reads 38 times.
#[test]
fn the_reads_of_a_zone_do_not_grow_with_its_gateways() {
    for gateways in [12, 71, 200] {
        let reads = reads_per_minute(gateways);
        assert!(reads < 150, "{reads} reads of {gateways} gateways");
    }
}

/// A zone of gateways that follow a store in which many entries change. The gateway with the lowest number reads first.
struct BusyZone {
    followers: Vec<StoreFollower>,
    /// Messages with the time at which they arrive at all other gateways, and their sender.
    messages: Vec<(u64, usize, StoreDelta)>,
    reads: usize,
}

/// Entries of the registry, and how many of them change each second: more than fit into a message.
const BUSY_ENTRIES: u8 = 60;
const CHANGES_PER_SECOND: u64 = 20;

impl BusyZone {
    fn new(gateways: u32) -> Self {
        let followers = (0..gateways).map(|rank| {
            let times = FollowerTimes {
                period: PERIOD,
                heartbeat: millis(1_200),
            };
            let mut follower = StoreFollower::new(times, u64::from(rank));
            follower.set_place(Some(ZonePlace { rank, gateways }));
            follower
        });
        Self {
            followers: followers.collect(),
            messages: Vec::new(),
            reads: 0,
        }
    }

    fn address(index: usize) -> SocketAddr {
        SocketAddr::from(([10, 1, 0, 1], u16::try_from(index).unwrap()))
    }

    /// Returns the registry as the store holds it at a time.
    fn entries(now: u64) -> Vec<EndpointRecord> {
        let second = now / 1_000;
        let entries = (0..BUSY_ENTRIES).map(|number| {
            let turn = (second * CHANGES_PER_SECOND + 60 - u64::from(number)) / 60;
            EndpointRecord {
                start: Some(StartTime(turn)),
                ..record(number, &["m1"])
            }
        });
        entries.collect()
    }

    /// Returns what a read shows that begins at a time.
    fn contents(now: u64) -> StoreContents {
        let position = StorePosition {
            era: 1,
            revision: 100 + now / 1_000,
        };
        StoreContents {
            begun: at(now),
            position,
            last_position: position,
            config: CONFIG,
            internal: InternalContents::default(),
            endpoints: Self::entries(now),
        }
    }

    fn step(&mut self, now: u64) {
        let arrived = self.messages.extract_if(.., |(due, _, _)| *due <= now);
        for (_, sender, delta) in arrived.collect::<Vec<_>>() {
            for (index, follower) in self.followers.iter_mut().enumerate() {
                if index != sender {
                    follower.apply_delta(Self::address(sender), &delta, at(now));
                }
            }
        }
        for index in 0..self.followers.len() {
            if self.followers[index].next_read_at() <= at(now) {
                let contents = Self::contents(now);
                let knowledge = self.followers[index].apply_read(contents, at(now));
                self.messages
                    .push((now + 100, index, knowledge.delta.unwrap()));
                self.reads += 1;
            }
            if self.followers[index]
                .next_fetch_at()
                .is_some_and(|due| due <= at(now))
            {
                self.ask(index, now);
            }
        }
    }

    fn ask(&mut self, index: usize, now: u64) {
        let Some(fetch) = self.followers[index].begin_fetch(&[], at(now)) else {
            return;
        };
        let asked = usize::from(fetch.peer.port());
        match self.followers[asked].excerpt(&fetch.query, at(now)) {
            Some(excerpt) => {
                self.followers[index].apply_excerpt(&excerpt, at(now));
            }
            None => self.followers[index].note_fetch_failure(at(now)),
        }
    }
}

/// Guards against a read by each gateway of a zone whenever more entries change than fit into a message, as with hundreds of
/// engines: they ask the gateway that has read.
#[test]
fn the_reads_of_a_zone_do_not_grow_while_many_entries_change() {
    for gateways in [12, 71, 200] {
        let mut zone = BusyZone::new(gateways);
        (0..1_000).step_by(10).for_each(|now| zone.step(now));
        zone.reads = 0;
        (1_000..31_000).step_by(10).for_each(|now| zone.step(now));
        assert!(
            zone.reads < 75,
            "{} reads of {gateways} gateways",
            zone.reads
        );
        let current = BusyZone::entries(30_990);
        let is_current = |follower: &StoreFollower| {
            let query = ExcerptQuery {
                since: None,
                internal: InternalDigest::default(),
                config: CONFIG,
            };
            let known = follower.excerpt(&query, at(31_000)).unwrap().delta.changed;
            let fresh = current.iter().filter(|entry| known.contains(entry));
            fresh.count() >= current.len() / 3
        };
        assert!(zone.followers.iter().all(is_current));
    }
}

/// Guards against gateways that started together and read by themselves in the same period.
#[test]
fn gateways_that_started_together_do_not_read_by_themselves_together() {
    let mut schedules = ranked_schedules(71);
    for now in (1_000..).step_by(1_000).take(200) {
        let mut due = 0;
        for schedule in &mut schedules {
            schedule.note_peer_read(at(now), PERIOD);
            if schedule.next_at() <= at(now) {
                due += 1;
                schedule.note_read(at(now), PERIOD);
            }
        }
        assert!(due <= 7, "{due} gateways read at {now} ms");
    }
}
