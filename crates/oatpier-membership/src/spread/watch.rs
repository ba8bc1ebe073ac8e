//! When an entry reads or watches the store.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use rand_chacha::ChaCha8Rng;

use crate::backoff::{RetryBackoff, jittered};

/// Entries of an availability zone that watch the store.
pub const WATCHERS: usize = 3;

/// How long one watch waits. A silent one is found out only after its end, and a change that it
/// missed must be in force everywhere within 5 s. One that ends costs the store another call:
/// at three watchers in each of 8 availability zones, 12 calls a second.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);

/// A watch that gave no sign for this long after its end is given up.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// A watch that saw no change may end so much before its time.
const EARLY_END: Duration = Duration::from_millis(200);

/// A read that gave no sign for this long is given up. Longer, as a slow store may take seconds;
/// what it says later is still taken.
const READ_WITHIN: Duration = Duration::from_secs(5);

/// The first reads after a start are spread over this time.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Waits after failed calls. Only watchers and starting entries call, so that even in an outage
/// the store gets no more than a few calls a second.
const RETRY_FIRST: Duration = Duration::from_millis(250);
const RETRY_LONGEST: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchState {
    Idle,
    Reading { since: ClockTime },
    Watching { since: ClockTime },
}

/// A call to make.
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
            WatchState::Reading { since } => since + READ_WITHIN,
            WatchState::Watching { since } => since + WATCH_WAIT + WATCH_GRACE,
        }
    }

    /// The call that is due, if this entry is to make one: a watcher always, another only until
    /// it has a configuration.
    pub(super) fn due(
        &mut self,
        watcher: bool,
        starting: bool,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) -> Option<WatchCall> {
        self.give_up_late(generator, now);
        if self.state != WatchState::Idle || now < self.next {
            return None;
        }
        if !watcher && !starting {
            // What it knows of the store grows old: it reads first if it is to watch again.
            self.after = None;
            self.next = now + RETRY_LONGEST;
            return None;
        }
        match self.after {
            Some(after) if watcher => {
                self.state = WatchState::Watching { since: now };
                Some(WatchCall::Watch(after))
            }
            _ => {
                self.state = WatchState::Reading { since: now };
                Some(WatchCall::Read)
            }
        }
    }

    /// A call was answered; `revision` is what it saw, if there was a value.
    ///
    /// The answer to a call that was given up may come while another is open. It starts no call:
    /// otherwise each such answer would leave one more watch open, after a slow store for ever.
    pub(super) fn answered(&mut self, revision: Option<Revision>, now: ClockTime) {
        if self.is_late(revision, now) {
            return;
        }
        self.state = WatchState::Idle;
        self.backoff.succeeded();
        self.after = Some(revision.or(self.after).unwrap_or_default());
        self.next = now;
    }

    pub(super) fn failed(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        if self.state == WatchState::Idle {
            return;
        }
        self.state = WatchState::Idle;
        self.next = self.backoff.failed(now, generator);
    }

    /// Whether an answer can't be that of the open call: none is open, a watch would have had to
    /// wait longer for no change, or the value is no later than what the watch was to wait for.
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

    /// A watch whose connection broke without a word would leave this entry without news for
    /// ever. The next call is a read: what breaks one watch may break the next.
    fn give_up_late(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        if self.state != WatchState::Idle && now >= self.next_wake() {
            self.failed(generator, now);
            self.after = None;
        }
    }
}
