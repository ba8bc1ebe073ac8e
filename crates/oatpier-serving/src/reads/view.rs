//! The store as a gateway knows it.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::delta::{RemovedEndpoint, StoreDelta, StorePosition};
use super::digest::{ContentsDigest, InternalContents, InternalDigest};
use super::fetch::{ExcerptQuery, StoreExcerpt};
use super::rows::RegistryRows;
use crate::directory::EndpointRecord;

/// Maximum number of changes in one message, so that it fits into one packet. A receiver that misses more
/// than these asks the sender for them.
const MAX_CHANGES: usize = 6;

/// Time for which a change is repeated in messages. A receiver that loses some messages in a row still gets
/// it from the next one.
const REPEAT_SPAN: Duration = Duration::from_secs(4);

/// Time after the store's return within which a running endpoint has written its entry again. The platform
/// guarantees about two seconds.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Digest of the configuration while there is none.
pub const NO_CONFIG: u64 = 0;

/// The contents of the store as one read has shown them.
#[derive(Debug, Clone)]
pub struct StoreContents {
    /// When the read began.
    pub begun: ClockTime,
    /// The position that the read reflects at least: that of its first page.
    pub position: StorePosition,
    /// The position after which no change can be in it: that of its last page.
    pub last_position: StorePosition,
    /// Digest of the configuration.
    pub config: u64,
    /// The entries that gateways wrote.
    pub internal: InternalContents,
    /// The registered endpoints.
    pub endpoints: Vec<EndpointRecord>,
}

/// The endpoints of the registry.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RegisteredEndpoints {
    /// The endpoints that the store lists.
    pub listed: Vec<EndpointRecord>,
    /// Endpoints that the store has ceased to list, and that may be about to register again after an outage.
    /// They are not added where they are not known.
    pub kept: Vec<EndpointName>,
    /// Whether entries of running endpoints may be missing, because they expired in an outage that has just ended.
    pub is_settling: bool,
}

impl From<Vec<EndpointRecord>> for RegisteredEndpoints {
    fn from(listed: Vec<EndpointRecord>) -> Self {
        Self {
            listed,
            kept: Vec::new(),
            is_settling: false,
        }
    }
}

/// What a message of another gateway means for the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// The view holds the same contents as the sender's, so that a read would show nothing new.
    Current,
    /// The registry is up to date. The configuration, or entries that gateways wrote, differ.
    Partial,
    /// The message describes an earlier state than the view and is ignored.
    Older,
    /// Changes between the view and those of the message are missing, so it is ignored.
    Missed,
    /// The registry differs from the sender's although no changes seem to be missing: the sender has never
    /// seen an endpoint that came and went between two of its reads.
    Diverged,
}

impl DeltaOutcome {
    /// Returns the outcome's label in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Partial => "partial",
            Self::Older => "older",
            Self::Missed => "missed",
            Self::Diverged => "diverged",
        }
    }

    /// Returns whether the message was ignored.
    #[must_use]
    pub fn is_ignored(self) -> bool {
        matches!(self, Self::Older | Self::Missed)
    }
}

/// A position that the view had at a time.
#[derive(Debug, Clone, Copy)]
struct PassedPosition {
    at: ClockTime,
    position: StorePosition,
}

/// A gateway's view of the store.
#[derive(Debug, Clone)]
pub struct StoreView {
    position: StorePosition,
    /// When the view took its position.
    moved_at: ClockTime,
    /// When the read began that last confirmed the contents.
    known_at: ClockTime,
    rows: RegistryRows,
    /// Since when the store is known without a gap in which entries of running endpoints could expire.
    continuous_since: ClockTime,
    /// Until when rows are kept that the store does not list.
    keep_until: ClockTime,
    /// Whether the rows differ from the store's in more than later changes.
    is_diverged: bool,
    /// Positions within [`REPEAT_SPAN`], and the last one before it.
    passed: VecDeque<PassedPosition>,
    config: u64,
    internal: InternalContents,
    internal_digest: InternalDigest,
}

impl StoreView {
    /// Creates a view from the first read.
    #[must_use]
    pub fn new(contents: StoreContents, now: ClockTime) -> Self {
        let mut view = Self {
            position: contents.position,
            moved_at: now,
            known_at: contents.begun,
            rows: RegistryRows::new(contents.last_position),
            continuous_since: contents.begun,
            keep_until: ClockTime::ZERO,
            is_diverged: false,
            passed: VecDeque::new(),
            config: contents.config,
            internal: InternalContents::default(),
            internal_digest: InternalDigest::default(),
        };
        view.apply_contents(contents, false, now);
        view
    }

    /// Creates a view from the whole registry as another gateway knows it.
    #[must_use]
    pub fn from_excerpt(excerpt: &StoreExcerpt, now: ClockTime) -> Self {
        let delta = &excerpt.delta;
        let contents = StoreContents {
            begun: now - delta.age(),
            position: delta.position,
            last_position: delta.position,
            config: NO_CONFIG,
            internal: excerpt.internal.clone().unwrap_or_default(),
            endpoints: delta.changed.clone(),
        };
        Self::new(contents, now)
    }

    /// Returns the position of the contents.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns whether the store held a configuration when this gateway last read it.
    #[must_use]
    pub fn has_config(&self) -> bool {
        self.config != NO_CONFIG
    }

    /// Returns whether this gateway has read the configuration that the sender of a message knows.
    #[must_use]
    pub fn has_config_of(&self, sent: &ContentsDigest) -> bool {
        self.has_config() && self.config == sent.config
    }

    /// Returns when the read began that last confirmed the contents.
    #[must_use]
    pub fn known_at(&self) -> ClockTime {
        self.known_at
    }

    /// Returns the number of changes of its endpoints so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.rows.changes()
    }

    /// Returns the endpoints that the store does not list and that may be about to register again.
    pub fn kept(&self) -> impl Iterator<Item = &EndpointName> {
        self.rows.kept()
    }

    /// Returns whether there are such endpoints.
    #[must_use]
    pub fn is_keeping(&self) -> bool {
        self.kept().next().is_some()
    }

    /// Returns until when endpoints are kept that the store does not list, if there are any.
    #[must_use]
    pub fn keep_until(&self) -> Option<ClockTime> {
        self.is_keeping().then_some(self.keep_until)
    }

    /// Returns the registered endpoints.
    pub fn listed(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.rows.listed()
    }

    /// Returns the registered endpoints, and those that are kept.
    #[must_use]
    pub fn registered(&self) -> RegisteredEndpoints {
        RegisteredEndpoints {
            listed: self.listed().cloned().collect(),
            kept: self.kept().cloned().collect(),
            is_settling: self.known_at < self.keep_until,
        }
    }

    /// Returns the entries that gateways wrote.
    #[must_use]
    pub fn internal(&self) -> &InternalContents {
        &self.internal
    }

    /// Returns whether the endpoints differ from the store's so that changes can't make them right.
    #[must_use]
    pub fn is_diverged(&self) -> bool {
        self.is_diverged
    }

    /// Returns the digest of the contents.
    #[must_use]
    pub fn digest(&self) -> ContentsDigest {
        ContentsDigest {
            config: self.config,
            registry: self.rows.digest(),
            internal: self.internal_digest,
        }
    }

    /// Applies the contents of a later read. Returns whether they were applied: while the read was in
    /// progress, a message may have shown later contents.
    ///
    /// `may_be_expired` tells that entries of running endpoints may have expired in an outage of the store
    /// that has just ended. Entries written since a restored copy was made are missing likewise. Endpoints
    /// that become missing are then kept for a grace period.
    pub fn apply_contents(
        &mut self,
        contents: StoreContents,
        may_be_expired: bool,
        now: ClockTime,
    ) -> bool {
        let is_earlier = contents.position < self.position;
        // A position that was known before the read began can't be later than what the read shows. If it
        // is, it was wrong, and the store counts.
        if is_earlier && contents.begun <= self.moved_at {
            return false;
        }
        let begun = contents.begun;
        let changed_at = contents.last_position;
        if is_earlier {
            self.forget_history(changed_at);
        }
        if may_be_expired || changed_at.era != self.position.era {
            self.note_gap(begun);
        }
        self.replace_rows(&contents.endpoints, changed_at, begun);
        self.config = contents.config;
        self.set_internal(contents.internal);
        self.move_to(contents.position, now);
        self.known_at = self.known_at.max(begun);
        true
    }

    /// Takes over the whole registry that a read has shown which began at `begun`.
    fn replace_rows(
        &mut self,
        endpoints: &[EndpointRecord],
        changed_at: StorePosition,
        begun: ClockTime,
    ) {
        if changed_at.era != self.position.era {
            self.forget_history(changed_at);
        }
        for name in self.rows.names_without(endpoints) {
            self.note_missing(&name, changed_at, begun);
        }
        for record in endpoints {
            self.rows.insert(record.clone(), changed_at);
        }
        self.is_diverged = false;
    }

    /// Records that the store is known without a gap only since `returned_at`. Running endpoints whose
    /// entries had expired have registered again some time after that.
    fn note_gap(&mut self, returned_at: ClockTime) {
        self.continuous_since = returned_at;
        self.keep_until = returned_at + RETURN_GRACE;
    }

    fn forget_history(&mut self, start: StorePosition) {
        self.rows.forget_history(start);
        self.passed.clear();
    }

    fn set_internal(&mut self, internal: InternalContents) {
        self.internal_digest = InternalDigest::of(&internal);
        self.internal = internal;
    }

    /// Applies another gateway's message. The result is checked against the sender's digest.
    ///
    /// `may_be_expired` is as for [`Self::apply_contents`].
    pub fn apply_delta(
        &mut self,
        delta: &StoreDelta,
        may_be_expired: bool,
        now: ClockTime,
    ) -> DeltaOutcome {
        self.remove_confirmed(&delta.removed);
        if delta.position < self.position {
            return DeltaOutcome::Older;
        }
        if delta.position > self.position {
            if delta.since.era != self.position.era || delta.since > self.position {
                return DeltaOutcome::Missed;
            }
            if may_be_expired {
                self.note_gap(now - delta.continuous());
            }
            self.apply_changes(delta, now - delta.age());
            self.move_to(delta.position, now);
        }
        self.confirm(delta, now)
    }

    /// Applies what another gateway has answered. `may_be_expired` is as for [`Self::apply_contents`].
    pub fn apply_excerpt(
        &mut self,
        excerpt: &StoreExcerpt,
        may_be_expired: bool,
        now: ClockTime,
    ) -> DeltaOutcome {
        let delta = &excerpt.delta;
        let is_later = delta.position > self.position;
        let is_needed = is_later || (self.is_diverged && delta.position == self.position);
        let outcome = if excerpt.is_whole && is_needed {
            self.apply_whole(delta, may_be_expired, now);
            self.confirm(delta, now)
        } else {
            self.apply_delta(delta, may_be_expired, now)
        };
        if outcome.is_ignored() {
            return outcome;
        }
        if let Some(internal) = &excerpt.internal {
            self.set_internal(internal.clone());
        }
        if excerpt.config.is_some() {
            self.config = delta.digest.config;
        }
        self.compare(&delta.digest)
    }

    fn apply_whole(&mut self, delta: &StoreDelta, may_be_expired: bool, now: ClockTime) {
        if may_be_expired || delta.position.era != self.position.era {
            self.note_gap(now - delta.continuous());
        }
        self.replace_rows(&delta.changed, delta.position, now - delta.age());
        self.remove_confirmed(&delta.removed);
        self.move_to(delta.position, now);
    }

    /// Records that the contents are those of the sender of a message.
    fn confirm(&mut self, delta: &StoreDelta, now: ClockTime) -> DeltaOutcome {
        let outcome = self.compare(&delta.digest);
        self.is_diverged = outcome == DeltaOutcome::Diverged;
        if !self.is_diverged {
            self.note_returned(now - delta.continuous());
            self.note_known(now - delta.age());
        }
        outcome
    }

    /// Records since when another gateway has known the store without a gap. If that is longer than here, this
    /// gateway has taken a separation of its own for an outage.
    fn note_returned(&mut self, at: ClockTime) {
        if at < self.continuous_since {
            self.note_gap(at);
        }
    }

    /// Applies the changes that a read has shown which began at `begun`.
    fn apply_changes(&mut self, delta: &StoreDelta, begun: ClockTime) {
        for gone in &delta.removed {
            if self.rows.holds(gone) {
                self.rows.remove(&gone.name, delta.position);
            }
        }
        for missing in &delta.kept {
            if self.rows.holds(missing) {
                self.note_missing(&missing.name, delta.position, begun);
            }
        }
        for record in &delta.changed {
            self.rows.insert(record.clone(), delta.position);
        }
    }

    /// Records that a read that began at `begun` does not list an endpoint.
    fn note_missing(&mut self, name: &EndpointName, at: StorePosition, begun: ClockTime) {
        if begun < self.keep_until {
            self.rows.keep(name, at);
        } else {
            self.rows.remove(name, at);
        }
    }

    /// Removes kept endpoints that another gateway has found removed.
    fn remove_confirmed(&mut self, removed: &[RemovedEndpoint]) {
        for gone in removed {
            if self.rows.keeps(&gone.name) && self.rows.holds(gone) {
                self.rows.remove(&gone.name, self.position);
            }
        }
    }

    fn note_known(&mut self, at: ClockTime) {
        self.known_at = self.known_at.max(at);
        // An endpoint that had registered again would be among the changes.
        if self.known_at >= self.keep_until {
            self.remove_kept();
        }
    }

    fn remove_kept(&mut self) {
        let kept: Vec<EndpointName> = self.kept().cloned().collect();
        for name in kept {
            self.rows.remove(&name, self.position);
        }
    }

    fn compare(&self, sent: &ContentsDigest) -> DeltaOutcome {
        let own = self.digest();
        if own == *sent {
            DeltaOutcome::Current
        } else if own.registry == sent.registry {
            DeltaOutcome::Partial
        } else {
            DeltaOutcome::Diverged
        }
    }

    fn move_to(&mut self, position: StorePosition, now: ClockTime) {
        self.position = position;
        self.moved_at = now;
        self.passed.push_back(PassedPosition { at: now, position });
        let is_old = |passed: &PassedPosition| now.since(passed.at) >= REPEAT_SPAN;
        while self.passed.get(1).is_some_and(is_old) {
            self.passed.pop_front();
        }
    }

    /// Returns the message to other gateways after a read: the changes of the last seconds.
    #[must_use]
    pub fn recent_delta(&self, now: ClockTime) -> StoreDelta {
        let oldest = self.passed.front().map(|passed| passed.position);
        let oldest = oldest
            .unwrap_or(self.position)
            .max(self.rows.history_start());
        let positions = self.rows.change_positions();
        let mut recent: Vec<StorePosition> = positions.filter(|at| *at > oldest).collect();
        recent.sort_unstable_by(|one, other| other.cmp(one));
        let since = recent.get(MAX_CHANGES).copied().unwrap_or(oldest);
        let mut delta = self.delta_since(since, now);
        if delta.kept.len() > MAX_CHANGES {
            delta.kept.clear();
        }
        delta
    }

    /// Returns what this gateway knows beyond a query, but for the configuration, unless its own view is not right.
    #[must_use]
    pub fn excerpt(&self, query: &ExcerptQuery, now: ClockTime) -> Option<StoreExcerpt> {
        if self.is_diverged {
            return None;
        }
        let is_known = |since: &StorePosition| {
            since.era == self.position.era && *since >= self.rows.history_start()
        };
        let since = query.since.filter(is_known);
        let is_equal = query.internal == self.internal_digest;
        Some(StoreExcerpt {
            delta: self.delta_since(since.unwrap_or_default(), now),
            is_whole: since.is_none(),
            internal: (!is_equal).then(|| self.internal.clone()),
            config: None,
        })
    }

    fn delta_since(&self, since: StorePosition, now: ClockTime) -> StoreDelta {
        StoreDelta {
            since,
            position: self.position,
            age_ms: whole_millis(now.since(self.known_at)),
            continuous_ms: whole_millis(now.since(self.continuous_since)),
            digest: self.digest(),
            changed: self.rows.changed_since(since),
            removed: self.rows.removed_since(since),
            kept: self.rows.kept_incarnations(),
        }
    }
}

fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
