//! Engines of one model, and the gateways that choose among them on aged statuses.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use oatpier_serving::capacity::EnginePace;
use oatpier_serving::choice::{self, ChoiceOutcome, ChoiceQuery, StreamNeed, VersionPin};
use oatpier_serving::directory::{EndpointDirectory, RequestOutcome};
use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::message::{MessageNumber, PaceStatus};
use oatpier_serving::prefill::SentPrompt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{
    address, at, directory, endpoint, millis, record, request, service, status, zone,
};

const SLOTS: u32 = 24;
const GATEWAYS: usize = 30;
/// Interval of the status updates of an engine, and the longest delay until a gateway applies one.
const REPORT_MS: u64 = 500;
/// Interval at which a waiting request is placed again.
const RECHECK_MS: u64 = 30;
const PAUSE_LIMIT_MS: f64 = 200.0;
/// Duration of a block of time in which a VM is disturbed or not, and the share of disturbed blocks.
const BLOCK_MS: f64 = 600.0;
const DISTURBED_SHARE: f64 = 0.15;
const DISTURBED_FACTOR: f64 = 2.5;
const PREFILL_MS: f64 = 15.0;

const LONG_CHUNKS: u32 = 35;
const SHORT_CHUNKS: u32 = 6;

/// A kind of engine, with the pace that its sidecar reports.
#[derive(Debug, Clone, Copy)]
pub struct EngineKind {
    chunk_ms: u32,
    late_pauses_per_ks: u32,
}

pub const FAST: EngineKind = EngineKind {
    chunk_ms: 31,
    late_pauses_per_ks: 5,
};
pub const SLOW: EngineKind = EngineKind {
    chunk_ms: 83,
    late_pauses_per_ks: 290,
};

impl EngineKind {
    fn pace(self) -> EnginePace {
        EnginePace {
            chunk_us: self.chunk_ms * 1_000,
            late_pauses_per_ks: self.late_pauses_per_ks,
            prefill_us_per_k: 26_000,
            permits_per_ks: 0,
        }
    }
}

/// A load on the engines.
#[derive(Debug, Clone, Copy)]
pub struct StreamLoad {
    pub seed: u64,
    pub long_per_s: f64,
    pub short_per_s: f64,
    pub seconds: u64,
    pub reports_pace: bool,
}

pub const LOAD: StreamLoad = StreamLoad {
    seed: 1,
    long_per_s: 10.0,
    short_per_s: 10.0,
    seconds: 30,
    reports_pace: true,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunningStream {
    gateway: usize,
    engine: usize,
    chunks: u32,
    arrived_ms: u64,
    id: u64,
}

impl RunningStream {
    fn is_long(self) -> bool {
        self.chunks == LONG_CHUNKS
    }

    fn target(self) -> Duration {
        millis(if self.is_long() { 300 } else { 800 })
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    Arrive {
        is_long: bool,
    },
    End {
        stream: RunningStream,
    },
    Recheck {
        stream: RunningStream,
    },
    Report {
        engine: usize,
    },
    Deliver {
        engine: usize,
        gateway: usize,
        running: u32,
        waiting: u32,
    },
}

#[derive(Debug, Default)]
struct EngineState {
    running: u32,
    queue: VecDeque<RunningStream>,
}

/// What the callers of one class got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassOutcome {
    streams: u32,
    pub late_by_start: u32,
    pub late: u32,
}

impl ClassOutcome {
    pub fn late_share(self) -> f64 {
        f64::from(self.late) / f64::from(self.streams.max(1))
    }

    pub fn start_share(self) -> f64 {
        f64::from(self.late_by_start) / f64::from(self.streams.max(1))
    }

    pub fn add(&mut self, other: Self) {
        self.streams += other.streams;
        self.late += other.late;
        self.late_by_start += other.late_by_start;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadOutcome {
    pub long: ClassOutcome,
    pub short: ClassOutcome,
}

/// Engines of one model, and the gateways that choose among them on aged statuses.
pub struct EngineFleet {
    load: StreamLoad,
    kinds: Vec<EngineKind>,
    engines: Vec<EngineState>,
    gateways: Vec<EndpointDirectory>,
    events: BinaryHeap<Reverse<(u64, u64, LoadEvent)>>,
    sequence: u64,
    random: ChaCha8Rng,
    outcome: LoadOutcome,
}

impl EngineFleet {
    pub fn new(kinds: &[EngineKind], load: StreamLoad) -> Self {
        let models: &[&str] = &["m1"];
        let engines: Vec<(&[&str], u32)> = kinds.iter().map(|_| (models, 0)).collect();
        let gateways = (0..GATEWAYS).map(|_| {
            let mut gateway = directory(&engines, at(0));
            let records = (1..).zip(kinds).map(|(number, _)| {
                let mut record = record(number, models);
                record.slots = SLOTS;
                record
            });
            gateway.apply_registry(records.collect(), at(0));
            gateway
        });
        let mut fleet = Self {
            load,
            kinds: kinds.to_vec(),
            engines: kinds.iter().map(|_| EngineState::default()).collect(),
            gateways: gateways.collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(load.seed),
            outcome: LoadOutcome::default(),
        };
        for engine in 0..kinds.len() {
            fleet.push(engine as u64 * 37, LoadEvent::Report { engine });
        }
        for is_long in [true, false] {
            fleet.push_arrival(1_000, is_long);
        }
        fleet
    }

    fn push(&mut self, at_ms: u64, event: LoadEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn push_arrival(&mut self, now_ms: u64, is_long: bool) {
        let rate = if is_long {
            self.load.long_per_s
        } else {
            self.load.short_per_s
        };
        let unit: f64 = self.random.random();
        let gap = Duration::from_secs_f64(-(1.0 - unit).ln() / rate);
        let at_ms = now_ms + u64::try_from(gap.as_millis()).unwrap();
        if at_ms < self.load.seconds * 1_000 {
            self.push(at_ms, LoadEvent::Arrive { is_long });
        }
    }

    pub fn run(mut self) -> LoadOutcome {
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            match event {
                LoadEvent::Arrive { is_long } => self.arrive(is_long, now_ms),
                LoadEvent::End { stream } => self.end(stream, now_ms),
                LoadEvent::Recheck { stream } => self.recheck(stream, now_ms),
                LoadEvent::Report { engine } => self.report(engine, now_ms),
                LoadEvent::Deliver {
                    engine,
                    gateway,
                    running,
                    waiting,
                } => {
                    self.deliver(engine, gateway, EndpointLoad { running, waiting }, now_ms);
                }
            }
        }
        self.outcome
    }

    fn arrive(&mut self, is_long: bool, now_ms: u64) {
        self.push_arrival(now_ms, is_long);
        let gateway = self.random.random_range(0..GATEWAYS);
        let chunks = if is_long { LONG_CHUNKS } else { SHORT_CHUNKS };
        let stream = RunningStream {
            gateway,
            engine: 0,
            chunks,
            arrived_ms: now_ms,
            id: self.sequence,
        };
        self.place(stream, now_ms);
    }

    fn place(&mut self, stream: RunningStream, now_ms: u64) {
        let gateway = &mut self.gateways[stream.gateway];
        let engine = choose(gateway, stream, now_ms);
        let stream = RunningStream { engine, ..stream };
        if self.engines[engine].running < SLOTS {
            self.start(stream, now_ms);
        } else {
            self.engines[engine].queue.push_back(stream);
            self.push(now_ms + RECHECK_MS, LoadEvent::Recheck { stream });
        }
    }

    /// Places a stream again that still waits.
    fn recheck(&mut self, stream: RunningStream, now_ms: u64) {
        let queue = &mut self.engines[stream.engine].queue;
        let Some(place) = queue.iter().position(|waiting| *waiting == stream) else {
            return;
        };
        let other = choose(&self.gateways[stream.gateway], stream, now_ms);
        if other == stream.engine {
            self.push(now_ms + RECHECK_MS, LoadEvent::Recheck { stream });
        } else {
            queue.remove(place);
            self.place(stream, now_ms);
        }
    }

    fn start(&mut self, stream: RunningStream, now_ms: u64) {
        self.engines[stream.engine].running += 1;
        let name = endpoint(&format!("e{}", stream.engine + 1));
        self.gateways[stream.gateway].note_sent(&name, None);
        let wait_ms = now_ms - stream.arrived_ms;
        let chunk_ms = f64::from(self.kinds[stream.engine].chunk_ms);
        let start_ms = Duration::from_millis(now_ms).as_secs_f64() * 1e3;
        let mut at_ms = start_ms + PREFILL_MS;
        let mut longest_ms: f64 = 0.0;
        for chunk in 0..stream.chunks {
            let jitter = self.random.random_range(0.9..1.1);
            let factor = self.disturbance(stream.engine, at_ms);
            let took_ms = chunk_ms * factor * jitter;
            at_ms += took_ms;
            if chunk == 0 {
                self.note_first(stream, at_ms - start_ms, now_ms);
            } else {
                longest_ms = longest_ms.max(took_ms);
            }
        }
        let first_ms = Duration::from_millis(wait_ms).as_secs_f64() * 1e3 + PREFILL_MS + chunk_ms;
        let is_late_start = first_ms > stream.target().as_secs_f64() * 1e3;
        let is_paused = longest_ms > PAUSE_LIMIT_MS;
        let class = if stream.is_long() {
            &mut self.outcome.long
        } else {
            &mut self.outcome.short
        };
        class.streams += 1;
        class.late_by_start += u32::from(is_late_start);
        class.late += u32::from(is_paused || is_late_start);
        let held = Duration::from_secs_f64((at_ms - start_ms) / 1e3);
        let end_ms = now_ms + u64::try_from(held.as_millis()).unwrap();
        self.push(end_ms, LoadEvent::End { stream });
    }

    fn note_first(&mut self, stream: RunningStream, took_ms: f64, now_ms: u64) {
        let name = endpoint(&format!("e{}", stream.engine + 1));
        let wait_ms = now_ms - stream.arrived_ms;
        let took = millis(wait_ms) + Duration::from_secs_f64(took_ms / 1e3);
        let prompt = SentPrompt::default();
        self.gateways[stream.gateway].note_first_chunk(&name, None, &prompt, took, at(now_ms));
    }

    fn disturbance(&self, engine: usize, at_ms: f64) -> f64 {
        let block = (at_ms / BLOCK_MS).floor().to_bits();
        let seed = self.load.seed ^ block ^ ((engine as u64 + 1) << 48);
        let draw: f64 = ChaCha8Rng::seed_from_u64(seed).random();
        if draw < DISTURBED_SHARE {
            DISTURBED_FACTOR
        } else {
            1.0
        }
    }

    fn end(&mut self, stream: RunningStream, now_ms: u64) {
        let name = endpoint(&format!("e{}", stream.engine + 1));
        let outcome = RequestOutcome::Whole {
            held: millis(now_ms - stream.arrived_ms),
        };
        let prompt = SentPrompt::default();
        self.gateways[stream.gateway].note_end(&name, None, &prompt, outcome, at(now_ms));
        let engine = &mut self.engines[stream.engine];
        engine.running -= 1;
        if let Some(next) = engine.queue.pop_front() {
            self.start(next, now_ms);
        }
    }

    fn report(&mut self, engine: usize, now_ms: u64) {
        let state = &self.engines[engine];
        let waiting = u32::try_from(state.queue.len()).unwrap();
        let running = state.running;
        for gateway in 0..GATEWAYS {
            let delay_ms = self.random.random_range(5..REPORT_MS);
            let event = LoadEvent::Deliver {
                engine,
                gateway,
                running,
                waiting,
            };
            self.push(now_ms + delay_ms, event);
        }
        if now_ms < self.load.seconds * 1_000 {
            self.push(now_ms + REPORT_MS, LoadEvent::Report { engine });
        }
    }

    fn deliver(&mut self, engine: usize, gateway: usize, load: EndpointLoad, now_ms: u64) {
        let number = u8::try_from(engine + 1).unwrap();
        let mut update = status(number, &["m1"], load.running);
        update.load = load;
        update.number.number = self.sequence;
        let directory = &mut self.gateways[gateway];
        directory.apply_status(update, at(now_ms));
        if self.load.reports_pace {
            let pace = self.kinds[engine].pace();
            apply_pace(directory, number, pace, now_ms);
        }
    }
}

fn apply_pace(directory: &mut EndpointDirectory, engine: u8, pace: EnginePace, now_ms: u64) {
    let update = PaceStatus {
        number: MessageNumber {
            boot: 1,
            number: now_ms + 1,
        },
        engine: address(engine),
        start: None,
        pace,
    };
    directory.apply_pace(&update, at(now_ms));
}

fn choose(directory: &EndpointDirectory, stream: RunningStream, now_ms: u64) -> usize {
    let mut request = request("m1");
    request.id = format!("r{}", stream.id);
    let need = StreamNeed {
        chunks: f64::from(stream.chunks),
        target: stream.target(),
        waited: millis(now_ms - stream.arrived_ms),
    };
    let query = ChoiceQuery {
        service: &service(),
        request: &request,
        zone: &zone("near"),
        excluded: &[],
        pin: &VersionPin::Any,
        engine: None,
        max_turn_wait: Duration::ZERO,
        stream: Some(need),
    };
    let ChoiceOutcome::Endpoint(choice) = choice::choose(directory, &query, at(now_ms)) else {
        panic!("the model has holders");
    };
    let number: usize = choice.endpoint.as_str()[1..].parse().unwrap();
    number - 1
}
