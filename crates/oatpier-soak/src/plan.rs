//! Draws the faults of a soak and their times from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::CallKind;
use crate::proxy::LinkMode;
use crate::standin::stops::RegistryNotice;
use crate::standin::store::StoreMode;

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// A gateway is killed and restarted.
    KillGateway(usize),
    /// A sidecar is killed and restarted.
    KillSidecar(usize),
    /// All gateways and sidecars are killed at once.
    KillAll,
    /// A gateway is stopped as for a planned stop, and restarted once it has exited.
    StopGateway(usize),
    /// A gateway's settings are reloaded.
    ReloadGateway(usize),
    /// A gateway is paused.
    PauseGateway(usize),
    /// A sidecar is paused.
    PauseSidecar(usize),
    /// The link to an endpoint has this mode.
    Link(usize, LinkMode),
    /// The link from one gateway to the store has this mode.
    StoreLink(usize, LinkMode),
    /// The store rejects the calls of one gateway with this status.
    RefuseGateway(usize, u16),
    /// The store has this mode.
    Store(StoreMode),
    /// An endpoint crashes and restarts as a new instance.
    Crash(usize),
    /// An endpoint reports that it is draining, serves for a while longer, and restarts as a new instance.
    Drain(usize),
    /// An endpoint loses the responses to a share of the requests that it runs.
    LoseAnswers(usize),
    /// An endpoint cuts off a share of its responses.
    Garble(usize),
    /// An engine sends no response to a share of its orders and carries them out late.
    LateOrders(usize),
    /// The operator writes a new version of the configuration.
    Configure,
    /// The store is restored from a copy of this age.
    StoreReturns(Duration),
    /// An endpoint announces a shutdown only in its responses, and restarts as a new instance.
    Leave(usize),
    /// An endpoint leaves as the registry tells, serves all the while, and restarts as a new instance.
    Retire(usize, RegistryNotice),
    /// An endpoint rejects requests and asks for a rest period of this length each time.
    Rest(usize, Duration),
    /// An endpoint reports a rate limit, in requests per 1,000 seconds.
    Limit(usize, u32),
    /// An endpoint refuses a share of its requests, and its link sends each refusal once more, late.
    RepeatRefusals(usize),
    /// An endpoint begins to run a share of its requests and then fails with this status, which says nothing on whether
    /// they ran.
    FailRuns(usize, u16),
    /// Callers send nine in ten requests to this gateway.
    Crowd(usize),
    /// A caller keeps sending, to each gateway in turn, a request that crashes the endpoints that run it.
    CrashingRequest(CallKind),
}

/// A fault with its start and its duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultStep {
    /// The start, since the start of the callers.
    pub at: Duration,
    /// The duration, for faults that last.
    pub lasts: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// The numbers of processes, endpoints and callers in a soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakSize {
    /// The number of gateways.
    pub gateways: usize,
    /// The number of engines, each with a sidecar.
    pub engines: usize,
    /// The number of endpoints of the plain service.
    pub services: usize,
    /// The number of callers, each of which sends one request at a time.
    pub callers: usize,
}

impl SoakSize {
    /// Returns the number of endpoints of both kinds. Engines are numbered first.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.engines + self.services
    }
}

/// The mean interval between the starts of two faults. Faults last longer than that on average, so several overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 700;

/// The longest duration of a drawn fault.
const MAX_DURATION_MS: u64 = 3_000;

/// The number of endpoints that repeat refusals in a soak.
const REPEATING_ENDPOINTS: usize = 3;

/// The statuses with which endpoints fail after they began to run a request, each at one endpoint of a soak.
const FAILED_RUN_STATUSES: [u16; 4] = [500, 503, 429, 408];

/// The number of gateways in a row at which callers crowd.
const CROWDS: u32 = 4;

/// The time from the fault that restarts a gateway to the crowd there, and how long the crowd lasts.
const RESTARTED_CROWD_DELAY: Duration = Duration::from_secs(1);
const RESTARTED_CROWD_TIME: Duration = Duration::from_secs(2);

/// Returns the faults of a soak that sends requests for `length`, in order of their start.
#[must_use]
pub fn plan(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(50..2 * MEAN_FAULT_INTERVAL_MS));
        if at >= length {
            steps.push(crashing_request_step(seed, length));
            steps.push(store_restore_step(seed, length));
            steps.extend(notice_steps(seed, size, length));
            steps.extend(turned_away_steps(seed, size, length));
            steps.extend(repeat_steps(seed, size, length));
            steps.extend(crowd_steps(seed, size, length, &steps));
            steps.extend(failed_run_steps(seed, size, length));
            steps.sort_by_key(|step| step.at);
            return steps;
        }
        steps.push(FaultStep {
            at,
            lasts: Duration::from_millis(rng.random_range(200..MAX_DURATION_MS)),
            fault: draw_fault(&mut rng, size),
        });
    }
}

/// Returns the step that sends a crashing request, from a time in the first third of a soak to its end.
///
/// It has a random generator of its own, so that the other faults of a seed don't depend on it.
fn crashing_request_step(seed: u64, length: Duration) -> FaultStep {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let kinds = [
        CallKind::Stream,
        CallKind::Unsafe,
        CallKind::ResumableStream,
        CallKind::Safe,
    ];
    let at = length.mul_f64(rng.random_range(0.05..0.33));
    FaultStep {
        at,
        lasts: length.saturating_sub(at),
        fault: SoakFault::CrashingRequest(kinds[rng.random_range(0..kinds.len())]),
    }
}

/// Returns the step that restores the store from an older copy, drawn with a generator of its own.
fn store_restore_step(seed: u64, length: Duration) -> FaultStep {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(17));
    let age = Duration::from_millis(rng.random_range(300..4_000));
    FaultStep {
        at: length.mul_f64(rng.random_range(0.3..0.8)),
        lasts: Duration::ZERO,
        fault: SoakFault::StoreReturns(age),
    }
}

/// Returns the steps that make endpoints send notices, two of each kind, drawn with a generator of their own.
fn notice_steps(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(31));
    let mut steps = Vec::new();
    for number in 0..6 {
        let endpoint = rng.random_range(0..size.endpoints());
        let rest = Duration::from_millis(rng.random_range(300..3_000));
        let limit = rng.random_range(500..6_000);
        let (fault, share) = match number % 3 {
            0 => (SoakFault::Leave(endpoint), 0.4),
            1 => (SoakFault::Rest(endpoint, rest), 0.3),
            _ => (SoakFault::Limit(endpoint, limit), 0.8),
        };
        steps.push(FaultStep {
            at: length.mul_f64(rng.random_range(0.05..0.5)),
            lasts: length.mul_f64(share * rng.random_range(0.5..1.0)),
            fault,
        });
    }
    steps
}

/// Returns the steps in which the store turns some gateways away, though never all of them, while endpoints leave, drawn
/// with a generator of their own.
fn turned_away_steps(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(47));
    let at = length.mul_f64(rng.random_range(0.05..0.3));
    let first = rng.random_range(0..size.gateways);
    let count = rng
        .random_range(1..size.gateways.max(2))
        .min(size.gateways - 1);
    let mut steps = Vec::new();
    for number in 0..count {
        let gateway = (first + number) % size.gateways;
        let fault = match rng.random_range(0..4) {
            0 => SoakFault::RefuseGateway(gateway, 503),
            1 => SoakFault::RefuseGateway(gateway, 429),
            2 => SoakFault::StoreLink(gateway, LinkMode::Reset),
            _ => SoakFault::StoreLink(gateway, LinkMode::Silent),
        };
        let lasts = length.mul_f64(rng.random_range(0.4..0.6));
        steps.push(FaultStep { at, lasts, fault });
    }
    let engine = rng.random_range(0..size.engines);
    let service = size.engines + rng.random_range(0..size.services);
    for endpoint in [engine, service] {
        let notice = if rng.random_bool(0.5) {
            RegistryNotice::Removed
        } else {
            RegistryNotice::Draining
        };
        steps.push(FaultStep {
            at: at + length.mul_f64(rng.random_range(0.0..0.1)),
            lasts: length.mul_f64(rng.random_range(0.25..0.45)),
            fault: SoakFault::Retire(endpoint, notice),
        });
    }
    steps
}

/// Returns the steps in which refusals are repeated, drawn with a generator of their own.
fn repeat_steps(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(41));
    let repeating = (0..REPEATING_ENDPOINTS).map(|_| FaultStep {
        at: length.mul_f64(rng.random_range(0.05..0.5)),
        lasts: length.mul_f64(rng.random_range(0.2..0.4)),
        fault: SoakFault::RepeatRefusals(rng.random_range(0..size.endpoints())),
    });
    repeating.collect()
}

/// Returns the steps in which runs fail after they began, drawn with a generator of their own.
fn failed_run_steps(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(23));
    let first = rng.random_range(0..size.endpoints());
    let failing = FAILED_RUN_STATUSES.iter().enumerate();
    let steps = failing.map(|(number, status)| FaultStep {
        at: length.mul_f64(rng.random_range(0.05..0.6)),
        lasts: length.mul_f64(rng.random_range(0.2..0.4)),
        fault: SoakFault::FailRuns((first + number) % size.endpoints(), *status),
    });
    steps.collect()
}

/// Returns the steps in which callers crowd at one gateway, in every other soak, drawn with a generator of their own: at one
/// after the other, and for a while at each that has just been restarted.
fn crowd_steps(seed: u64, size: SoakSize, length: Duration, steps: &[FaultStep]) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(5));
    if rng.random_bool(0.5) {
        return Vec::new();
    }
    let first = rng.random_range(0..size.gateways);
    let lasts = length / CROWDS;
    let crowds = (0..CROWDS).map(|number| FaultStep {
        at: lasts * number,
        lasts,
        fault: SoakFault::Crowd((first + number as usize) % size.gateways),
    });
    let restarted = steps.iter().filter_map(|step| match step.fault {
        SoakFault::KillGateway(gateway) | SoakFault::StopGateway(gateway) => Some(FaultStep {
            at: step.at + RESTARTED_CROWD_DELAY,
            lasts: RESTARTED_CROWD_TIME,
            fault: SoakFault::Crowd(gateway),
        }),
        _ => None,
    });
    let all = crowds.chain(restarted);
    all.filter(|step| step.at < length).collect()
}

fn draw_fault(rng: &mut ChaCha8Rng, size: SoakSize) -> SoakFault {
    let gateway = rng.random_range(0..size.gateways);
    let engine = rng.random_range(0..size.engines);
    let endpoint = rng.random_range(0..size.endpoints());
    match rng.random_range(0..18) {
        0 => SoakFault::KillGateway(gateway),
        1 => SoakFault::KillSidecar(engine),
        2 if rng.random_bool(0.3) => SoakFault::KillAll,
        2 | 3 => SoakFault::StopGateway(gateway),
        4 => SoakFault::ReloadGateway(gateway),
        5 => SoakFault::PauseGateway(gateway),
        6 => SoakFault::PauseSidecar(engine),
        7 | 8 => SoakFault::Link(endpoint, draw_link_mode(rng)),
        9 => SoakFault::StoreLink(gateway, draw_link_mode(rng)),
        10 | 11 => SoakFault::Store(draw_store_mode(rng)),
        12 | 13 => SoakFault::Crash(endpoint),
        14 => SoakFault::Drain(endpoint),
        15 => SoakFault::LoseAnswers(endpoint),
        16 => SoakFault::Garble(endpoint),
        _ if rng.random_bool(0.5) => SoakFault::LateOrders(engine),
        _ => SoakFault::Configure,
    }
}

fn draw_link_mode(rng: &mut ChaCha8Rng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkMode::Reset,
        2 => LinkMode::Silent,
        _ => LinkMode::OneWay,
    }
}

fn draw_store_mode(rng: &mut ChaCha8Rng) -> StoreMode {
    match rng.random_range(0..4) {
        0 => StoreMode::Silent,
        1 => StoreMode::Busy,
        2 => StoreMode::Slow(Duration::from_millis(rng.random_range(50..800))),
        _ => StoreMode::Broken,
    }
}
