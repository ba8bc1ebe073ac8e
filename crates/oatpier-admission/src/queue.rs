//! Order in which waiting attempts are sent to the endpoint.
//!
//! Classes are ordered by need; classes of equal need are ordered by earliest deadline. Inside a
//! class, callers share by start-time fair queueing in rounds. A caller gets [`ROUND_SIZE`]
//! attempts per round, and inside a round the earliest deadline goes first. A caller that sends too
//! much therefore delays only itself, and callers within their share are ordered by deadline alone.

use std::collections::{BTreeMap, HashMap};

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::{CallerName, ClassName};
use oatpier_types::request::AttemptSpec;

/// Attempts per caller and round.
pub const ROUND_SIZE: u64 = 8;

/// An attempt that waits for a slot at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingAttempt {
    /// The attempt as the entry sent it.
    pub spec: AttemptSpec,
    /// Deadline of the first token or the whole answer, depending on the class.
    pub deadline: ClockTime,
}

/// Result of adding an attempt to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueuePlacement {
    /// The attempt was added.
    Placed,
    /// The attempt was added and displaced this one.
    Displaced(WaitingAttempt),
    /// The attempt was not added: the queue is full and all its attempts go first.
    Full,
}

/// A function that returns the need of a class.
pub type NeedLookup<'a> = &'a dyn Fn(&ClassName) -> u32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    round: u64,
    deadline: ClockTime,
    sequence: u64,
}

#[derive(Debug, Default)]
struct ClassQueue {
    waiting: BTreeMap<QueueKey, (WaitingAttempt, u64)>,
    /// Start tag of the newest attempt that was taken: the virtual time of fair queueing.
    virtual_time: u64,
    /// Start tag of each caller's next attempt. Holds only callers ahead of the virtual time.
    next_starts: HashMap<CallerName, u64>,
}

impl ClassQueue {
    fn next_start(&self, caller: &CallerName) -> u64 {
        let next = self.next_starts.get(caller).copied();
        next.unwrap_or(0).max(self.virtual_time)
    }

    fn put(&mut self, key: QueueKey, start: u64, waiting: WaitingAttempt) {
        self.next_starts
            .insert(waiting.spec.caller.clone(), start + 1);
        self.waiting.insert(key, (waiting, start));
    }

    fn take(&mut self, key: &QueueKey) -> Option<WaitingAttempt> {
        let (waiting, start) = self.waiting.remove(key)?;
        if start > self.virtual_time {
            self.virtual_time = start;
            self.next_starts.retain(|_, next| *next > start);
        }
        Some(waiting)
    }

    /// Removes an attempt that was not served, and returns its share to the caller.
    fn withdraw(&mut self, key: &QueueKey) -> Option<WaitingAttempt> {
        let (waiting, _) = self.waiting.remove(key)?;
        if let Some(next) = self.next_starts.get_mut(&waiting.spec.caller) {
            *next = next.saturating_sub(1);
        }
        Some(waiting)
    }
}

/// The waiting attempts, in the order in which they are sent to the endpoint.
#[derive(Debug)]
pub struct AdmissionQueue {
    class_queues: IndexMap<ClassName, ClassQueue>,
    places: HashMap<AttemptId, (ClassName, QueueKey)>,
    bound: usize,
    sequence: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue for at most `bound` attempts.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self {
            class_queues: IndexMap::new(),
            places: HashMap::new(),
            bound,
            sequence: 0,
        }
    }

    /// Changes the bound. Attempts beyond a lower bound stay until they are served or displaced.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Returns the number of waiting attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no attempt waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns all waiting attempts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingAttempt> {
        self.class_queues
            .values()
            .flat_map(|class_queue| class_queue.waiting.values().map(|(waiting, _)| waiting))
    }

    /// Returns how many attempts would be served before this one if it arrived now.
    #[must_use]
    pub fn ahead_of(&self, waiting: &WaitingAttempt, need: NeedLookup<'_>) -> usize {
        let class = &waiting.spec.class;
        let own_need = need(class);
        let key = self.key_of(waiting).0;
        self.class_queues
            .iter()
            .map(|(name, class_queue)| {
                let class_need = need(name);
                if name == class {
                    class_queue.waiting.range(..key).count()
                } else if class_need == own_need {
                    count_earlier(class_queue, waiting.deadline)
                } else if class_need > own_need {
                    class_queue.waiting.len()
                } else {
                    0
                }
            })
            .sum()
    }

    /// Adds an attempt. If the queue is full, the attempt that would be served last is displaced,
    /// provided that it comes after the new one. Otherwise a caller that filled the queue could
    /// lock out all others.
    pub fn push(&mut self, waiting: WaitingAttempt, need: NeedLookup<'_>) -> QueuePlacement {
        if self.len() < self.bound {
            self.place(waiting);
            return QueuePlacement::Placed;
        }
        let Some((class, last)) = self.last(need) else {
            return QueuePlacement::Full;
        };
        if !self.goes_before(&waiting, &class, last, need) {
            return QueuePlacement::Full;
        }
        let displaced = self.withdraw_at(&class, &last);
        self.place(waiting);
        displaced.map_or(QueuePlacement::Placed, QueuePlacement::Displaced)
    }

    /// Removes and returns the next attempt among those for which `runnable` is true.
    pub fn pop(
        &mut self,
        need: NeedLookup<'_>,
        runnable: &dyn Fn(&AttemptSpec) -> bool,
    ) -> Option<WaitingAttempt> {
        let (class, key) = self
            .class_queues
            .iter()
            .filter_map(|(name, class_queue)| {
                let (key, _) = class_queue
                    .waiting
                    .iter()
                    .find(|(_, (waiting, _))| runnable(&waiting.spec))?;
                Some((name, *key))
            })
            .min_by_key(|(name, key)| (u32::MAX - need(name), key.deadline, key.sequence))
            .map(|(name, key)| (name.clone(), key))?;
        let waiting = self.class_queues.get_mut(&class)?.take(&key)?;
        self.places.remove(&waiting.spec.attempt);
        Some(waiting)
    }

    /// Removes an attempt that was cancelled or refused.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<WaitingAttempt> {
        let (class, key) = self.places.get(&attempt).cloned()?;
        self.withdraw_at(&class, &key)
    }

    fn key_of(&self, waiting: &WaitingAttempt) -> (QueueKey, u64) {
        let class_queue = self.class_queues.get(&waiting.spec.class);
        let start = class_queue.map_or(0, |class_queue| {
            class_queue.next_start(&waiting.spec.caller)
        });
        let key = QueueKey {
            round: start / ROUND_SIZE,
            deadline: waiting.deadline,
            sequence: self.sequence,
        };
        (key, start)
    }

    fn place(&mut self, waiting: WaitingAttempt) {
        let (key, start) = self.key_of(&waiting);
        self.sequence += 1;
        let class = waiting.spec.class.clone();
        self.places
            .insert(waiting.spec.attempt, (class.clone(), key));
        self.class_queues
            .entry(class)
            .or_default()
            .put(key, start, waiting);
    }

    fn withdraw_at(&mut self, class: &ClassName, key: &QueueKey) -> Option<WaitingAttempt> {
        let waiting = self.class_queues.get_mut(class)?.withdraw(key)?;
        self.places.remove(&waiting.spec.attempt);
        Some(waiting)
    }

    /// Returns the attempt that would be served last: lowest need, then latest deadline.
    fn last(&self, need: NeedLookup<'_>) -> Option<(ClassName, QueueKey)> {
        self.class_queues
            .iter()
            .filter_map(|(name, class_queue)| {
                Some((name, *class_queue.waiting.last_key_value()?.0))
            })
            .max_by_key(|(name, key)| (u32::MAX - need(name), key.deadline, key.sequence))
            .map(|(name, key)| (name.clone(), key))
    }

    fn goes_before(
        &self,
        waiting: &WaitingAttempt,
        class: &ClassName,
        last: QueueKey,
        need: NeedLookup<'_>,
    ) -> bool {
        if waiting.spec.class == *class {
            return self.key_of(waiting).0 < last;
        }
        let own_need = need(&waiting.spec.class);
        let last_need = need(class);
        own_need > last_need || (own_need == last_need && waiting.deadline < last.deadline)
    }
}

fn count_earlier(class_queue: &ClassQueue, deadline: ClockTime) -> usize {
    class_queue
        .waiting
        .keys()
        .filter(|key| key.deadline <= deadline)
        .count()
}
