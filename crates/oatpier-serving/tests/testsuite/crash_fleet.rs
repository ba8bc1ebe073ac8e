//! Simulated fleet of gateways that receive a request which crashes each engine that runs it.
//!
//! The caller retries at once at any gateway. Datagrams between gateways are lost, the store is unavailable or does not
//! acknowledge writes, and gateways restart without their state.

use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use oatpier_serving::crashes::suspects::{SuspectTable, SuspectVerdict};
use proptest::prelude::*;

use crate::crashes::{crash, fingerprint};
use crate::support::{at, fixed_cases};

/// Time without outages and restarts after which a gateway's sends count, in milliseconds.
const STABLE_MS: u64 = 3_000;

/// Number of sends that are allowed after the third crash and this time.
const SENDS_ALLOWED: usize = 3;

/// Interval between two reads of the store, in milliseconds.
const READ_EVERY_MS: u64 = 900;

const STEP_MS: u64 = 20;
const RUN_MS: u64 = 30_000;

/// Random events of one simulation.
#[derive(Debug, Clone)]
struct FleetScript {
    gateways: usize,
    /// Delays between retries, in milliseconds, and the gateway that receives each of them.
    retries: Vec<(u64, usize)>,
    /// Delays until a gateway detects a crash, in milliseconds.
    detection_delays: Vec<u64>,
    /// Whether a datagram is lost.
    lost: Vec<bool>,
    /// Whether the answer to a write is lost.
    unanswered: Vec<bool>,
    /// Start and length of each outage of the store.
    outages: Vec<(u64, u64)>,
    /// Time of each restart and the gateway that is restarted.
    restarts: Vec<(u64, usize)>,
}

#[derive(Debug, Default)]
struct SimGateway {
    table: SuspectTable,
    queue: ChangeQueue,
    /// Crashes that the gateway will detect, with the time of detection.
    pending_crashes: Vec<(u64, CrashRecord)>,
    /// Time of the next read of the store.
    reads_at: u64,
    has_read: bool,
    started_at: u64,
}

struct FleetRun {
    script: FleetScript,
    gateways: Vec<SimGateway>,
    store: Vec<CrashRecord>,
    crashes: Vec<u64>,
    /// Number of sends that exceed the rule.
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
            crashes: Vec::new(),
            late_sends: 0,
            draws: 0,
        }
    }

    fn run(&mut self) {
        let mut next_retry = 0;
        let mut retry_at = STABLE_MS;
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.restart(now);
            for index in 0..self.gateways.len() {
                self.detect_crashes(index, now);
                self.write(index, now);
                self.read(index, now);
            }
            while retry_at <= now {
                let (gap, index) = self.script.retries[next_retry % self.script.retries.len()];
                self.retry(index % self.gateways.len(), now);
                next_retry += 1;
                retry_at += gap;
            }
        }
    }

    fn draw(&mut self) -> usize {
        self.draws += 1;
        self.draws
    }

    fn is_store_down(&self, now: u64) -> bool {
        let mut outages = self.script.outages.iter();
        outages.any(|(from, length)| (*from..from + length).contains(&now))
    }

    /// Returns whether the store has been available and the gateway running for long enough.
    fn is_stable(&self, index: usize, now: u64) -> bool {
        let is_recent =
            |(from, length): &(u64, u64)| *from <= now && from + length + STABLE_MS > now;
        let started_at = self.gateways[index].started_at;
        let has_run = started_at == 0 || now >= started_at + STABLE_MS;
        has_run && !self.script.outages.iter().any(is_recent)
    }

    fn restart(&mut self, now: u64) {
        for (when, index) in &self.script.restarts {
            if (now..now + STEP_MS).contains(when) {
                let index = index % self.gateways.len();
                self.gateways[index] = SimGateway {
                    started_at: now,
                    reads_at: now,
                    ..SimGateway::default()
                };
            }
        }
    }

    fn detect_crashes(&mut self, index: usize, now: u64) {
        let pending = &mut self.gateways[index].pending_crashes;
        let known: Vec<CrashRecord> = pending
            .extract_if(.., |(due, _)| *due <= now)
            .map(|(_, record)| record)
            .collect();
        for record in known {
            let gateway = &mut self.gateways[index];
            gateway.table.note_crash(&record, at(now));
            gateway.queue.push(CrashChange::Put(record.clone()));
            for other in 0..self.gateways.len() {
                let draw = self.draw();
                if other != index && !self.script.lost[draw % self.script.lost.len()] {
                    self.gateways[other].table.note_crash(&record, at(now));
                }
            }
        }
    }

    fn write(&mut self, index: usize, now: u64) {
        let batch = self.gateways[index].queue.batch(32);
        if batch.is_empty() || self.is_store_down(now) {
            return;
        }
        for change in &batch {
            let CrashChange::Put(record) = change else {
                unreachable!("the simulated gateways only add records of requests");
            };
            if !self.store.contains(record) {
                self.store.push(record.clone());
            }
        }
        let draw = self.draw();
        if !self.script.unanswered[draw % self.script.unanswered.len()] {
            self.gateways[index].queue.remove_written(&batch);
        }
    }

    fn read(&mut self, index: usize, now: u64) {
        let is_store_down = self.is_store_down(now);
        let gateway = &mut self.gateways[index];
        if now < gateway.reads_at {
            return;
        }
        gateway.reads_at = now + READ_EVERY_MS;
        if !is_store_down {
            gateway.table.apply_stored(&self.store, at(now));
            gateway.has_read = true;
        }
    }

    fn retry(&mut self, index: usize, now: u64) {
        let gateway = &mut self.gateways[index];
        let pending = gateway.pending_crashes.len();
        let verdict = gateway.table.evaluate(&fingerprint("x"), pending, at(now));
        if !gateway.has_read || verdict != SuspectVerdict::Allowed {
            return;
        }
        let third = self.crashes.get(2).copied();
        let is_late = third.is_some_and(|third| now > third + STABLE_MS);
        if is_late && self.is_stable(index, now) {
            self.late_sends += 1;
        }
        let record = crash("x", self.crashes.len());
        self.crashes.push(now);
        let after =
            self.script.detection_delays[self.crashes.len() % self.script.detection_delays.len()];
        self.gateways[index]
            .pending_crashes
            .push((now + after, record));
    }
}

fn scripts() -> impl Strategy<Value = FleetScript> {
    let retries = prop::collection::vec((40_u64..900, 0_usize..12), 30);
    let detection_delays = prop::collection::vec(20_u64..700, 12);
    let lost = prop::collection::vec(prop::bool::weighted(0.4), 50);
    let unanswered = prop::collection::vec(prop::bool::weighted(0.3), 20);
    let outages = prop::collection::vec((0_u64..RUN_MS, 100_u64..9_000), 0..3);
    let restarts = prop::collection::vec((0_u64..RUN_MS, 0_usize..12), 0..6);
    (
        2_usize..12,
        retries,
        detection_delays,
        lost,
        unanswered,
        outages,
        restarts,
    )
        .prop_map(
            |(gateways, retries, detection_delays, lost, unanswered, outages, restarts)| {
                FleetScript {
                    gateways,
                    retries,
                    detection_delays,
                    lost,
                    unanswered,
                    outages,
                    restarts,
                }
            },
        )
}

proptest! {
    #![proptest_config(fixed_cases(512))]

    /// One request crashes engine after engine, and breaks the streams of all their callers. Despite lost messages,
    /// stable gateways send it no more than three times once three crashes and a stable interval have passed.
    #[test]
    fn a_request_that_crashes_engines_is_soon_barred(script in scripts()) {
        let mut simulation = FleetRun::new(script);
        simulation.run();
        prop_assert!(simulation.late_sends <= SENDS_ALLOWED, "{} late sends", simulation.late_sends);
    }
}
