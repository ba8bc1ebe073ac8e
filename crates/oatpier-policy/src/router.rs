//! The choice of an endpoint from a short sample.
//!
//! A scan of all candidates grows with the fleet, and makes all entries choose the same best one
//! until its next pulse. A few random candidates are nearly as good, cost the same at any size,
//! and spread the entries.

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
    /// Candidates sampled from the own availability zone.
    pub own_sample: usize,
    /// Candidates sampled from another availability zone.
    pub other_sample: usize,
    /// The own availability zone is taken while its prediction is below this share of the time
    /// left, in percent.
    pub own_percent: u32,
    /// A request is refused where even the best prediction is above this share of the time left,
    /// in percent. Far above 100: predictions err, and the agent, which judges again, knows better
    /// and refuses for the price of a round trip.
    pub refuse_percent: u32,
    /// When to come back where no endpoint can serve.
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

/// The most candidates that are looked at when all sampled ones are excluded.
const FALLBACK_BOUND: usize = 32;

/// The most ejected endpoints that are looked at for a probe.
const PROBE_BOUND: usize = 4;

/// What the router may look at.
#[derive(Debug, Clone, Copy)]
pub struct RouteView<'a> {
    /// What is known of endpoints.
    pub table: &'a EndpointTable,
    /// Their health.
    pub health: &'a HealthTracker,
    /// Their caches.
    pub prefix: &'a PrefixIndex,
}

/// What an attempt needs.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// What it is for.
    pub goal: GoalIndex,
    /// Its size.
    pub tokens: TokenDemand,
    /// The growing prefixes of its prompt.
    pub prefixes: &'a [u64],
    /// Whether the whole answer is due, not its first token.
    pub whole: bool,
    /// Time left.
    pub remaining: Duration,
    /// Endpoints that had an attempt already.
    pub excluded: &'a [EndpointIndex],
    /// Whether it may serve as a probe of an ejected endpoint.
    pub may_probe: bool,
}

/// Where an attempt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Predicted time until what is due.
    pub predicted: Duration,
    /// Predicted time until it runs.
    pub queue: Duration,
    /// Prompt tokens not expected in the cache there.
    pub tokens_to_read: u32,
    /// Whether the endpoint's speed is known, so that the prediction says something.
    pub informed: bool,
    /// Whether this is a probe of an ejected endpoint.
    pub probe: bool,
}

/// Chooses endpoints; holds the seeded generator.
#[derive(Debug)]
pub struct RequestRouter {
    settings: RouterSettings,
    generator: ChaCha8Rng,
}

impl RequestRouter {
    /// A router whose choices follow from `seed`.
    #[must_use]
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            settings,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses an endpoint. Does not allocate.
    ///
    /// # Errors
    ///
    /// A refusal where no endpoint can serve, or none in time.
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
        self.sample_all(list, &mut sample);
        let choice = sample.pick(self.settings.own_percent);
        let choice = choice.ok_or(Refusal {
            cause: RefusalCause::NoEndpoint,
            retry_after: Some(self.settings.retry_after),
        })?;
        self.check_in_time(choice, query.remaining)
    }

    /// Draws a fresh 128-bit number, for an attempt id.
    pub fn draw(&mut self) -> u128 {
        self.generator.random()
    }

    fn sample_all(&mut self, list: &CandidateList, sample: &mut RouteSample<'_>) {
        let own = sample.view.table.own_zone();
        self.sample_zone(list.open_in(own), self.settings.own_sample, sample);
        if let Some(other) = self.other_zone(list, sample.view.table) {
            self.sample_zone(list.open_in(other), self.settings.other_sample, sample);
        }
        sample.consider_holders();
        if sample.is_empty() {
            sample.consider_rest(list);
        }
    }

    fn sample_zone(&mut self, open: &[EndpointIndex], count: usize, sample: &mut RouteSample<'_>) {
        if open.len() <= count {
            sample.consider_each(open);
            return;
        }
        for _ in 0..count {
            let place = self.generator.random_range(0..open.len());
            sample.consider(open[place]);
        }
    }

    /// Another availability zone with open candidates, from a random start.
    fn other_zone(&mut self, list: &CandidateList, table: &EndpointTable) -> Option<ZoneIndex> {
        let own = table.own_zone();
        if list.open() == list.open_in(own).len() {
            return None;
        }
        let zones = table.zone_count();
        let start = self.generator.random_range(0..zones);
        (0..zones)
            .map(|step| ZoneIndex::of_place((start + step) % zones))
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

/// The best candidates seen so far.
struct RouteSample<'a> {
    view: RouteView<'a>,
    query: &'a RouteQuery<'a>,
    holders: PrefixHolders,
    now: ClockTime,
    own: Option<RouteChoice>,
    any: Option<RouteChoice>,
}

impl<'a> RouteSample<'a> {
    fn new(view: RouteView<'a>, query: &'a RouteQuery<'a>, now: ClockTime) -> Self {
        Self {
            view,
            query,
            holders: view.prefix.holders(query.prefixes, now),
            now,
            own: None,
            any: None,
        }
    }

    fn is_empty(&self) -> bool {
        self.any.is_none()
    }

    /// Expected holders of the prompt's prefix are candidates too, wherever they are.
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

    /// All sampled candidates were excluded: look on in order, at a bounded number.
    fn consider_rest(&mut self, list: &CandidateList) {
        let zones = self.view.table.zone_count();
        let open = (0..zones).flat_map(|place| list.open_in(ZoneIndex::of_place(place)));
        for endpoint in open.take(FALLBACK_BOUND) {
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
            keep_better(&mut self.own, choice);
        }
        keep_better(&mut self.any, choice);
    }

    /// The own availability zone goes first, unless it would be late.
    fn pick(&self, own_percent: u32) -> Option<RouteChoice> {
        let bound = scale(micros(self.query.remaining), u64::from(own_percent), 100);
        self.own
            .filter(|choice| micros(choice.predicted) <= bound)
            .or(self.any)
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
    let tokens_to_read = query.tokens.prompt.saturating_sub(cached);
    let size = AttemptSize {
        tokens_to_read,
        whole: query.whole,
    };
    let prediction = view.table.predict(endpoint, size, now);
    RouteChoice {
        endpoint,
        predicted: Duration::from_micros(prediction.total_us),
        queue: Duration::from_micros(prediction.queue_us),
        tokens_to_read,
        informed: prediction.informed,
        probe: false,
    }
}

/// An ejected endpoint that is due for a probe gets this attempt, if it can bear a repeat.
fn probe_choice(
    view: RouteView<'_>,
    query: &RouteQuery<'_>,
    list: &CandidateList,
    now: ClockTime,
) -> Option<RouteChoice> {
    if !query.may_probe {
        return None;
    }
    let due = |index: &&EndpointIndex| {
        view.health.probe_due(**index, now) && !query.excluded.contains(*index)
    };
    let endpoint = *list.ejected().iter().take(PROBE_BOUND).find(due)?;
    let choice = predicted_choice(view, query, &PrefixHolders::new(), endpoint, now);
    Some(RouteChoice {
        probe: true,
        ..choice
    })
}
