//! Load: calls to a plain service of five endpoints, one of which is slow, from many gateways.
//!
//! A plain service has no sidecar: a gateway knows the load of an endpoint as of its last response from there.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use oatpier_serving::call::CallerRequest;
use oatpier_serving::capacity::host::HostPace;
use oatpier_serving::choice::{self, ChoiceOutcome, ChoiceQuery, VersionPin};
use oatpier_serving::directory::{EndpointDirectory, RequestOutcome};
use oatpier_serving::engine::EndpointLoad;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{at, endpoint, millis, record, request, service, zone};

const GATEWAYS: usize = 30;
const SLOTS: u32 = 6;
const CALLS_PER_S: f64 = 210.0;
/// Time of a call at an endpoint of usual speed.
const WORK_MS: f64 = 60.0;
const TARGET_MS: u64 = 300;
const SECONDS: u64 = 25;
/// Duration of a block of time in which a VM is disturbed or not, and the share of disturbed blocks.
const BLOCK_MS: u64 = 600;
const DISTURBED_SHARE: f64 = 0.15;
const DISTURBED_PERCENT: u32 = 250;
const USUAL_PERCENT: u32 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentCall {
    gateway: usize,
    endpoint: usize,
    arrived_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallEvent {
    Arrive,
    End(SentCall),
}

#[derive(Debug, Default)]
struct EndpointState {
    running: u32,
    queue: VecDeque<SentCall>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceOutcome {
    calls: u32,
    late: u32,
    /// Calls that the first endpoint, the slow one, served.
    at_slow: u32,
}

struct ServiceFleet {
    seed: u64,
    reports_pace: bool,
    /// Time of a call at each endpoint, relative to the usual one.
    factors: [f64; 5],
    endpoints: [EndpointState; 5],
    gateways: Vec<EndpointDirectory>,
    events: BinaryHeap<Reverse<(u64, u64, CallEvent)>>,
    sequence: u64,
    random: ChaCha8Rng,
    outcome: ServiceOutcome,
}

impl ServiceFleet {
    fn new(factors: [f64; 5], seed: u64, reports_pace: bool) -> Self {
        let gateways = (0..GATEWAYS).map(|_| {
            let mut directory = EndpointDirectory::default();
            let records = (1..=5).map(|number| {
                let mut record = record(number, &[]);
                record.slots = SLOTS;
                record
            });
            directory.apply_registry(records.collect(), at(0));
            directory
        });
        Self {
            seed,
            reports_pace,
            factors,
            endpoints: Default::default(),
            gateways: gateways.collect(),
            events: BinaryHeap::from([Reverse((0, 0, CallEvent::Arrive))]),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: ServiceOutcome::default(),
        }
    }

    fn push(&mut self, at_ms: u64, event: CallEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn run(mut self) -> ServiceOutcome {
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            match event {
                CallEvent::Arrive => self.arrive(now_ms),
                CallEvent::End(call) => self.end(call, now_ms),
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now_ms: u64) {
        let unit: f64 = self.random.random();
        let gap = Duration::from_secs_f64(-(1.0 - unit).ln() / CALLS_PER_S);
        let next_ms = now_ms + u64::try_from(gap.as_millis()).unwrap();
        if next_ms < SECONDS * 1_000 {
            self.push(next_ms, CallEvent::Arrive);
        }
        let gateway = self.random.random_range(0..GATEWAYS);
        let directory = &mut self.gateways[gateway];
        let endpoint = choose(directory, now_ms);
        directory.note_sent(&name(endpoint), None);
        let call = SentCall {
            gateway,
            endpoint,
            arrived_ms: now_ms,
        };
        if self.endpoints[endpoint].running < SLOTS {
            self.start(call, now_ms);
        } else {
            self.endpoints[endpoint].queue.push_back(call);
        }
    }

    fn start(&mut self, call: SentCall, now_ms: u64) {
        self.endpoints[call.endpoint].running += 1;
        let factor =
            self.factors[call.endpoint] * f64::from(self.percent(call.endpoint, now_ms)) / 100.0;
        let work =
            Duration::from_secs_f64(WORK_MS * factor * self.random.random_range(0.7..1.3) / 1e3);
        self.push(
            now_ms + u64::try_from(work.as_millis()).unwrap(),
            CallEvent::End(call),
        );
    }

    fn percent(&self, endpoint: usize, now_ms: u64) -> u32 {
        let block = now_ms / BLOCK_MS;
        let seed = (self.seed << 56) ^ (block << 8) ^ endpoint as u64;
        let draw: f64 = ChaCha8Rng::seed_from_u64(seed).random();
        if draw < DISTURBED_SHARE {
            DISTURBED_PERCENT
        } else {
            USUAL_PERCENT
        }
    }

    fn end(&mut self, call: SentCall, now_ms: u64) {
        let took_ms = now_ms - call.arrived_ms;
        self.outcome.calls += 1;
        self.outcome.late += u32::from(took_ms > TARGET_MS);
        self.outcome.at_slow += u32::from(call.endpoint == 0);
        let state = &mut self.endpoints[call.endpoint];
        state.running -= 1;
        let next = state.queue.pop_front();
        if let Some(next) = next {
            self.start(next, now_ms);
        }
        let state = &self.endpoints[call.endpoint];
        let load = EndpointLoad {
            running: state.running,
            waiting: u32::try_from(state.queue.len()).unwrap(),
        };
        let percent = self.percent(call.endpoint, now_ms);
        let directory = &mut self.gateways[call.gateway];
        let (name, now, took) = (name(call.endpoint), at(now_ms), millis(took_ms));
        let sent = directory.sent_without_prompt(&name);
        directory.apply_load(&name, load);
        if self.reports_pace {
            directory.apply_host_pace(&name, HostPace::try_from(percent).unwrap(), now);
        }
        directory.note_first_chunk(&name, None, &sent, took, now);
        directory.note_end(
            &name,
            None,
            &sent,
            RequestOutcome::Whole { held: took },
            now,
        );
    }
}

fn name(number: usize) -> oatpier_types::names::EndpointName {
    endpoint(&format!("e{}", number + 1))
}

fn choose(directory: &EndpointDirectory, now_ms: u64) -> usize {
    let request = CallerRequest {
        weights: None,
        ..request("m1")
    };
    let query = ChoiceQuery {
        service: &service(),
        request: &request,
        zone: &zone("near"),
        excluded: &[],
        pin: &VersionPin::Any,
        engine: None,
        max_turn_wait: Duration::ZERO,
        stream: None,
    };
    let ChoiceOutcome::Endpoint(choice) = choice::choose(directory, &query, at(now_ms)) else {
        panic!("the service has endpoints");
    };
    let number: usize = choice.endpoint.as_str()[1..].parse().unwrap();
    number - 1
}

/// Returns the outcome over some seeds.
fn outcome(factors: [f64; 5], reports_pace: bool) -> ServiceOutcome {
    let mut sum = ServiceOutcome::default();
    for seed in 1..=2 {
        let one = ServiceFleet::new(factors, seed, reports_pace).run();
        sum.calls += one.calls;
        sum.late += one.late;
        sum.at_slow += one.at_slow;
    }
    sum
}

/// Callers expect 95 of 100 calls to be in time, and four endpoints have room for all of them.
#[test]
fn slow_endpoint_gets_few_calls() {
    let outcome = outcome([4.0, 1.0, 1.0, 1.0, 1.0], true);
    assert!(outcome.late * 20 < outcome.calls, "{outcome:?}");
    assert!(outcome.at_slow * 20 < outcome.calls, "{outcome:?}");
}

/// The endpoints report how long work takes on their VMs, which changes faster than the gateways learn.
#[test]
fn reported_pace_of_vms_keeps_calls_in_time() {
    let factors = [2.0, 1.0, 1.0, 1.0, 1.0];
    let known = outcome(factors, true);
    let unknown = outcome(factors, false);
    assert!(known.late * 4 < unknown.late * 3, "{known:?} {unknown:?}");
}

/// Failure: an endpoint reported a disturbance in its last response, and is avoided for good.
#[test]
fn reported_pace_of_a_vm_ages() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &[]), record(2, &[])], at(0));
    let disturbed = HostPace::try_from(DISTURBED_PERCENT).unwrap();
    directory.apply_host_pace(&name(0), disturbed, at(0));
    assert_eq!(choose(&directory, 50), 1);
    let row = directory.row(&name(0)).unwrap();
    assert!(row.work_factor(at(50)) > 2.0);
    assert!(row.work_factor(at(3_000)) < 1.01);
}
