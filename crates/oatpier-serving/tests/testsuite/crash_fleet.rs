//! A fleet of gateways before a request that ends each engine that runs it.
//!
//! Its caller comes back at once, at any gateway. Datagrams between gateways are lost, the store goes away or
//! answers nobody, and gateways are restarted with nothing in their memory.

use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::crashes::book::{CrashBook, SuspectVerdict};
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use proptest::prelude::*;

use crate::crashes::{crash, fingerprint};
use crate::support::{at, fixed_cases};

/// How long calm must have lasted for a gateway to count, in milliseconds.
const STABLE_MS: u64 = 3_000;

/// Sends that are allowed after the third end and this calm.
const SENDS_ALLOWED: usize = 3;

/// From one look at the store to the next, in milliseconds.
const READ_EVERY_MS: u64 = 900;

const STEP_MS: u64 = 20;
const RUN_MS: u64 = 30_000;

/// What happens, drawn by the test.
#[derive(Debug, Clone)]
struct FleetScript {
    gateways: usize,
    /// Gaps between returns, in milliseconds, with the gateway that each reaches.
    returns: Vec<(u64, usize)>,
    /// From an end to its gateway's knowledge of it, in milliseconds.
    settled_after: Vec<u64>,
    /// Whether a datagram is lost.
    lost: Vec<bool>,
    /// Whether the answer to a write is lost.
    unanswered: Vec<bool>,
    /// When the store goes away, and for how long.
    outages: Vec<(u64, u64)>,
    /// When a gateway is restarted.
    restarts: Vec<(u64, usize)>,
}

#[derive(Debug, Default)]
struct SimGateway {
    book: CrashBook,
    queue: ChangeQueue,
    /// Ends that it will know of, and when.
    open: Vec<(u64, CrashRecord)>,
    /// When it reads the store next.
    reads_at: u64,
    has_read: bool,
    started_at: u64,
}

struct FleetRun {
    script: FleetScript,
    gateways: Vec<SimGateway>,
    store: Vec<CrashRecord>,
    ends: Vec<u64>,
    /// Sends that count, by the rule.
    late_sends: usize,
    draws: usize,
}

impl FleetRun {
    fn new(script: FleetScript) -> Self {
        let gateways = (0..script.gateways).map(|_| SimGateway::default());
        Self {
            gateways: gateways.collect(),
            script,
            store: Vec::new(),
            ends: Vec::new(),
            late_sends: 0,
            draws: 0,
        }
    }

    fn play(&mut self) {
        let mut next_return = 0;
        let mut return_at = STABLE_MS;
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.restart(now);
            for place in 0..self.gateways.len() {
                self.settle(place, now);
                self.write(place, now);
                self.read(place, now);
            }
            while return_at <= now {
                let (gap, place) = self.script.returns[next_return % self.script.returns.len()];
                self.come_back(place % self.gateways.len(), now);
                next_return += 1;
                return_at += gap;
            }
        }
    }

    fn draw(&mut self) -> usize {
        self.draws += 1;
        self.draws
    }

    fn is_away(&self, now: u64) -> bool {
        let mut outages = self.script.outages.iter();
        outages.any(|(from, length)| (*from..from + length).contains(&now))
    }

    /// Whether the store has been there, and the gateway up, for long enough.
    fn is_calm(&self, place: usize, now: u64) -> bool {
        let is_recent =
            |(from, length): &(u64, u64)| *from <= now && from + length + STABLE_MS > now;
        let started_at = self.gateways[place].started_at;
        let has_run = started_at == 0 || now >= started_at + STABLE_MS;
        has_run && !self.script.outages.iter().any(is_recent)
    }

    fn restart(&mut self, now: u64) {
        for (when, place) in &self.script.restarts {
            if (now..now + STEP_MS).contains(when) {
                let place = place % self.gateways.len();
                self.gateways[place] = SimGateway {
                    started_at: now,
                    reads_at: now,
                    ..SimGateway::default()
                };
            }
        }
    }

    fn settle(&mut self, place: usize, now: u64) {
        let open = &mut self.gateways[place].open;
        let known: Vec<CrashRecord> = open
            .extract_if(.., |(due, _)| *due <= now)
            .map(|(_, record)| record)
            .collect();
        for record in known {
            let gateway = &mut self.gateways[place];
            gateway.book.note_crash(&record, at(now));
            gateway.queue.push(CrashChange::Put(record.clone()));
            for other in 0..self.gateways.len() {
                let draw = self.draw();
                if other != place && !self.script.lost[draw % self.script.lost.len()] {
                    self.gateways[other].book.note_crash(&record, at(now));
                }
            }
        }
    }

    fn write(&mut self, place: usize, now: u64) {
        let batch = self.gateways[place].queue.batch(32);
        if batch.is_empty() || self.is_away(now) {
            return;
        }
        for change in &batch {
            if !self.store.contains(change.record()) {
                self.store.push(change.record().clone());
            }
        }
        let draw = self.draw();
        if !self.script.unanswered[draw % self.script.unanswered.len()] {
            self.gateways[place].queue.settle(&batch);
        }
    }

    fn read(&mut self, place: usize, now: u64) {
        let is_away = self.is_away(now);
        let gateway = &mut self.gateways[place];
        if now < gateway.reads_at {
            return;
        }
        gateway.reads_at = now + READ_EVERY_MS;
        if !is_away {
            gateway.book.take_stored(&self.store, at(now));
            gateway.has_read = true;
        }
    }

    fn come_back(&mut self, place: usize, now: u64) {
        let gateway = &mut self.gateways[place];
        let open = gateway.open.len();
        let verdict = gateway.book.judge(&fingerprint("x"), open, at(now));
        if !gateway.has_read || verdict != SuspectVerdict::Clear {
            return;
        }
        let third = self.ends.get(2).copied();
        let is_late = third.is_some_and(|third| now > third + STABLE_MS);
        if is_late && self.is_calm(place, now) {
            self.late_sends += 1;
        }
        let record = crash("x", self.ends.len());
        self.ends.push(now);
        let after = self.script.settled_after[self.ends.len() % self.script.settled_after.len()];
        self.gateways[place].open.push((now + after, record));
    }
}

fn scripts() -> impl Strategy<Value = FleetScript> {
    let returns = prop::collection::vec((40_u64..900, 0_usize..12), 30);
    let settled_after = prop::collection::vec(20_u64..700, 12);
    let lost = prop::collection::vec(prop::bool::weighted(0.4), 50);
    let unanswered = prop::collection::vec(prop::bool::weighted(0.3), 20);
    let outages = prop::collection::vec((0_u64..RUN_MS, 100_u64..9_000), 0..3);
    let restarts = prop::collection::vec((0_u64..RUN_MS, 0_usize..12), 0..6);
    (
        2_usize..12,
        returns,
        settled_after,
        lost,
        unanswered,
        outages,
        restarts,
    )
        .prop_map(
            |(gateways, returns, settled_after, lost, unanswered, outages, restarts)| FleetScript {
                gateways,
                returns,
                settled_after,
                lost,
                unanswered,
                outages,
                restarts,
            },
        )
}

proptest! {
    #![proptest_config(fixed_cases(512))]

    /// Engine after engine ends under one request, and streams of all their callers with them. Whatever is lost on
    /// the way, three ends and a moment of calm later the gateways that are well send it no more than three times.
    #[test]
    fn a_request_that_ends_engines_is_soon_sent_no_more(script in scripts()) {
        let mut run = FleetRun::new(script);
        run.play();
        prop_assert!(run.late_sends <= SENDS_ALLOWED, "{} late sends", run.late_sends);
    }
}
