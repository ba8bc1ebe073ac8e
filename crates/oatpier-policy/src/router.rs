//! Selection of an endpoint from a small random sample.
//!
//! The cost of a scan of all candidates grows with the fleet, and it makes all entries pick the
//! same best endpoint until its next queue report. A few random candidates are nearly as good, cost the
//! same at any fleet size, and spread the load of the entries.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::TokenDemand;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::health::HealthTracker;
use crate::index::{EndpointIndex, GoalIndex, ZoneIndex};
use crate::prefix::{PrefixHolders, PrefixIndex};
use crate::table::{AttemptSize, CandidateList, EndpointTable};
use crate::units::{micros, scale};

/// Settings of a [`RequestRouter`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RouterSettings {
    /// Number of candidates sampled from the entry's own availability zone.
    pub own_sample: usize,
    /// Number of candidates sampled from another availability zone.
    pub other_sample: usize,
    /// The entry's own availability zone is preferred while its predicted time is below this share
    /// of the remaining time, in percent.
    pub own_percent: u32,
    /// A request is refused if even the best predicted time exceeds this share of the remaining
    /// time, in percent. The value is far above 100 because predictions are inexact, and the agent,
    /// which checks again with better information, can refuse at the cost of a round trip.
    pub refuse_percent: u32,
    /// Retry delay that is suggested to a caller when no endpoint can serve the request.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            own_sample: 4,
            other_sample: 2,
            own_percent: 20,
            refuse_percent: 250,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Upper bound on the candidates that are considered when all sampled ones are excluded.
const MAX_FALLBACK_CANDIDATES: usize = 32;

/// Upper bound on the ejected endpoints that are considered for a probe.
const MAX_PROBE_CANDIDATES: usize = 4;

/// State that the router reads.
#[derive(Debug, Clone, Copy)]
pub struct RouteView<'a> {
    /// Known state of the endpoints.
    pub table: &'a EndpointTable,
    /// Health of the endpoints.
    pub health: &'a HealthTracker,
    /// Expected prefix caches of the endpoints.
    pub prefix: &'a PrefixIndex,
}

/// The requirements of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The goal (model, adapter or service) to serve.
    pub goal: GoalIndex,
    /// Number of prompt and output tokens.
    pub tokens: TokenDemand,
    /// Hashes of the growing prefixes of the prompt, the shortest first.
    pub prefixes: &'a [u64],
    /// Whether the target applies to the whole answer instead of its first token.
    pub is_whole_answer: bool,
    /// Time remaining for the attempt.
    pub remaining: Duration,
    /// Endpoints that must not be chosen because they already had an attempt.
    pub excluded: &'a [EndpointIndex],
    /// Whether the attempt may serve as a probe of an ejected endpoint.
    pub probe: ProbeUse,
}

/// Whether an attempt may serve as a probe of an ejected endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeUse {
    /// It may not, because the request has had an attempt.
    Never,
    /// It may, because another attempt can follow if the probe is lost.
    Repeatable,
    /// It may if no other request has probed the endpoint for long, and its agent is known to be running.
    AtMostOnce,
}

/// The endpoint chosen for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Predicted time until the first token or the whole answer, as the query requires.
    pub predicted: Duration,
    /// Predicted time until the attempt starts to run.
    pub queue: Duration,
    /// Prompt tokens that are not expected in the endpoint's prefix cache.
    pub uncached_tokens: u32,
    /// Whether the endpoint's speed is known. Without it the prediction is meaningless.
    pub is_speed_known: bool,
    /// Whether the attempt is a probe of an ejected endpoint.
    pub is_probe: bool,
}

/// Chooses endpoints, with a seeded random number generator.
#[derive(Debug)]
pub struct RequestRouter {
    settings: RouterSettings,
    rng: ChaCha8Rng,
}

impl RequestRouter {
    /// Creates a router whose choices are determined by `seed`.
    #[must_use]
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses an endpoint for an attempt. Does not allocate.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no endpoint can serve the attempt, or none in time.
    pub fn choose(
        &mut self,
        view: RouteView<'_>,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> Result<RouteChoice, Refusal> {
        let list = view.table.candidates(query.goal);
        if let Some(choice) = probe_choice(view, query, list, now) {
            return Ok(choice);
        }
        let mut sample = RouteSample::new(view, query, now);
        self.sample_candidates(list, &mut sample);
        let choice = sample.best_choice(self.settings.own_percent);
        let choice = choice.ok_or(Refusal {
            cause: RefusalCause::NoEndpoint,
            retry_after: Some(self.settings.retry_after),
        })?;
        self.check_in_time(choice, query.remaining)
    }

    /// Returns a random 128-bit number, used as an attempt id.
    pub fn random_u128(&mut self) -> u128 {
        self.rng.random()
    }

    fn sample_candidates(&mut self, list: &CandidateList, sample: &mut RouteSample<'_>) {
        let own = sample.view.table.own_zone();
        self.sample_zone(list.open_in(own), self.settings.own_sample, sample);
        if let Some(other) = self.other_zone(list, sample.view.table) {
            self.sample_zone(list.open_in(other), self.settings.other_sample, sample);
        }
        sample.consider_holders();
        if sample.is_empty() {
            sample.consider_fallback(list);
        }
    }

    fn sample_zone(&mut self, open: &[EndpointIndex], count: usize, sample: &mut RouteSample<'_>) {
        if open.len() <= count {
            sample.consider_each(open);
            return;
        }
        for _ in 0..count {
            let index = self.rng.random_range(0..open.len());
            sample.consider(open[index]);
        }
    }

    /// Returns another availability zone with open candidates, searching from a random one on.
    fn other_zone(&mut self, list: &CandidateList, table: &EndpointTable) -> Option<ZoneIndex> {
        let own = table.own_zone();
        if list.open_count() == list.open_in(own).len() {
            return None;
        }
        let zones = table.zone_count();
        let start = self.rng.random_range(0..zones);
        (0..zones)
            .map(|step| ZoneIndex::from_usize((start + step) % zones))
            .find(|zone| *zone != own && !list.open_in(*zone).is_empty())
    }

    fn check_in_time(
        &self,
        choice: RouteChoice,
        remaining: Duration,
    ) -> Result<RouteChoice, Refusal> {
        let bound = scale(
            micros(remaining),
            u64::from(self.settings.refuse_percent),
            100,
        );
        if micros(choice.predicted) <= bound {
            return Ok(choice);
        }
        Err(Refusal {
            cause: RefusalCause::TooLate,
            retry_after: Some(choice.predicted.saturating_sub(remaining)),
        })
    }
}

/// The best candidates considered so far.
struct RouteSample<'a> {
    view: RouteView<'a>,
    query: &'a RouteQuery<'a>,
    holders: PrefixHolders,
    now: ClockTime,
    best_in_own_zone: Option<RouteChoice>,
    best: Option<RouteChoice>,
}

impl<'a> RouteSample<'a> {
    fn new(view: RouteView<'a>, query: &'a RouteQuery<'a>, now: ClockTime) -> Self {
        Self {
            view,
            query,
            holders: view.prefix.holders(query.prefixes, now),
            now,
            best_in_own_zone: None,
            best: None,
        }
    }

    fn is_empty(&self) -> bool {
        self.best.is_none()
    }

    /// Considers the expected holders of the prompt's prefix, in any availability zone.
    fn consider_holders(&mut self) {
        let endpoints: SmallVec<[EndpointIndex; 4]> =
            self.holders.iter().map(|holder| holder.endpoint).collect();
        for endpoint in endpoints {
            let row = self.view.table.row(endpoint);
            if row.is_open() && row.serves(self.query.goal) {
                self.consider(endpoint);
            }
        }
    }

    /// Considers a bounded number of open candidates in order, for when all sampled ones were
    /// excluded.
    fn consider_fallback(&mut self, list: &CandidateList) {
        let zones = self.view.table.zone_count();
        let open = (0..zones).flat_map(|index| list.open_in(ZoneIndex::from_usize(index)));
        for endpoint in open.take(MAX_FALLBACK_CANDIDATES) {
            self.consider(*endpoint);
        }
    }

    fn consider_each(&mut self, endpoints: &[EndpointIndex]) {
        for endpoint in endpoints {
            self.consider(*endpoint);
        }
    }

    fn consider(&mut self, endpoint: EndpointIndex) {
        if self.query.excluded.contains(&endpoint) {
            return;
        }
        let choice = predicted_choice(self.view, self.query, &self.holders, endpoint, self.now);
        let row = self.view.table.row(endpoint);
        if row.zone == self.view.table.own_zone() {
            keep_better(&mut self.best_in_own_zone, choice);
        }
        keep_better(&mut self.best, choice);
    }

    /// Returns the best candidate of the entry's own availability zone, unless its predicted time
    /// exceeds the bound; otherwise the best candidate of any zone.
    fn best_choice(&self, own_percent: u32) -> Option<RouteChoice> {
        let bound = scale(micros(self.query.remaining), u64::from(own_percent), 100);
        self.best_in_own_zone
            .filter(|choice| micros(choice.predicted) <= bound)
            .or(self.best)
    }
}

fn keep_better(best: &mut Option<RouteChoice>, choice: RouteChoice) {
    if best.is_none_or(|best| choice.predicted < best.predicted) {
        *best = Some(choice);
    }
}

fn predicted_choice(
    view: RouteView<'_>,
    query: &RouteQuery<'_>,
    holders: &PrefixHolders,
    endpoint: EndpointIndex,
    now: ClockTime,
) -> RouteChoice {
    let cached = holders
        .iter()
        .find(|holder| holder.endpoint == endpoint)
        .map_or(0, |holder| holder.tokens);
    let uncached_tokens = query.tokens.prompt.saturating_sub(cached);
    let size = AttemptSize {
        uncached_tokens,
        is_whole_answer: query.is_whole_answer,
    };
    let prediction = view.table.predict(endpoint, size, now);
    RouteChoice {
        endpoint,
        predicted: Duration::from_micros(prediction.total_us),
        queue: Duration::from_micros(prediction.queue_us),
        uncached_tokens,
        is_speed_known: prediction.is_speed_known,
        is_probe: false,
    }
}

/// Returns an ejected endpoint that is due for a probe by this attempt.
fn probe_choice(
    view: RouteView<'_>,
    query: &RouteQuery<'_>,
    list: &CandidateList,
    now: ClockTime,
) -> Option<RouteChoice> {
    let is_due = |index: &&EndpointIndex| {
        let is_due = match query.probe {
            ProbeUse::Never => false,
            ProbeUse::Repeatable => view.health.probe_due(**index, now),
            ProbeUse::AtMostOnce => {
                let reported_at = view.table.row(**index).reported_at();
                view.health.probe_overdue(**index, reported_at, now)
            }
        };
        is_due && !query.excluded.contains(*index)
    };
    let endpoint = *list
        .ejected()
        .iter()
        .take(MAX_PROBE_CANDIDATES)
        .find(is_due)?;
    let choice = predicted_choice(view, query, &PrefixHolders::new(), endpoint, now);
    Some(RouteChoice {
        is_probe: true,
        ..choice
    })
}
