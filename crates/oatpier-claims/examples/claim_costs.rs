//! Counts the cost of claims to the store at several loads of one partition, over 75 minutes of
//! simulated time with a model of the store. `cargo run --release -p oatpier-claims --example
//! claim_costs`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use oatpier_claims::event::{
    ClaimAction, ClaimEvent, ClaimSettings, ExpectedSegment, SegmentValue, StoreAnswer,
};
use oatpier_claims::log::ClaimLog;
use oatpier_claims::message::{ClaimFinish, ClaimQuery, KeyHash, RequestFingerprint};
use oatpier_claims::partition::PartitionId;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, RequestId, Revision};
use oatpier_types::names::DaemonName;
use oatpier_types::verdict::RunVerdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Simulated time of a run: 1.25 times the retention, so that removal takes place.
const RUN_TIME: Duration = Duration::from_mins(75);

/// Time from a store call to its answer.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// Time from a grant to the finish of its request.
const SERVICE_TIME: Duration = Duration::from_millis(400);

struct CostRun {
    log: ClaimLog,
    now: ClockTime,
    values: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: Revision,
    answers: VecDeque<(ClockTime, ClaimEvent)>,
    finishes: VecDeque<(ClockTime, ClaimFinish)>,
    asked: VecDeque<(RequestId, ClockTime)>,
    waits: Histogram<u64>,
}

impl CostRun {
    fn new() -> Self {
        let name = DaemonName::try_from("entry-0").expect("valid daemon name");
        let settings = ClaimSettings::default();
        Self {
            log: ClaimLog::new(PartitionId(0), name, BootId(1), settings),
            now: ClockTime::ZERO,
            values: BTreeMap::new(),
            revision: Revision(0),
            answers: VecDeque::new(),
            finishes: VecDeque::new(),
            asked: VecDeque::new(),
            waits: Histogram::new(3).expect("valid precision"),
        }
    }

    fn run(&mut self, queries_per_second: f64) {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut next_query = ClockTime::ZERO;
        let end = ClockTime::from_start(RUN_TIME);
        while self.now < end {
            let answer = self.answers.front().map_or(ClockTime::NEVER, |(at, _)| *at);
            let finish = self
                .finishes
                .front()
                .map_or(ClockTime::NEVER, |(at, _)| *at);
            let timer = self.log.next_timer();
            self.now = next_query.min(answer).min(finish).min(timer).max(self.now);
            if self.now == answer {
                let event = self.answers.pop_front().map(|(_, event)| event);
                if let Some(event) = event {
                    self.step(event);
                }
            } else if self.now == next_query {
                let uniform: f64 = rng.random();
                let gap = -(1.0 - uniform).ln() / queries_per_second;
                next_query = next_query + Duration::from_secs_f64(gap);
                self.query(&mut rng);
            } else if self.now == finish {
                let finish = self.finishes.pop_front().map(|(_, finish)| finish);
                if let Some(finish) = finish {
                    self.step(ClaimEvent::Finished(finish));
                }
            } else {
                self.step(ClaimEvent::Timer);
            }
        }
    }

    fn query(&mut self, rng: &mut ChaCha8Rng) {
        let query = ClaimQuery {
            key: KeyHash(rng.random()),
            fingerprint: RequestFingerprint(rng.random()),
            request: RequestId(rng.random()),
        };
        self.asked.push_back((query.request, self.now));
        self.step(ClaimEvent::Queried(query));
    }

    fn step(&mut self, event: ClaimEvent) {
        for action in self.log.step(event, self.now) {
            match action {
                ClaimAction::Answer { key, request, .. } => self.record_answer(key, request),
                ClaimAction::Recorded { .. } => {}
                call => self.call(call),
            }
        }
    }

    fn record_answer(&mut self, key: KeyHash, request: RequestId) {
        let index = self.asked.iter().position(|(asked, _)| *asked == request);
        if let Some((_, since)) = index.and_then(|index| self.asked.remove(index)) {
            let wait = self.now.since(since).as_micros();
            let wait = u64::try_from(wait).unwrap_or(u64::MAX);
            self.waits.record(wait).expect("auto-resizing histogram");
        }
        let finish = ClaimFinish {
            key,
            request,
            verdict: RunVerdict::Ran,
        };
        self.finishes.push_back((self.now + SERVICE_TIME, finish));
    }

    fn call(&mut self, action: ClaimAction) {
        let (call, answer) = match action {
            ClaimAction::WriteSegment {
                call,
                key,
                value,
                expected,
            } => (call, self.write(key, value, expected)),
            ClaimAction::ReadSegment { call, key } => {
                (call, StoreAnswer::Read(self.list(&key).pop()))
            }
            ClaimAction::ListSegments { call, prefix } => {
                (call, StoreAnswer::Listed(self.list(&prefix)))
            }
            ClaimAction::DeleteSegment { call, key } => {
                self.values.remove(&key);
                (call, StoreAnswer::Deleted)
            }
            ClaimAction::Answer { .. } | ClaimAction::Recorded { .. } => return,
        };
        let event = ClaimEvent::StoreAnswered { call, answer };
        self.answers.push_back((self.now + STORE_DELAY, event));
    }

    fn write(&mut self, key: String, value: Vec<u8>, expected: ExpectedSegment) -> StoreAnswer {
        let found = self.values.get(&key).map(|(_, revision)| *revision);
        let wanted = match expected {
            ExpectedSegment::Absent => None,
            ExpectedSegment::At(revision) => Some(revision),
        };
        if found != wanted {
            return StoreAnswer::Conflict;
        }
        self.revision = self.revision.next();
        self.values.insert(key, (value, self.revision));
        StoreAnswer::Written(self.revision)
    }

    fn list(&self, prefix: &str) -> Vec<SegmentValue> {
        self.values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, revision))| SegmentValue {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
    }

    fn print(&self, queries_per_second: f64) {
        let seconds = RUN_TIME.as_secs();
        let counters = self.log.counters();
        let stored: usize = self.values.values().map(|(value, _)| value.len()).sum();
        let largest = self.values.values().map(|(value, _)| value.len()).max();
        println!(
            "{queries_per_second:6.1} queries/s: granted {}, writes {}.{:02}/s, reads {} in total, \
             written {} B/s, {} B per claim; wait p50 {} p99 {} max {} us; \
             store holds {} values, {} B, largest {} B; table {} keys, {} B reserved",
            counters.granted,
            counters.writes / seconds,
            counters.writes * 100 / seconds % 100,
            counters.reads,
            counters.bytes_written / seconds,
            counters.bytes_written / counters.granted.max(1),
            self.waits.value_at_quantile(0.5),
            self.waits.value_at_quantile(0.99),
            self.waits.max(),
            self.values.len(),
            stored,
            largest.unwrap_or(0),
            self.log.table().len(),
            self.log.table().memory_bytes(),
        );
    }
}

fn main() {
    for queries_per_second in [0.2, 5.0, 53.1, 212.5] {
        let mut run = CostRun::new();
        run.run(queries_per_second);
        run.print(queries_per_second);
    }
}
