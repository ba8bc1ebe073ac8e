//! When a gateway reads the store, and what its reads and the messages of other gateways change.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::delta::{StoreDelta, StorePosition};
use super::digest::{InternalContents, InternalDigest};
use super::fetch::{ExcerptFetch, ExcerptQuery, FetchSchedule, StoreExcerpt};
use super::schedule::{ReadSchedule, ZonePlace};
use super::view::{DeltaOutcome, NO_CONFIG, RegisteredEndpoints, StoreContents, StoreView};
use crate::quota::lease::StoreEra;

/// Timeout of a read, as a share of the interval between reads.
const TIMEOUT_SHARE: f64 = 0.8;

/// Pause after a failed read, as a share of the interval between reads. It is shorter than the interval so
/// that a gateway without a configuration gets one soon after the store is back. It costs at most one more
/// call per interval.
const RETRY_SHARE: f64 = 0.5;

/// Interval between reads while there is no configuration yet: until then every request is refused.
const COLD_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of the first read while there is no configuration yet, and its increase after each failure, up
/// to the usual timeout. A store that was unreachable answers new calls some milliseconds after it is back,
/// but never answers old ones. A slow store must get enough time as well.
const COLD_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of failed reads without a configuration after which the timeout starts again at its first value.
const COLD_TIMEOUT_STEPS: u32 = 4;

/// Time after which a read in progress is taken for lost, as far as other gateways are asked, as a share of
/// the interval between reads.
const PATIENCE_SHARE: f64 = 0.25;

/// Time that a gateway takes to answer a question of another one.
const QUESTION_TIME: Duration = Duration::from_millis(4);

/// Time that a question and its answer take.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Longest time over which the questions of a zone's gateways are spread, as a share of the interval between reads.
const MAX_SPREAD_SHARE: f64 = 0.15;

/// Where knowledge of the store came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnowledgeSource {
    /// This gateway has read the store.
    OwnRead,
    /// Another gateway has read the store and sent what it read.
    OtherGateway,
}

impl KnowledgeSource {
    /// Returns the source's name in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnRead => "own read",
            Self::OtherGateway => "another gateway",
        }
    }
}

/// What a gateway has learned about the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreKnowledge {
    /// Where it came from.
    pub source: KnowledgeSource,
    /// Time since the read began that showed it.
    pub age: Duration,
    /// Whether that read showed the configuration that is known here.
    pub confirms_config: bool,
    /// All endpoints, if any of them may have changed.
    pub endpoints: Option<RegisteredEndpoints>,
    /// Endpoints among them that are kept from now on.
    pub newly_kept: Vec<EndpointName>,
    /// The copy of the store.
    pub era: StoreEra,
    /// The entries that gateways wrote, if they may have changed.
    pub internal: Option<InternalContents>,
    /// What to send to the other gateways of the availability zone.
    pub delta: Option<StoreDelta>,
}

/// The times that a follower goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerTimes {
    /// Time within which a change must be seen.
    pub period: Duration,
    /// Interval at which endpoints renew their entries.
    pub heartbeat: Duration,
}

/// What a gateway is to ask the store next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPlan {
    /// Read everything.
    Contents,
    /// There was no configuration at this position: wait for the first one at the store.
    ConfigAfter(StorePosition),
}

/// Follows the store for one gateway.
///
/// While it can't read the store, it asks other gateways for what they have read.
#[derive(Debug)]
pub struct StoreFollower {
    times: FollowerTimes,
    schedule: ReadSchedule,
    fetches: FetchSchedule,
    place: Option<ZonePlace>,
    view: Option<StoreView>,
    /// Number of consecutive failed reads.
    failures: u32,
    /// When the read in progress began.
    read_begun: Option<ClockTime>,
    /// Whether another gateway has read something that its message did not contain.
    is_behind_reader: bool,
    /// Whether a configuration was written after the last read, which showed none.
    is_config_written: bool,
    /// The position before an outage, while other gateways may know which of the endpoints that are missing
    /// since then were removed.
    unconfirmed_since: Option<StorePosition>,
}

impl StoreFollower {
    /// Creates a follower that knows nothing yet. `seed` determines its random choices.
    #[must_use]
    pub fn new(times: FollowerTimes, seed: u64) -> Self {
        Self {
            times,
            schedule: ReadSchedule::new(seed),
            fetches: FetchSchedule::new(seed),
            place: None,
            view: None,
            failures: 0,
            read_begun: None,
            is_behind_reader: false,
            is_config_written: false,
            unconfirmed_since: None,
        }
    }

    /// Sets the place of this gateway among those of its availability zone.
    pub fn set_place(&mut self, place: Option<ZonePlace>) {
        self.place = place;
        self.schedule.set_place(place);
    }

    /// Returns what the next read is to ask. Until there is a configuration no request can be served, and the
    /// registry is of no use yet.
    #[must_use]
    pub fn next_plan(&self) -> ReadPlan {
        let empty = self.view.as_ref().filter(|view| !view.has_config());
        match empty {
            Some(view) if self.failures == 0 && !self.is_config_written => {
                ReadPlan::ConfigAfter(view.position())
            }
            _ => ReadPlan::Contents,
        }
    }

    /// Records the end of a wait for the first configuration that began at `begun`: whether one was written.
    pub fn note_config_wait(&mut self, is_written: bool, begun: ClockTime) {
        self.read_begun = None;
        self.is_config_written = is_written;
        let pause = if is_written {
            Duration::ZERO
        } else {
            COLD_INTERVAL
        };
        self.schedule.note_failure(begun + pause);
    }

    /// Changes the times that it goes by.
    pub fn set_times(&mut self, times: FollowerTimes) {
        self.times = times;
    }

    /// Returns when the next read is due.
    #[must_use]
    pub fn next_read_at(&self) -> ClockTime {
        self.schedule.next_at()
    }

    /// Returns the timeout of the next read.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        let usual = self.times.period.mul_f64(TIMEOUT_SHARE);
        if self.is_cold() {
            usual.min(COLD_TIMEOUT * (1 + self.failures % COLD_TIMEOUT_STEPS))
        } else {
            usual
        }
    }

    /// Returns whether no configuration has been read yet.
    fn is_cold(&self) -> bool {
        self.view.as_ref().is_none_or(|view| !view.has_config())
    }

    /// Records that a read begins.
    pub fn note_read_begun(&mut self, now: ClockTime) {
        self.read_begun = Some(now);
    }

    /// Records that a read that began at `begun` has failed.
    pub fn note_read_failure(&mut self, begun: ClockTime) {
        let pause = if self.is_cold() {
            COLD_INTERVAL
        } else {
            self.times.period.mul_f64(RETRY_SHARE)
        };
        self.failures = self.failures.wrapping_add(1);
        self.read_begun = None;
        self.schedule.note_failure(begun + pause);
    }

    /// Applies the result of a read.
    pub fn apply_read(&mut self, contents: StoreContents, now: ClockTime) -> StoreKnowledge {
        let begun = contents.begun;
        // Without a failed read, this gateway was only late to read.
        let may_be_expired = self.failures > 0 && self.is_after_gap(begun);
        let position_before = self.view.as_ref().map(StoreView::position);
        let kept_before = self.kept();
        self.failures = 0;
        self.read_begun = None;
        self.is_config_written = false;
        self.schedule.note_read(begun, self.times.period);
        let is_applied = if let Some(view) = &mut self.view {
            view.apply_contents(contents, may_be_expired, now)
        } else {
            self.view = Some(StoreView::new(contents, now));
            true
        };
        let newly_kept = self.kept_since(&kept_before);
        if may_be_expired || !newly_kept.is_empty() {
            self.unconfirmed_since = position_before;
        }
        self.read_when_grace_ends();
        let view = self.view.as_ref().filter(|_| is_applied);
        StoreKnowledge {
            source: KnowledgeSource::OwnRead,
            age: now.since(begun),
            confirms_config: true,
            endpoints: view.map(StoreView::registered),
            newly_kept,
            era: self.era(),
            internal: view.map(|view| view.internal().clone()),
            delta: view.map(|view| view.recent_delta(now)),
        }
    }

    /// Returns whether entries may have expired between the last knowledge and a read that began at `begun`. An
    /// outage that is shorter than a heartbeat keeps no endpoint from renewing its entry in time.
    fn is_after_gap(&self, begun: ClockTime) -> bool {
        let known_at = self.view.as_ref().map(StoreView::known_at);
        known_at.is_some_and(|known_at| begun.since(known_at) > self.times.heartbeat)
    }

    /// Returns whether another gateway must be asked for the whole registry.
    fn is_diverged(&self) -> bool {
        self.view.as_ref().is_some_and(StoreView::is_diverged)
    }

    fn era(&self) -> StoreEra {
        let view = self.view.as_ref();
        view.map_or_else(StoreEra::default, |view| view.position().era)
    }

    fn kept(&self) -> Vec<EndpointName> {
        let view = self.view.iter();
        view.flat_map(StoreView::kept).cloned().collect()
    }

    fn kept_since(&self, before: &[EndpointName]) -> Vec<EndpointName> {
        let mut kept = self.kept();
        kept.retain(|name| !before.contains(name));
        kept
    }

    /// Ensures that a read begins when endpoints are no longer kept.
    fn read_when_grace_ends(&mut self) {
        let keep_until = self.view.as_ref().and_then(StoreView::keep_until);
        if let Some(keep_until) = keep_until {
            self.schedule.bring_forward(keep_until);
        } else {
            self.unconfirmed_since = None;
        }
    }

    /// Applies a message of the gateway `from`. Returns what it means for the view, and what was learned
    /// from it. Before the first read there is nothing that changes could apply to.
    pub fn apply_delta(
        &mut self,
        from: SocketAddr,
        delta: &StoreDelta,
        now: ClockTime,
    ) -> (DeltaOutcome, Option<StoreKnowledge>) {
        let may_be_expired = self.is_after_gap(now - delta.age());
        let Some(view) = &mut self.view else {
            self.fetches.note_hint(from, now);
            return (DeltaOutcome::Missed, None);
        };
        let before = view.changes();
        let outcome = view.apply_delta(delta, may_be_expired, now);
        match outcome {
            DeltaOutcome::Current => {
                let begun = now - delta.age();
                self.schedule.note_peer_read(begun, self.times.period);
            }
            DeltaOutcome::Missed | DeltaOutcome::Diverged | DeltaOutcome::Partial => {
                self.note_reader(from, now);
            }
            DeltaOutcome::Older => {}
        }
        let knowledge = self.knowledge_from(outcome, delta, before, now);
        (outcome, knowledge)
    }

    /// Records that another gateway has read something that its message did not contain. It is asked soon, and the own
    /// read waits for the answer.
    fn note_reader(&mut self, reader: SocketAddr, now: ClockTime) {
        if self.is_behind_reader {
            return;
        }
        self.is_behind_reader = true;
        let spread = self.question_spread();
        self.fetches.note_reader(reader, spread, now);
        self.schedule.postpone(now + spread + ANSWER_TIME);
    }

    /// Records the end of a question. The own read is due if there was no answer that made it needless.
    fn note_asked(&mut self, is_current: bool, now: ClockTime) {
        let was_behind = std::mem::take(&mut self.is_behind_reader);
        if was_behind && !is_current {
            self.schedule.bring_forward(now);
        }
    }

    /// Returns the time over which the gateways of a zone spread their questions to one that has read the store. Their
    /// own reads are due later.
    fn question_spread(&self) -> Duration {
        let gateways = self.place.map_or(1, |place| place.gateways);
        let longest = self.times.period.mul_f64(MAX_SPREAD_SHARE);
        (QUESTION_TIME * gateways).min(longest)
    }

    /// Returns when another gateway is to be asked; `None` as long as there is no need.
    #[must_use]
    pub fn next_fetch_at(&self) -> Option<ClockTime> {
        let needs_now = self.is_behind_reader
            || self.unconfirmed_since.is_some()
            || (self.is_diverged() && self.failures > 0);
        let needed_at = if needs_now {
            ClockTime::ZERO
        } else {
            self.is_stale_at()?
        };
        Some(needed_at.max(self.fetches.next_at()))
    }

    /// Returns when knowledge is too old because own reads do not succeed. Whether kept endpoints have registered
    /// again is known when the grace period ends.
    fn is_stale_at(&self) -> Option<ClockTime> {
        let view = self.view.as_ref();
        let known_at = view.map_or(ClockTime::ZERO, StoreView::known_at);
        let stale_at = known_at + self.times.period;
        let keep_until = view.and_then(StoreView::keep_until);
        let stale_at = keep_until.map_or(stale_at, |keep_until| stale_at.min(keep_until));
        if self.failures > 0 {
            return Some(stale_at);
        }
        let patience = self.times.period.mul_f64(PATIENCE_SHARE);
        let begun = self.read_begun?;
        Some(stale_at.max(begun + patience))
    }

    /// Returns the gateway to ask, out of the known ones, and what to ask.
    pub fn begin_fetch(&mut self, peers: &[SocketAddr], now: ClockTime) -> Option<ExcerptFetch> {
        let view = self.view.as_ref();
        let since = self.unconfirmed_since.or(view.map(StoreView::position));
        let query = ExcerptQuery {
            since: since.filter(|_| !self.is_diverged()),
            internal: view.map_or_else(InternalDigest::default, |view| view.digest().internal),
            config: view.map_or(NO_CONFIG, |view| view.digest().config),
        };
        let peer = self.fetches.pick(peers, self.times.period, now)?;
        Some(ExcerptFetch { peer, query })
    }

    /// Records that a gateway that was asked has not answered.
    pub fn note_fetch_failure(&mut self, now: ClockTime) {
        self.note_asked(false, now);
        self.fetches.note_useless(self.times.period, now);
    }

    /// Applies another gateway's answer. Returns what it means for the view, and what was learned from it.
    pub fn apply_excerpt(
        &mut self,
        excerpt: &StoreExcerpt,
        now: ClockTime,
    ) -> (DeltaOutcome, Option<StoreKnowledge>) {
        let may_be_expired = self.is_after_gap(now - excerpt.delta.age());
        let (before, outcome) = if let Some(view) = &mut self.view {
            let before = view.changes();
            (before, view.apply_excerpt(excerpt, may_be_expired, now))
        } else if excerpt.is_whole {
            self.view = Some(StoreView::from_excerpt(excerpt, now));
            (0, DeltaOutcome::Partial)
        } else {
            (0, DeltaOutcome::Missed)
        };
        let is_current = outcome == DeltaOutcome::Current;
        self.note_asked(is_current, now);
        if is_current {
            let begun = now - excerpt.delta.age();
            self.schedule.note_peer_read(begun, self.times.period);
        }
        let knowledge = self.knowledge_from(outcome, &excerpt.delta, before, now);
        let is_helpful = excerpt.delta.age() <= self.times.period
            && !matches!(outcome, DeltaOutcome::Missed | DeltaOutcome::Diverged);
        if is_helpful {
            self.fetches.end_round(self.times.period, now);
        } else {
            self.fetches.note_useless(self.times.period, now);
        }
        let internal = excerpt.internal.clone().filter(|_| !outcome.is_ignored());
        let knowledge = knowledge.map(|knowledge| StoreKnowledge {
            internal,
            ..knowledge
        });
        (outcome, knowledge)
    }

    /// Returns what this gateway knows beyond another one's query, if it knows anything for certain.
    #[must_use]
    pub fn excerpt(&self, query: &ExcerptQuery, now: ClockTime) -> Option<StoreExcerpt> {
        self.view.as_ref()?.excerpt(query, now)
    }

    /// Returns what was learned from another gateway, if anything.
    fn knowledge_from(
        &mut self,
        outcome: DeltaOutcome,
        delta: &StoreDelta,
        before: u64,
        now: ClockTime,
    ) -> Option<StoreKnowledge> {
        self.read_when_grace_ends();
        let view = self.view.as_ref()?;
        let has_changed = view.changes() != before;
        let is_ignored = outcome.is_ignored();
        if is_ignored && !has_changed {
            return None;
        }
        Some(StoreKnowledge {
            source: KnowledgeSource::OtherGateway,
            age: now.since(view.known_at()),
            confirms_config: !is_ignored && view.has_config_of(&delta.digest),
            endpoints: has_changed.then(|| view.registered()),
            newly_kept: Vec::new(),
            era: view.position().era,
            internal: None,
            delta: None,
        })
    }
}
