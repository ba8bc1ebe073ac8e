//! When a gateway reads the store.
//!
//! The load: a dozen gateways of one zone, each of which must see a change within two seconds.

use std::time::Duration;

use oatpier_serving::reads::{
    OwnEntries, ReadSchedule, StoreDigest, StoreView, WordOutcome, config_mark,
};

use crate::support::{at, millis, record};

const PERIOD: Duration = Duration::from_millis(1_800);

/// Gateways of a zone in steps of 10 ms: whoever is due reads, and those that hear it are told 20 ms later.
/// Counts the reads, and the longest time that any gateway went without a word on the store.
struct ZoneRun {
    schedules: Vec<ReadSchedule>,
    heard_at: Vec<u64>,
    reads: u32,
    longest_ms: u64,
}

impl ZoneRun {
    fn new(gateways: u64) -> Self {
        let mut run = Self {
            schedules: (0..gateways).map(ReadSchedule::new).collect(),
            heard_at: Vec::new(),
            reads: 0,
            longest_ms: 0,
        };
        for schedule in &mut run.schedules {
            schedule.note_read(at(0), PERIOD);
            run.heard_at.push(0);
        }
        run
    }

    fn play(&mut self, from_ms: u64, to_ms: u64, hears: impl Fn(usize, usize) -> bool) {
        for now in (from_ms..to_ms).step_by(10) {
            for place in 0..self.schedules.len() {
                if self.schedules[place].next_at() <= at(now) {
                    self.read(place, now, &hears);
                }
            }
        }
    }

    fn read(&mut self, reader: usize, now: u64, hears: &impl Fn(usize, usize) -> bool) {
        self.reads += 1;
        self.schedules[reader].note_read(at(now), PERIOD);
        self.note_heard(reader, now);
        for other in 0..self.schedules.len() {
            if other != reader && hears(reader, other) {
                self.schedules[other].note_told(PERIOD, at(now + 20));
                self.note_heard(other, now + 20);
            }
        }
    }

    fn note_heard(&mut self, place: usize, now: u64) {
        self.longest_ms = self
            .longest_ms
            .max(now.saturating_sub(self.heard_at[place]));
        self.heard_at[place] = now;
    }
}

#[test]
fn a_zone_reads_hardly_more_often_than_one_gateway() {
    let mut run = ZoneRun::new(13);
    run.play(10, 60_000, |_, _| true);
    // One gateway alone reads some 38 times a minute, thirteen without a word to each other 500 times.
    assert!(run.reads < 80, "{} reads", run.reads);
    assert!(run.longest_ms <= 1_850, "{} ms", run.longest_ms);
}

/// The gateway that has read last is killed, one is cut off from the others, and all words are lost for a
/// while. Everybody still knows the store within its period.
#[test]
fn nobody_depends_on_another_gateways_reads() {
    let mut run = ZoneRun::new(13);
    run.play(10, 10_000, |reader, other| reader != 0 && other != 1);
    run.play(10_000, 20_000, |_, _| false);
    assert!(run.longest_ms <= 1_850, "{} ms", run.longest_ms);
}

/// An endpoint drains, one goes and one comes between two reads of a gateway. Those that knew what it knew take
/// all of that over from its word; one that had missed the word before can't, and reads when that is due.
#[test]
fn what_has_changed_is_taken_over_by_who_knew_what_was_there() {
    let first = StoreView::new(7, vec![record(1, &["m1"]), record(2, &["m1"])]);
    let mut draining = record(1, &["m1"]);
    draining.draining = true;
    let second = StoreView::new(7, vec![draining, record(3, &["m1"])]);
    let word = second.word_since(Some(&first));
    let mut other = first.clone();
    assert_eq!(other.take_word(&word), WordOutcome::Patched);
    let draining: Vec<bool> = other.endpoints().iter().map(|row| row.draining).collect();
    assert_eq!(draining, vec![true, false]);
    assert_eq!(other.take_word(&word), WordOutcome::Same);
    let mut behind = StoreView::new(7, vec![record(1, &["m1"])]);
    assert_eq!(behind.take_word(&word), WordOutcome::Unknown);
    assert_eq!(behind.endpoints().len(), 1);
}

/// The operator changes the configuration. A word does not carry it: who hears the word reads.
#[test]
fn a_new_configuration_is_not_taken_for_known() {
    let first = StoreView::new(7, vec![record(1, &["m1"])]);
    let second = StoreView::new(8, vec![record(1, &["m1"]), record(2, &["m1"])]);
    let mut other = first.clone();
    let word = second.word_since(Some(&first));
    assert_eq!(other.take_word(&word), WordOutcome::Unknown);
    assert_eq!(other, first);
}

/// A whole fleet has started between two reads. The word stays one packet, and others read by themselves.
#[test]
fn a_word_stays_small_and_is_of_no_use_where_too_much_has_changed() {
    let first = StoreView::new(7, Vec::new());
    let second = StoreView::new(7, (1..100).map(|number| record(number, &["m1"])).collect());
    let word = second.word_since(Some(&first));
    assert!(word.changed.is_empty());
    assert_eq!(first.clone().take_word(&word), WordOutcome::Unknown);
}

/// Other gateways spare one its reads for a while, not for ever: the digest leaves out what engines hold.
#[test]
fn a_gateway_reads_now_and_then_whatever_it_hears() {
    let mut schedule = ReadSchedule::new(1);
    schedule.note_read(at(0), PERIOD);
    let spared = (1..=40).take_while(|number| {
        let now = at(number * 1_000);
        schedule.note_told(PERIOD, now);
        schedule.next_at() > now
    });
    assert!(spared.count() < 30);
}

#[test]
fn a_digest_tells_who_is_there_and_the_configuration() {
    let endpoints = [record(1, &["m1"]), record(2, &["m1"])];
    let digest = StoreDigest::of(7, &endpoints);
    let crossed = [endpoints[1].clone(), endpoints[0].clone()];
    assert_eq!(digest, StoreDigest::of(7, &crossed));
    let mut other_models = endpoints.clone();
    other_models[0].models.clear();
    assert_eq!(digest, StoreDigest::of(7, &other_models));
    assert_ne!(digest, StoreDigest::of(8, &endpoints));
    assert_ne!(digest, StoreDigest::of(7, &endpoints[..1]));
    let mut draining = endpoints.clone();
    draining[1].draining = true;
    assert_ne!(digest, StoreDigest::of(7, &draining));
    let mut moved = endpoints;
    moved[0].cold = millis(5);
    assert_eq!(digest, StoreDigest::of(7, &moved));
}

/// The store comes back from an older copy and gives its revisions out again: an old configuration then has the
/// revision of a new one. A gateway that knows the old one must not take a neighbour's word for its own view.
#[test]
fn configurations_are_told_apart_by_what_they_say() {
    assert_ne!(
        config_mark(b"{\"version\":7}"),
        config_mark(b"{\"version\":8}")
    );
    let view = |era| {
        StoreView::new(7, vec![record(1, &["m1"])]).with_own(&OwnEntries {
            crashes: &[],
            parts: &[],
            era,
        })
    };
    let word = view(2).word_since(Some(&view(2)));
    assert_eq!(view(2).take_word(&word), WordOutcome::Same);
    assert_eq!(view(1).take_word(&word), WordOutcome::Unknown);
}
