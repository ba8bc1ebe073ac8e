//! Decides when an entry reads or watches the store.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use rand_chacha::ChaCha8Rng;

use crate::backoff::{RetryBackoff, jittered};

/// The number of entries of an availability zone that watch the store.
pub const WATCHERS: usize = 3;

/// How long one watch waits. A broken watch is detected only after that time, and a change that it
/// missed must be in force everywhere within 5 s. On the other hand, each watch that ends costs the
/// store another call: with three watchers in each of 8 availability zones, 12 calls per second.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How long after its end a watch without an answer is abandoned.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// How much before its time a watch that saw no change may end.
const EARLY_END: Duration = Duration::from_millis(200);

/// How long to wait for the answer to a read before it is abandoned. Longer than for a watch, as a
/// slow store may take seconds; a late answer is still used.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The first reads after a start are spread over this time.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Bounds of the delay after failed calls. Only watchers and starting entries call the store, so
/// that even in an outage it gets no more than a few calls per second.
const RETRY_FIRST: Duration = Duration::from_millis(250);
const RETRY_LONGEST: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchState {
    Idle,
    Reading { since: ClockTime },
    Watching { since: ClockTime },
}

/// A call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchCall {
    Read,
    Watch(Revision),
}

/// The reads and watches of one entry.
#[derive(Debug, Clone)]
pub(super) struct StoreWatch {
    state: WatchState,
    after: Option<Revision>,
    next: ClockTime,
    backoff: RetryBackoff,
}

impl StoreWatch {
    pub(super) fn new(generator: &mut ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            state: WatchState::Idle,
            after: None,
            next: now + jittered(START_SPREAD, generator),
            backoff: RetryBackoff::new(RETRY_FIRST, RETRY_LONGEST),
        }
    }

    pub(super) fn next_wake(&self) -> ClockTime {
        match self.state {
            WatchState::Idle => self.next,
            WatchState::Reading { since } => since + READ_TIMEOUT,
            WatchState::Watching { since } => since + WATCH_WAIT + WATCH_GRACE,
        }
    }

    /// Returns the call that is due. A watcher always makes calls, another entry only until it has
    /// a configuration.
    pub(super) fn due(
        &mut self,
        is_watcher: bool,
        is_starting: bool,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) -> Option<WatchCall> {
        self.abandon_overdue(generator, now);
        if self.state != WatchState::Idle || now < self.next {
            return None;
        }
        if !is_watcher && !is_starting {
            // The known revision becomes outdated, so this entry reads first if it is to watch
            // again.
            self.after = None;
            self.next = now + RETRY_LONGEST;
            return None;
        }
        match self.after {
            Some(after) if is_watcher => {
                self.state = WatchState::Watching { since: now };
                Some(WatchCall::Watch(after))
            }
            _ => {
                self.state = WatchState::Reading { since: now };
                Some(WatchCall::Read)
            }
        }
    }

    /// Handles the answer to a call; `revision` is the revision it saw, if there was a value.
    ///
    /// The answer to an abandoned call may arrive while another call is open. It must not start a
    /// call: otherwise each such answer would leave one more watch open, forever once the store has
    /// been slow.
    pub(super) fn answered(&mut self, revision: Option<Revision>, now: ClockTime) {
        if self.is_late(revision, now) {
            return;
        }
        self.state = WatchState::Idle;
        self.backoff.record_success();
        self.after = Some(revision.or(self.after).unwrap_or_default());
        self.next = now;
    }

    pub(super) fn failed(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        if self.state == WatchState::Idle {
            return;
        }
        self.state = WatchState::Idle;
        self.next = self.backoff.record_failure(now, generator);
    }

    /// Whether an answer can't belong to the open call: no call is open, a watch would have had to
    /// wait longer to report no change, or the value is not later than the one that the watch waits
    /// to see replaced.
    fn is_late(&self, revision: Option<Revision>, now: ClockTime) -> bool {
        match (self.state, revision) {
            (WatchState::Idle, _) => true,
            (WatchState::Reading { .. }, _) => false,
            (WatchState::Watching { since }, None) => now.since(since) + EARLY_END < WATCH_WAIT,
            (WatchState::Watching { .. }, Some(seen)) => {
                self.after.is_some_and(|after| seen <= after)
            }
        }
    }

    /// Abandons a call that is overdue. A watch whose connection broke silently would otherwise
    /// leave this entry without changes forever. The next call is a read, as the cause may break
    /// the next watch too.
    fn abandon_overdue(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        if self.state != WatchState::Idle && now >= self.next_wake() {
            self.failed(generator, now);
            self.after = None;
        }
    }
}
