//! Who goes on to an endpoint, who waits at the gateway, and who is refused.
//!
//! A queue at an engine makes every request behind it late. What finds no slot therefore waits at the
//! gateway, where it holds up nobody: first for as long as it can still be in time, then behind those who
//! can, for a part of its caller's patience. After that it is refused with a time to return.
//! These times grow with the share of requests that are refused, and are spread, so that callers come
//! back when there is room and not together.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use oatpier_types::refusal::{Refusal, RefusalCause};

use crate::choice::{EndpointChoice, HeldService, HoldCause};
use crate::site::RouteRule;

/// The share of a class's target that may be spent waiting for a slot; the rest is the way to the
/// endpoint, reading the prompt, and the error of the prediction.
const WAIT_SHARE: f64 = 0.7;

/// The share of a class's target within which a plain service's answer must be expected; the rest is the way there
/// and back, and the error of the prediction.
const ANSWER_SHARE: f64 = 0.85;

/// The share of an engine's slots by which the most urgent classes may go over them: their requests
/// are short, and the engine has the next one at hand when a slot is free. More, or for all classes,
/// makes everything behind it late: with 0, 5, 15 and 30% for all, the mean worth of the heavy days
/// fell from step to step.
const URGENT_EXTRA: f64 = 0.06;

/// The share of a caller's patience for the first piece that it may wait for a slot, once it can no longer be
/// in time. The rest is for reading its prompt; who is refused then has the time to come back once. Without such
/// waits .075 of the heaviest site's requests were not served, with them .067.
const LATE_SHARE: f64 = 0.6;

/// The share of an engine's slots that is kept from requests which can only be late: as much as the most urgent
/// ones may go over them. A guess, not measured apart.
const LATE_RESERVE: f64 = 0.06;

/// A class whose first piece may take longer than this is not urgent.
const PATIENT_TARGET: Duration = Duration::from_millis(600);

/// How soon a request that waits for a slot looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// The least and the most that a refused caller is told to wait. Below, it would come back
/// before anything has changed; above, most callers have given up. A load from the weight store takes up to
/// four seconds, and its callers should not come back before it is done.
const RETURN_LEAST: Duration = Duration::from_millis(60);
const RETURN_MOST: Duration = Duration::from_secs(5);

/// What a refusal for want of room adds to the time to return, where all requests are refused.
const RETURN_PRESSED: Duration = Duration::from_millis(1_800);

/// Refused callers come back up to this share later than told at the least.
const RETURN_SPREAD: f64 = 0.6;

/// The longest spread of returns to an endpoint that takes requests again at a known time.
const HELD_SPREAD: Duration = Duration::from_secs(1);

/// The weight of one more request in the share of refused ones: about the last forty count.
const PRESSURE_WEIGHT: f64 = 0.025;

/// How long a request of a route may wait at the gateway and be in time.
#[must_use]
pub fn latest_wait(route: &RouteRule) -> Duration {
    route.target.mul_f64(WAIT_SHARE)
}

/// How long a request may wait at the gateway at all, whose caller waits so long for the first piece.
#[must_use]
pub fn longest_wait(route: &RouteRule, patience: Duration) -> Duration {
    latest_wait(route).max(patience.mul_f64(LATE_SHARE))
}

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery<'a> {
    /// The endpoint for it.
    pub choice: &'a EndpointChoice,
    /// Its route.
    pub route: &'a RouteRule,
    /// Its rank, 0 first.
    pub priority: u8,
    /// How long it has been here.
    pub waited: Duration,
    /// How long its caller waits for the first piece of the answer, from when it came.
    pub patience: Duration,
}

impl AdmissionQuery<'_> {
    /// Until when it may wait and be in time.
    fn latest(&self) -> Duration {
        latest_wait(self.route)
    }

    /// Whether its first piece can only be late.
    fn is_late(&self) -> bool {
        self.waited >= self.latest()
    }
}

/// What is to be done with a request that has an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It goes there.
    Send,
    /// It waits at the gateway and looks again after this long.
    Wait(Duration),
    /// It is refused.
    Refuse(Refusal),
}

/// Judges requests; holds the generator that spreads returns.
#[derive(Debug)]
pub struct AdmissionJudge {
    generator: ChaCha8Rng,
    pressure: f64,
}

impl AdmissionJudge {
    /// A judge whose spread follows from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
            pressure: 0.0,
        }
    }

    /// What is to be done with a request.
    pub fn judge(&mut self, query: &AdmissionQuery<'_>) -> AdmissionVerdict {
        let choice = query.choice;
        if has_slot(query) {
            self.pressure -= self.pressure * PRESSURE_WEIGHT;
            return AdmissionVerdict::Send;
        }
        let most = longest_wait(query.route, query.patience);
        if query.waited + choice.queue / 2 < most {
            return AdmissionVerdict::Wait(LOOK_AGAIN);
        }
        AdmissionVerdict::Refuse(self.too_late(choice.queue))
    }

    /// A refusal for want of room, where a queue of this length is left.
    pub fn too_late(&mut self, queue: Duration) -> Refusal {
        self.pressure += (1.0 - self.pressure) * PRESSURE_WEIGHT;
        let after = queue + RETURN_PRESSED.mul_f64(self.pressure);
        self.refusal(RefusalCause::TooLate, after)
    }

    /// A refusal with a time to return, spread.
    pub fn refusal(&mut self, cause: RefusalCause, after: Duration) -> Refusal {
        Refusal {
            cause,
            retry_after: Some(self.spread(after)),
        }
    }

    /// A refusal where no endpoint takes the request for a time that is known: what is told is not shortened, and its
    /// spread is bounded, so that the room that there is then is used.
    pub fn held(&mut self, held: &HeldService) -> Refusal {
        let cause = match held.cause {
            HoldCause::Limit => RefusalCause::RateLimited,
            HoldCause::Rest => RefusalCause::EndpointRests,
        };
        let spread = held.left.mul_f64(RETURN_SPREAD).min(HELD_SPREAD);
        let after = held.left.max(RETURN_LEAST) + spread.mul_f64(self.generator.random::<f64>());
        Refusal {
            cause,
            retry_after: Some(after),
        }
    }

    /// A time to return, spread.
    pub fn spread(&mut self, after: Duration) -> Duration {
        let after = after.clamp(RETURN_LEAST, RETURN_MOST);
        let spread = 1.0 + RETURN_SPREAD * self.generator.random::<f64>();
        after.mul_f64(spread)
    }
}

/// Whether a request may take one more slot at the chosen endpoint.
fn has_slot(query: &AdmissionQuery<'_>) -> bool {
    let (choice, route) = (query.choice, query.route);
    if !choice.batches {
        return has_turn(query);
    }
    if choice.memory_full {
        return false;
    }
    choice.occupancy < slots_share(query.is_late(), is_urgent(route, query.priority))
}

/// Whether a request goes to a plain service now.
///
/// In a burst a queue at the service makes everybody late who stands in it: it serves as many a second as without
/// one, and none in time. So a request goes there while its whole answer is expected in time. One that can only be
/// late takes what the others leave.
fn has_turn(query: &AdmissionQuery<'_>) -> bool {
    let choice = query.choice;
    let expected = query.waited + choice.predicted;
    if expected <= query.route.target.mul_f64(ANSWER_SHARE) {
        return true;
    }
    choice.queue.is_zero() && choice.occupancy < 1.0 - LATE_RESERVE
}

/// Whether requests of this rank on a route are of the most urgent ones, which may go over an engine's slots by a
/// few.
#[must_use]
pub fn is_urgent(route: &RouteRule, priority: u8) -> bool {
    priority == 0 && route.target <= PATIENT_TARGET
}

/// The share of an engine's slots below which a request may take one more.
#[must_use]
pub fn slots_share(is_late: bool, is_urgent: bool) -> f64 {
    match (is_late, is_urgent) {
        (true, _) => 1.0 - LATE_RESERVE,
        (false, true) => 1.0 + URGENT_EXTRA,
        (false, false) => 1.0,
    }
}
