//! When a request that can't be in time is refused, and when it should return.
//!
//! A request that waits behind a queue longer than its target makes everything behind it late as
//! well. It is refused at once instead, with the time after which there should be room. The times
//! are spread, so that refused callers do not come back together.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use oatpier_types::refusal::{Refusal, RefusalCause};

use crate::choice::EndpointChoice;
use crate::site::RouteRule;

/// The share of a class's target that may be spent in a queue; the rest is reading the prompt.
const QUEUE_SHARE: f64 = 0.8;

/// The least and the most that a refused caller is told to wait. Below, it would come back
/// before anything has changed; above, most callers have given up.
const RETURN_LEAST: Duration = Duration::from_millis(60);
const RETURN_MOST: Duration = Duration::from_millis(1_500);

/// Refused callers come back up to this share later than told at the least.
const RETURN_SPREAD: f64 = 0.6;

/// Judges requests; holds the generator that spreads returns.
#[derive(Debug)]
pub struct AdmissionJudge {
    generator: ChaCha8Rng,
}

impl AdmissionJudge {
    /// A judge whose spread follows from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Whether a request may go to the chosen endpoint.
    ///
    /// # Errors
    ///
    /// A refusal where it would wait too long there.
    pub fn admit(
        &mut self,
        choice: &EndpointChoice,
        route: &RouteRule,
        left: Duration,
    ) -> Result<(), Refusal> {
        let bound = route.target.mul_f64(QUEUE_SHARE).min(left);
        if choice.queue <= bound {
            return Ok(());
        }
        let over = choice.queue.saturating_sub(bound);
        Err(self.refusal(RefusalCause::TooLate, over))
    }

    /// A refusal with a time to return, spread.
    pub fn refusal(&mut self, cause: RefusalCause, after: Duration) -> Refusal {
        let after = after.clamp(RETURN_LEAST, RETURN_MOST);
        let spread = 1.0 + RETURN_SPREAD * self.generator.random::<f64>();
        Refusal {
            cause,
            retry_after: Some(after.mul_f64(spread)),
        }
    }
}
