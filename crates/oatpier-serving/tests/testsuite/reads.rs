//! Tests of the schedule of store reads and of the changes that gateways exchange.
//!
//! The scenario has about twelve gateways in one zone, each of which must see a change within two seconds.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::engine::StartTime;
use oatpier_serving::reads::{
    DeltaOutcome, FollowerTimes, InternalContents, ReadSchedule, RegisteredEndpoints,
    StoreContents, StoreDelta, StoreFollower, StoreKnowledge, StorePosition, StoreView,
    config_digest, endpoint_digest,
};

use crate::store_fleet::world::internal_contents;
use crate::support::{address, at, endpoint, millis, record};

const PERIOD: Duration = Duration::from_millis(1_800);

/// Simulates the gateways of a zone in steps of 10 ms. A gateway whose read is due reads, and those that
/// receive its message do so 20 ms later. Counts the reads and the longest time for which any gateway received
/// no data from the store.
struct ZoneRun {
    schedules: Vec<ReadSchedule>,
    updated_at: Vec<u64>,
    reads: u32,
    longest_ms: u64,
}

impl ZoneRun {
    fn new(gateways: u64) -> Self {
        let mut run = Self {
            schedules: (0..gateways).map(ReadSchedule::new).collect(),
            updated_at: Vec::new(),
            reads: 0,
            longest_ms: 0,
        };
        for schedule in &mut run.schedules {
            schedule.note_read(at(0), PERIOD);
            run.updated_at.push(0);
        }
        run
    }

    fn simulate(&mut self, from_ms: u64, to_ms: u64, receives: impl Fn(usize, usize) -> bool) {
        for now in (from_ms..to_ms).step_by(10) {
            for index in 0..self.schedules.len() {
                if self.schedules[index].next_at() <= at(now) {
                    self.read(index, now, &receives);
                }
            }
        }
    }

    fn read(&mut self, reader: usize, now: u64, receives: &impl Fn(usize, usize) -> bool) {
        self.reads += 1;
        self.schedules[reader].note_read(at(now), PERIOD);
        self.note_update(reader, now);
        for other in 0..self.schedules.len() {
            if other != reader && receives(reader, other) {
                self.schedules[other].note_peer_read(at(now), PERIOD);
                self.note_update(other, now + 20);
            }
        }
    }

    fn note_update(&mut self, index: usize, now: u64) {
        self.longest_ms = self
            .longest_ms
            .max(now.saturating_sub(self.updated_at[index]));
        self.updated_at[index] = now;
    }
}

#[test]
fn gateways_of_a_zone_share_reads() {
    let mut run = ZoneRun::new(13);
    run.simulate(10, 60_000, |_, _| true);
    // A single gateway reads about 38 times per minute, and thirteen without messages to each other 500
    // times.
    assert!(run.reads < 80, "{} reads", run.reads);
    assert!(run.longest_ms <= 1_850, "{} ms", run.longest_ms);
}

/// The gateway that read last is killed, one is partitioned from the others, and all messages are lost for
/// a while. Every gateway must still see the store within its period.
#[test]
fn gateways_see_changes_in_time_without_messages_from_others() {
    let mut run = ZoneRun::new(13);
    run.simulate(10, 10_000, |reader, other| reader != 0 && other != 1);
    run.simulate(10_000, 20_000, |_, _| false);
    assert!(run.longest_ms <= 1_850, "{} ms", run.longest_ms);
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// Returns what a read shows that begins at `now`.
fn contents(revision: u64, now: u64, endpoints: Vec<EndpointRecord>) -> StoreContents {
    StoreContents {
        begun: at(now),
        position: position(revision),
        last_position: position(revision),
        config: 7,
        internal: InternalContents::default(),
        endpoints,
    }
}

fn view(revision: u64, endpoints: Vec<EndpointRecord>) -> StoreView {
    StoreView::new(contents(revision, 0, endpoints), at(0))
}

/// Returns the message of a gateway that has read `before` and then `after`, a second apart.
fn delta(before: (u64, Vec<EndpointRecord>), after: (u64, Vec<EndpointRecord>)) -> StoreDelta {
    let mut view = view(before.0, before.1);
    view.apply_contents(contents(after.0, 1_000, after.1), false, at(1_000));
    view.recent_delta(at(1_000))
}

fn follower() -> StoreFollower {
    let times = FollowerTimes {
        period: PERIOD,
        heartbeat: millis(1_200),
    };
    StoreFollower::new(times, 1)
}

fn peer() -> SocketAddr {
    address(200)
}

fn names(view: &StoreView) -> Vec<String> {
    let mut names: Vec<String> = view.listed().map(|row| row.name.to_string()).collect();
    names.sort();
    names
}

fn draining(number: u8) -> EndpointRecord {
    EndpointRecord {
        draining: true,
        ..record(number, &["m1"])
    }
}

/// Between two reads of a gateway, one endpoint drains, one is removed and one is added. Gateways with the
/// same previous view apply these changes from its message, once. A gateway whose view is older than the
/// message's start cannot, and reads when its next read is due.
#[test]
fn changes_apply_only_to_a_matching_view() {
    let first = vec![record(1, &["m1"]), record(2, &["m1"])];
    let delta = delta(
        (100, first.clone()),
        (110, vec![draining(1), record(3, &["m1"])]),
    );
    let mut other = view(100, first);
    assert_eq!(
        other.apply_delta(&delta, false, at(1_020)),
        DeltaOutcome::Current
    );
    assert_eq!(names(&other), ["e1", "e3"]);
    let drains = |view: &StoreView| view.listed().filter(|row| row.draining).count();
    assert_eq!(drains(&other), 1);
    assert_eq!(
        other.apply_delta(&delta, false, at(1_030)),
        DeltaOutcome::Current
    );
    assert_eq!(names(&other), ["e1", "e3"]);
    let mut behind = view(90, vec![record(1, &["m1"])]);
    assert_eq!(
        behind.apply_delta(&delta, false, at(1_020)),
        DeltaOutcome::Missed
    );
    assert_eq!(names(&behind), ["e1"]);
}

/// Guards against a gateway that can't follow the others any more because it has lost one message.
#[test]
fn a_lost_message_is_made_up_for_by_the_next() {
    let mut reader = view(100, vec![record(1, &["m1"]), record(2, &["m1"])]);
    let mut other = reader.clone();
    reader.apply_contents(contents(110, 800, vec![record(2, &["m1"])]), false, at(800));
    let lost = reader.recent_delta(at(800));
    reader.apply_contents(contents(120, 1_600, vec![draining(2)]), false, at(1_600));
    let next = reader.recent_delta(at(1_600));
    assert_eq!(
        other.apply_delta(&next, false, at(1_620)),
        DeltaOutcome::Current
    );
    assert_eq!(other.listed().cloned().collect::<Vec<_>>(), [draining(2)]);
    assert_eq!(
        other.apply_delta(&lost, false, at(1_900)),
        DeltaOutcome::Older
    );
    assert_eq!(other.listed().cloned().collect::<Vec<_>>(), [draining(2)]);
}

/// The operator changes the configuration, and a gateway's entry changes. A message does not carry them, so
/// the receivers must read the store. Until they can, they learn of the endpoints nevertheless.
#[test]
fn configuration_change_is_not_applied_from_a_message() {
    let changed = |config, internal| {
        let mut reader = view(100, vec![record(1, &["m1"])]);
        let contents = StoreContents {
            config,
            internal: internal_contents(internal),
            ..contents(110, 1_000, vec![draining(1)])
        };
        reader.apply_contents(contents, false, at(1_000));
        reader.recent_delta(at(1_000))
    };
    for delta in [changed(8, 0), changed(7, 1)] {
        let mut follower = follower();
        follower.apply_read(contents(100, 0, vec![record(1, &["m1"])]), at(0));
        let read_at = follower.next_read_at();
        let (outcome, knowledge) = follower.apply_delta(peer(), &delta, at(1_020));
        let knowledge = knowledge.unwrap();
        assert_eq!(outcome, DeltaOutcome::Partial);
        assert_eq!(knowledge.endpoints.unwrap().listed, [draining(1)]);
        assert_eq!(knowledge.confirms_config, delta.digest.config == 7);
        assert_eq!(follower.next_read_at(), read_at);
    }
}

/// A whole fleet has started between two reads. The message must still fit into one packet, and other
/// gateways read the store themselves.
#[test]
fn too_many_changes_are_left_out_of_the_message() {
    let many = (1..100).map(|number| record(number, &["m1"])).collect();
    let delta = delta((100, Vec::new()), (110, many));
    assert!(delta.changed.is_empty());
    let mut other = view(100, Vec::new());
    assert_eq!(
        other.apply_delta(&delta, false, at(1_020)),
        DeltaOutcome::Missed
    );
    assert_eq!(names(&other), [""; 0]);
}

/// Guards against a message that grows with the number of endpoints that leave at once.
#[test]
fn too_many_removals_are_left_out_of_the_message() {
    let many: Vec<EndpointRecord> = (1..100).map(|number| record(number, &["m1"])).collect();
    let delta = delta((100, many.clone()), (110, Vec::new()));
    assert!(delta.removed.is_empty());
    let mut other = view(100, many);
    assert_eq!(
        other.apply_delta(&delta, false, at(1_020)),
        DeltaOutcome::Missed
    );
    assert_eq!(other.listed().count(), 99);
}

/// Guards against an endpoint that is dropped because its previous incarnation, of the same name, was removed.
#[test]
fn removal_of_an_incarnation_does_not_remove_a_later_one() {
    let started = |start| EndpointRecord {
        start: Some(StartTime(start)),
        ..record(1, &["m1"])
    };
    let mut delta = delta((100, vec![started(1)]), (110, Vec::new()));
    let mut other = view(105, vec![started(2)]);
    delta.since = position(100);
    assert_eq!(
        other.apply_delta(&delta, false, at(1_020)),
        DeltaOutcome::Diverged
    );
    assert_eq!(names(&other), ["e1"]);
}

/// Guards against a read that brings back what a message has removed while the read was in progress.
#[test]
fn a_read_that_began_before_a_later_message_changes_nothing() {
    let endpoints = vec![record(1, &["m1"]), record(2, &["m1"])];
    let delta = delta((100, endpoints.clone()), (110, vec![record(2, &["m1"])]));
    let mut view = view(100, endpoints.clone());
    view.apply_delta(&delta, false, at(1_020));
    let late = contents(105, 900, endpoints.clone());
    assert!(!view.apply_contents(late, false, at(1_100)));
    assert_eq!(names(&view), ["e2"]);
    // The store itself says otherwise later. It counts, whatever position the message named.
    assert!(view.apply_contents(contents(105, 1_200, endpoints), false, at(1_210)));
    assert_eq!(names(&view), ["e1", "e2"]);
}

/// Guards against knowledge that counts as fresh because its message arrived late.
#[test]
fn the_age_of_a_message_counts_from_the_senders_read() {
    let endpoints = || vec![record(1, &["m1"])];
    let mut reader = view(100, endpoints());
    reader.apply_contents(contents(110, 1_000, endpoints()), false, at(1_000));
    let delta = reader.recent_delta(at(1_700));
    assert_eq!(delta.age(), millis(700));
    let mut follower = follower();
    follower.apply_read(contents(100, 0, endpoints()), at(0));
    let (outcome, knowledge) = follower.apply_delta(peer(), &delta, at(1_700));
    assert_eq!(outcome, DeltaOutcome::Current);
    assert_eq!(knowledge.unwrap().age, millis(700));
    assert!(follower.next_read_at() <= at(1_000) + PERIOD);
}

/// The digest leaves out what engines hold, so messages must not replace a gateway's reads indefinitely.
#[test]
fn messages_do_not_replace_reads_indefinitely() {
    let mut schedule = ReadSchedule::new(1);
    schedule.note_read(at(0), PERIOD);
    let spared = (1..=40).take_while(|number| {
        let now = at(number * 1_000);
        schedule.note_peer_read(now, PERIOD);
        schedule.next_at() > now
    });
    assert!(spared.count() < 30);
}

#[test]
fn digest_covers_registered_endpoints_and_configuration() {
    let endpoints = vec![record(1, &["m1"]), record(2, &["m1"])];
    let digest_of = |endpoints: &[EndpointRecord]| view(100, endpoints.to_vec()).digest();
    let digest = digest_of(&endpoints);
    let crossed = [endpoints[1].clone(), endpoints[0].clone()];
    assert_eq!(digest, digest_of(&crossed));
    let mut other_models = endpoints.clone();
    other_models[0].models.clear();
    assert_eq!(digest, digest_of(&other_models));
    let other_config = StoreContents {
        config: 8,
        ..contents(100, 0, endpoints.clone())
    };
    assert_ne!(digest, StoreView::new(other_config, at(0)).digest());
    assert_ne!(digest, digest_of(&endpoints[..1]));
    let mut drains = endpoints.clone();
    drains[1].draining = true;
    assert_ne!(digest, digest_of(&drains));
    assert_ne!(endpoint_digest(&endpoints[1]), endpoint_digest(&drains[1]));
    let mut moved = endpoints;
    moved[0].cold = millis(5);
    assert_eq!(digest, digest_of(&moved));
}

/// The digest follows each change. Two gateways that have reached the same contents in different ways must
/// agree.
#[test]
fn digest_depends_only_on_the_contents() {
    let mut changed = view(100, vec![record(1, &["m1"]), record(2, &["m1"])]);
    changed.apply_contents(contents(110, 1_000, vec![draining(1)]), false, at(1_000));
    changed.apply_contents(
        contents(120, 2_000, vec![draining(1), record(3, &["m1"])]),
        false,
        at(2_000),
    );
    let read = view(120, vec![record(3, &["m1"]), draining(1)]);
    assert_eq!(changed.digest(), read.digest());
}

/// The store is restored from an older copy and assigns its revisions again, so an old configuration may
/// have the revision of a new one. A gateway with the old configuration must not take a message as
/// confirmation of its own view.
#[test]
fn configurations_are_distinguished_by_contents() {
    assert_ne!(
        config_digest(b"{\"version\":7}"),
        config_digest(b"{\"version\":8}")
    );
    let view = |era| {
        let position = StorePosition { era, revision: 100 };
        let contents = StoreContents {
            position,
            last_position: position,
            ..contents(100, 0, vec![record(1, &["m1"])])
        };
        StoreView::new(contents, at(0))
    };
    let delta = view(2).recent_delta(at(0));
    assert_eq!(
        view(2).apply_delta(&delta, false, at(10)),
        DeltaOutcome::Current
    );
    assert_eq!(
        view(1).apply_delta(&delta, false, at(10)),
        DeltaOutcome::Missed
    );
    assert_eq!(
        view(3).apply_delta(&delta, false, at(10)),
        DeltaOutcome::Older
    );
}

/// Returns a follower that has read `endpoints` at 0 s, and whose read at 1 s has failed.
fn after_failure(endpoints: Vec<EndpointRecord>) -> StoreFollower {
    let mut follower = follower();
    follower.apply_read(contents(100, 0, endpoints), at(0));
    follower.note_read_failure(at(1_000));
    follower
}

fn known(knowledge: &StoreKnowledge) -> Vec<String> {
    let endpoints = knowledge.endpoints.clone().unwrap_or_default();
    let listed = endpoints.listed.into_iter().map(|row| row.name);
    let names = listed.chain(endpoints.kept);
    let mut names: Vec<String> = names.map(|name| name.to_string()).collect();
    names.sort();
    names
}

/// Entries expire while the store is down, and their endpoints rewrite them within two seconds of its
/// recovery. Requests would be refused for lack of endpoints although all of them are running. A missing
/// entry is therefore kept for that long and removed afterwards.
#[test]
fn expired_entries_are_kept_for_a_grace_period_after_a_store_outage() {
    let mut follower = after_failure(vec![record(1, &["m1"]), draining(2)]);
    let knowledge = follower.apply_read(contents(110, 1_500, Vec::new()), at(1_500));
    assert_eq!(known(&knowledge), ["e1"]);
    assert_eq!(knowledge.newly_kept, [endpoint("e1")]);
    let knowledge = follower.apply_read(contents(115, 2_300, Vec::new()), at(2_300));
    assert_eq!(known(&knowledge), ["e1"]);
    assert!(knowledge.newly_kept.is_empty());
    let knowledge = follower.apply_read(contents(120, 4_000, Vec::new()), at(4_000));
    assert_eq!(known(&knowledge), [""; 0]);
}

/// Guards against an endpoint that is kept after the grace period because no read is due when it ends.
#[test]
fn a_read_is_due_when_the_grace_period_ends() {
    let mut follower = after_failure(vec![record(1, &["m1"])]);
    follower.apply_read(contents(110, 1_500, Vec::new()), at(1_500));
    let mut now = 1_500;
    let mut reads = 0;
    while now < 3_500 {
        let message = delta((110, Vec::new()), (120 + now, Vec::new()));
        let (outcome, _) = follower.apply_delta(peer(), &message, at(now));
        assert_ne!(outcome, DeltaOutcome::Missed);
        now += 100;
        if follower.next_read_at() <= at(now) {
            reads += 1;
            follower.apply_read(contents(120 + now, now, Vec::new()), at(now));
        }
    }
    assert!(reads <= 3, "{reads} reads");
    assert!(follower.next_read_at() <= at(3_500) + PERIOD);
    let knowledge = follower.apply_read(contents(9_000, 3_510, Vec::new()), at(3_510));
    assert_eq!(known(&knowledge), [""; 0]);
}

/// Guards against an endpoint that is kept although another gateway has read, after the grace period, that it
/// has not registered again.
#[test]
fn a_message_after_the_grace_period_ends_it() {
    let mut follower = after_failure(vec![record(1, &["m1"])]);
    follower.apply_read(contents(110, 1_500, Vec::new()), at(1_500));
    let mut reader = StoreView::new(contents(110, 1_500, Vec::new()), at(1_500));
    reader.apply_contents(contents(120, 3_000, Vec::new()), false, at(3_000));
    let (_, knowledge) = follower.apply_delta(peer(), &reader.recent_delta(at(3_000)), at(3_010));
    assert_eq!(knowledge.unwrap().endpoints, None);
    reader.apply_contents(contents(130, 3_600, Vec::new()), false, at(3_600));
    let (_, knowledge) = follower.apply_delta(peer(), &reader.recent_delta(at(3_600)), at(3_610));
    assert_eq!(
        knowledge.unwrap().endpoints,
        Some(RegisteredEndpoints::default())
    );
}

/// Guards against a grace period at a gateway that was separated from the store and from the others, although
/// one of them has read the store all the while.
#[test]
fn a_message_of_a_gateway_that_saw_no_outage_ends_the_grace_period() {
    let mut follower = after_failure(vec![record(1, &["m1"])]);
    let knowledge = follower.apply_read(contents(110, 4_500, Vec::new()), at(4_500));
    assert_eq!(known(&knowledge), ["e1"]);
    let mut reader = view(100, Vec::new());
    reader.apply_contents(contents(120, 4_600, Vec::new()), false, at(4_600));
    let (_, knowledge) = follower.apply_delta(peer(), &reader.recent_delta(at(4_600)), at(4_610));
    assert_eq!(
        knowledge.unwrap().endpoints,
        Some(RegisteredEndpoints::default())
    );
}

/// Guards against a gateway that takes its own separation from the store for an outage of the store: it keeps
/// endpoints that have left, although the others have read all the while that these were removed.
#[test]
fn a_gateway_that_others_keep_informed_has_no_grace_period() {
    let mut follower = after_failure(vec![record(1, &["m1"]), record(2, &["m1"])]);
    let mut reader = view(100, vec![record(1, &["m1"]), record(2, &["m1"])]);
    reader.apply_contents(
        contents(110, 1_400, vec![record(2, &["m1"])]),
        false,
        at(1_400),
    );
    let (outcome, knowledge) =
        follower.apply_delta(peer(), &reader.recent_delta(at(1_400)), at(1_420));
    assert_eq!(outcome, DeltaOutcome::Current);
    assert_eq!(known(&knowledge.unwrap()), ["e2"]);
    follower.note_read_failure(at(1_500));
    let knowledge = follower.apply_read(contents(120, 2_400, Vec::new()), at(2_400));
    assert_eq!(known(&knowledge), [""; 0]);
    assert!(knowledge.newly_kept.is_empty());
}

/// Guards against a gateway that drops an endpoint which another one keeps after an outage that both have seen, and
/// against one that keeps it although it has seen none.
#[test]
fn other_gateways_are_told_which_endpoints_are_kept() {
    let mut follower = after_failure(vec![record(1, &["m1"])]);
    let knowledge = follower.apply_read(contents(110, 1_500, Vec::new()), at(1_500));
    let delta = knowledge.delta.unwrap();
    let mut separated = after_failure(vec![record(1, &["m1"])]);
    let (outcome, knowledge) = separated.apply_delta(peer(), &delta, at(1_520));
    assert_eq!(outcome, DeltaOutcome::Current);
    assert_eq!(known(&knowledge.unwrap()), ["e1"]);
    assert!(separated.next_read_at() <= at(3_500));
    let mut reader = after_failure(vec![record(1, &["m1"])]);
    reader.apply_read(contents(105, 1_100, vec![record(1, &["m1"])]), at(1_100));
    let (outcome, knowledge) = reader.apply_delta(peer(), &delta, at(1_520));
    assert_eq!(outcome, DeltaOutcome::Current);
    assert_eq!(known(&knowledge.unwrap()), [""; 0]);
}

/// Guards against other gateways that do not learn that an endpoint has registered again.
#[test]
fn an_endpoint_that_registers_again_is_a_change() {
    let mut follower = after_failure(vec![record(1, &["m1"])]);
    follower.apply_read(contents(110, 1_500, Vec::new()), at(1_500));
    let registered = vec![record(1, &["m1"])];
    let knowledge = follower.apply_read(contents(120, 2_400, registered), at(2_400));
    assert_eq!(knowledge.delta.unwrap().changed, [record(1, &["m1"])]);
}

/// Engines that registered after the copy was made are missing until they rewrite their entries, which
/// takes one or two heartbeats. They must not be removed in the meantime.
#[test]
fn engine_missing_from_a_restored_store_is_kept_until_it_rewrites_its_entry() {
    let restored = |revision, now| {
        let position = StorePosition { era: 2, revision };
        StoreContents {
            position,
            last_position: position,
            ..contents(revision, now, Vec::new())
        }
    };
    let mut follower = follower();
    follower.apply_read(contents(100, 0, vec![record(1, &["m1"])]), at(0));
    let knowledge = follower.apply_read(restored(90, 1_000), at(1_000));
    assert_eq!(known(&knowledge), ["e1"]);
    let knowledge = follower.apply_read(restored(95, 4_000), at(4_000));
    assert_eq!(known(&knowledge), [""; 0]);
}
