//! Which fault strikes when, from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ledger::CallKind;
use crate::proxy::LinkMode;
use crate::standin::store::StoreMode;

/// What strikes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// A gateway is killed and started again.
    KillGateway(usize),
    /// A sidecar is killed and started again.
    KillSidecar(usize),
    /// All processes of ours are killed at once.
    KillAll,
    /// A gateway is stopped as for planned work, and started again when it has ended.
    StopGateway(usize),
    /// A gateway's settings are reloaded.
    ReloadGateway(usize),
    /// A gateway is paused.
    PauseGateway(usize),
    /// A sidecar is paused.
    PauseSidecar(usize),
    /// The link of an endpoint.
    Link(usize, LinkMode),
    /// One gateway's way to the store.
    StoreLink(usize, LinkMode),
    /// The store.
    Store(StoreMode),
    /// An endpoint crashes and comes back as another instance.
    Crash(usize),
    /// An endpoint reports that it leaves, goes on for a while, and comes back as another instance.
    Drain(usize),
    /// An endpoint loses the answers to a part of what it ran.
    LoseAnswers(usize),
    /// An endpoint spoils a part of its answers.
    Garble(usize),
    /// An engine leaves orders unanswered and carries them out late.
    LateOrders(usize),
    /// A new version of the configuration.
    Configure,
    /// The store comes back from a copy of this age.
    StoreReturns(Duration),
    /// An endpoint says in its answers alone that it leaves, and comes back as another instance.
    Leave(usize),
    /// An endpoint turns requests away and asks for so much rest each time.
    Rest(usize, Duration),
    /// An endpoint names a limit, in requests in a thousand seconds.
    Limit(usize, u32),
    /// A caller comes back again and again, at any gateway, with a request that ends the endpoints that run it.
    CrashingRequest(CallKind),
}

/// A fault, when it strikes and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultStep {
    /// From the first request.
    pub at: Duration,
    /// How long, where it lasts.
    pub lasts: Duration,
    /// What.
    pub fault: SoakFault,
}

/// How many there are of each.
#[derive(Debug, Clone, Copy)]
pub struct SoakSize {
    /// Gateways.
    pub gateways: usize,
    /// Engines, each with a sidecar.
    pub engines: usize,
    /// Endpoints of the plain service.
    pub services: usize,
    /// Callers that send one request after the other.
    pub callers: usize,
}

impl SoakSize {
    /// Endpoints of both kinds; engines come first.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.engines + self.services
    }
}

/// The mean time from one fault to the next. They last longer, so several overlap.
const FAULT_EVERY_MS: u64 = 700;

/// The longest that a fault lasts.
const LONGEST_MS: u64 = 3_000;

/// The faults of a soak that sends requests for `length`, in order of time.
#[must_use]
pub fn plan(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(50..2 * FAULT_EVERY_MS));
        if at >= length {
            steps.push(crashing_request(seed, length));
            steps.push(store_return(seed, length));
            steps.extend(notices(seed, size, length));
            steps.sort_by_key(|step| step.at);
            return steps;
        }
        steps.push(FaultStep {
            at,
            lasts: Duration::from_millis(random.random_range(200..LONGEST_MS)),
            fault: draw(&mut random, size),
        });
    }
}

/// The request that ends endpoints, from the first third of a soak to its end. It has a generator of its own: the
/// other faults of a seed stay as they were drawn before there was one.
fn crashing_request(seed: u64, length: Duration) -> FaultStep {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let kinds = [
        CallKind::Stream,
        CallKind::Unsafe,
        CallKind::ResumableStream,
        CallKind::Safe,
    ];
    let at = length.mul_f64(random.random_range(0.05..0.33));
    FaultStep {
        at,
        lasts: length.saturating_sub(at),
        fault: SoakFault::CrashingRequest(kinds[random.random_range(0..kinds.len())]),
    }
}

/// The store's return from an older copy, with a generator of its own as well.
fn store_return(seed: u64, length: Duration) -> FaultStep {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(17));
    let age = Duration::from_millis(random.random_range(300..4_000));
    FaultStep {
        at: length.mul_f64(random.random_range(0.3..0.8)),
        lasts: Duration::ZERO,
        fault: SoakFault::StoreReturns(age),
    }
}

/// What endpoints say of themselves: two of each kind, with a generator of its own as well.
fn notices(seed: u64, size: SoakSize, length: Duration) -> Vec<FaultStep> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(31));
    let mut steps = Vec::new();
    for number in 0..6 {
        let endpoint = random.random_range(0..size.endpoints());
        let rest = Duration::from_millis(random.random_range(300..3_000));
        let limit = random.random_range(500..6_000);
        let (fault, share) = match number % 3 {
            0 => (SoakFault::Leave(endpoint), 0.4),
            1 => (SoakFault::Rest(endpoint, rest), 0.3),
            _ => (SoakFault::Limit(endpoint, limit), 0.8),
        };
        steps.push(FaultStep {
            at: length.mul_f64(random.random_range(0.05..0.5)),
            lasts: length.mul_f64(share * random.random_range(0.5..1.0)),
            fault,
        });
    }
    steps
}

fn draw(random: &mut ChaCha8Rng, size: SoakSize) -> SoakFault {
    let gateway = random.random_range(0..size.gateways);
    let engine = random.random_range(0..size.engines);
    let endpoint = random.random_range(0..size.endpoints());
    match random.random_range(0..18) {
        0 => SoakFault::KillGateway(gateway),
        1 => SoakFault::KillSidecar(engine),
        2 if random.random_bool(0.3) => SoakFault::KillAll,
        2 | 3 => SoakFault::StopGateway(gateway),
        4 => SoakFault::ReloadGateway(gateway),
        5 => SoakFault::PauseGateway(gateway),
        6 => SoakFault::PauseSidecar(engine),
        7 | 8 => SoakFault::Link(endpoint, link_mode(random)),
        9 => SoakFault::StoreLink(gateway, link_mode(random)),
        10 | 11 => SoakFault::Store(store_mode(random)),
        12 | 13 => SoakFault::Crash(endpoint),
        14 => SoakFault::Drain(endpoint),
        15 => SoakFault::LoseAnswers(endpoint),
        16 => SoakFault::Garble(endpoint),
        _ if random.random_bool(0.5) => SoakFault::LateOrders(engine),
        _ => SoakFault::Configure,
    }
}

fn link_mode(random: &mut ChaCha8Rng) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(random.random_range(20..400))),
        1 => LinkMode::Reset,
        2 => LinkMode::Silent,
        _ => LinkMode::OneWay,
    }
}

fn store_mode(random: &mut ChaCha8Rng) -> StoreMode {
    match random.random_range(0..4) {
        0 => StoreMode::Silent,
        1 => StoreMode::Busy,
        2 => StoreMode::Slow(Duration::from_millis(random.random_range(50..800))),
        _ => StoreMode::Broken,
    }
}
