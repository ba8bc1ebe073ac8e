//! Engines are known by their pace.
//!
//! The load: engines of one service produce a chunk of 8 tokens in 30 to 85 ms and prefill a prompt of 600 tokens in 10
//! to 27 ms. Their streams may pause for 200 ms. Each VM is disturbed for 0.6 s every few seconds, to 2.5 times the
//! usual time. An engine is sent eleven prompts a second, sometimes many at once, by gateways that overestimate the time
//! of a prompt up to four times and whose messages take up to 50 ms.

mod disturbed_vm;
mod pace_failures;
mod prompt_burst;
mod uneven_engines;

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_serving::capacity::pace::PaceEstimator;
use oatpier_serving::capacity::prefill_window::PromptWork;
use oatpier_serving::engine::{EndpointLoad, EngineReport, StartTime, StreamProgress};
use oatpier_types::clock::ClockTime;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::at;

/// Longest pause of the streams.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Interval between two reports.
const REPORT_MS: u64 = 60;

const CHUNK_TOKENS: u32 = 8;

/// Time of a step at the usual speed, in microseconds.
const STEP_US: f64 = 6_000.0;

/// Time to prefill a token at the usual speed, in microseconds.
const TOKEN_US: f64 = 26.0;

/// Maximum number of tokens that are prefilled between two steps.
const PIECE_TOKENS: f64 = 512.0;

/// Length of the streams, in chunks.
const STREAM_CHUNKS: u32 = 35;

#[derive(Debug, Clone)]
struct FakeStream {
    id: u64,
    tokens: u32,
    chunk_at_us: f64,
}

/// A fake engine that decodes streams in steps and prefills prompts between them.
struct FakeEngine {
    speed: f64,
    start: u64,
    now_us: f64,
    streams: Vec<FakeStream>,
    /// Arrival time and remaining tokens of prompts.
    prompts: VecDeque<(f64, f64)>,
    /// Starts of disturbances, in milliseconds.
    disturbed_at: Vec<u64>,
    /// Pauses of its streams, in milliseconds, and when they ended.
    pauses: Vec<(u64, f64)>,
    next_id: u64,
}

impl FakeEngine {
    /// Creates an engine with streams at different positions.
    fn new(speed: f64, streams: u32) -> Self {
        let mut engine = Self {
            speed,
            start: 1,
            now_us: 0.0,
            streams: Vec::new(),
            prompts: VecDeque::new(),
            disturbed_at: Vec::new(),
            pauses: Vec::new(),
            next_id: 0,
        };
        for number in 0..streams {
            engine.add_stream(1 + number * 17 % (STREAM_CHUNKS * CHUNK_TOKENS));
        }
        engine
    }

    fn add_stream(&mut self, tokens: u32) {
        self.next_id += 1;
        self.streams.push(FakeStream {
            id: self.next_id,
            tokens,
            chunk_at_us: self.now_us,
        });
    }

    fn chunk_us(&self) -> f64 {
        STEP_US * f64::from(CHUNK_TOKENS) / self.speed
    }

    fn slowdown(&self) -> f64 {
        let now_ms = self.now_us / 1e3;
        let is_disturbed = self.disturbed_at.iter().any(|from| {
            let since = now_ms - Duration::from_millis(*from).as_secs_f64() * 1e3;
            (0.0..600.0).contains(&since)
        });
        if is_disturbed { 2.5 } else { 1.0 }
    }

    fn run_until(&mut self, now: ClockTime) {
        let until_us = now.since(ClockTime::ZERO).as_secs_f64() * 1e6;
        while self.now_us < until_us {
            let read = self.read_prompt();
            self.now_us += (STEP_US + read * TOKEN_US) * self.slowdown() / self.speed;
            self.step();
        }
    }

    /// Prefills a piece of the first prompt that has arrived, and returns its number of tokens.
    fn read_prompt(&mut self) -> f64 {
        let Some((arrived, left)) = self.prompts.front_mut() else {
            return 0.0;
        };
        if *arrived > self.now_us {
            return 0.0;
        }
        let read = left.min(PIECE_TOKENS);
        *left -= read;
        if *left <= 0.0 {
            self.prompts.pop_front();
            self.add_stream(0);
        }
        read
    }

    fn step(&mut self) {
        for stream in &mut self.streams {
            stream.tokens += 1;
            if stream.tokens.is_multiple_of(CHUNK_TOKENS) {
                let pause_us = self.now_us - stream.chunk_at_us;
                if stream.tokens > 2 * CHUNK_TOKENS && stream.chunk_at_us > 0.0 {
                    let ended_at = Duration::from_secs_f64(self.now_us / 1e6).as_millis();
                    let ended_at = u64::try_from(ended_at).unwrap();
                    self.pauses.push((ended_at, pause_us / 1e3));
                }
                stream.chunk_at_us = self.now_us;
            }
        }
        let ended = |stream: &FakeStream| stream.tokens >= STREAM_CHUNKS * CHUNK_TOKENS;
        self.streams.retain(|stream| !ended(stream));
    }

    fn report(&self) -> EngineReport {
        let streams = self.streams.iter().map(|stream| StreamProgress {
            id: stream.id,
            chunks: stream.tokens / CHUNK_TOKENS,
        });
        EngineReport {
            start: Some(StartTime(self.start)),
            load: EndpointLoad {
                running: u32::try_from(self.streams.len()).unwrap(),
                waiting: u32::try_from(self.prompts.len()).unwrap(),
            },
            streams: streams.collect(),
            ..EngineReport::default()
        }
    }
}

/// A sidecar's estimator beside a fake engine that is sent prompts at random times.
struct ObservedEngine {
    engine: FakeEngine,
    estimator: PaceEstimator,
    random: ChaCha8Rng,
    now_ms: u64,
    /// Prompts per second.
    prompts_per_s: f64,
    min_streams: usize,
}

impl ObservedEngine {
    /// Creates an engine whose prompts arrive at random, by the seed `number`.
    fn new(speed: f64, number: u64) -> Self {
        Self {
            engine: FakeEngine::new(speed, 16),
            estimator: PaceEstimator::default(),
            random: ChaCha8Rng::seed_from_u64(number),
            now_ms: 0,
            prompts_per_s: 11.0,
            min_streams: 12,
        }
    }

    fn now(&self) -> ClockTime {
        at(self.now_ms)
    }

    /// Passes time up to `until`, with a report read at each interval.
    fn run(&mut self, until_ms: u64) {
        while self.now_ms + REPORT_MS <= until_ms {
            self.now_ms += REPORT_MS;
            let mean = self.prompts_per_s * Duration::from_millis(REPORT_MS).as_secs_f64();
            for _ in 0..4 {
                if self.random.random_bool((mean / 4.0).min(1.0)) {
                    let prompt = random_prompt(&mut self.random);
                    self.send_prompt(prompt);
                }
            }
            while self.engine.streams.len() < self.min_streams {
                let tokens = self.random.random_range(1..CHUNK_TOKENS * 20);
                self.engine.add_stream(tokens);
            }
            self.engine.run_until(at(self.now_ms));
            self.report();
        }
    }

    fn report(&mut self) {
        let report = self.engine.report();
        self.estimator
            .note_report(&report, Some(MAX_PAUSE), at(self.now_ms));
    }

    fn send_prompt(&mut self, prompt: PromptWork) {
        let now = self.now();
        self.estimator.note_granted(prompt, now);
        let delay_us = self.random.random_range(5_000.0..50_000.0);
        let arrives = now.since(ClockTime::ZERO).as_secs_f64() * 1e6 + delay_us;
        let tokens = prompt.tokens.map_or(0.0, f64::from);
        self.engine.prompts.push_back((arrives, tokens));
    }

    fn chunk_ms(&self) -> f64 {
        let pace = self.estimator.pace(self.now()).expect("the pace is known");
        f64::from(pace.chunk_us) / 1e3
    }

    fn present_ms(&self) -> f64 {
        let present = self.estimator.present(self.now());
        present
            .expect("the present pace is known")
            .chunk
            .as_secs_f64()
            * 1e3
    }
}

/// Returns a prompt with the estimate of a gateway that may have little CPU.
fn random_prompt(random: &mut impl Rng) -> PromptWork {
    let tokens = random.random_range(200..1_000_u32);
    let factor = random.random_range(1.0..4.0);
    PromptWork {
        tokens: Some(tokens),
        estimate: Duration::from_secs_f64(f64::from(tokens) * TOKEN_US * factor / 1e6),
    }
}

fn assert_near(value: f64, expected: f64, share: f64) {
    let difference = (value / expected - 1.0).abs();
    assert!(
        difference <= share,
        "{value} is not within {share} of {expected}"
    );
}
