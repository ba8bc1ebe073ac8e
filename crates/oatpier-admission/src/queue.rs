//! Which waiting attempt goes to the endpoint next.
//!
//! Between classes, need decides, and the earlier deadline between classes in like need. Inside a
//! class, callers share by start-time fair queueing, in rounds: a caller gets [`ROUND_SIZE`]
//! attempts a round, and inside a round the earliest deadline goes first. So a caller that floods
//! delays itself, and callers within their share are served by deadline alone.

use std::collections::{BTreeMap, HashMap};

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::{CallerName, ClassName};
use oatpier_types::request::AttemptSpec;

/// Attempts of one caller in one round.
pub const ROUND_SIZE: u64 = 8;

/// An attempt that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingAttempt {
    /// What it asks for.
    pub spec: AttemptSpec,
    /// When its first token or whole answer is due.
    pub deadline: ClockTime,
}

/// What became of an attempt that came to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueuePlacement {
    /// It waits.
    Placed,
    /// It waits, in the place of this one.
    Displaced(WaitingAttempt),
    /// The queue is at its bound, and all in it go before this one.
    Full,
}

/// The need of each class, as the queue asks for it.
pub type NeedLookup<'a> = &'a dyn Fn(&ClassName) -> u32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    round: u64,
    deadline: ClockTime,
    sequence: u64,
}

#[derive(Debug, Default)]
struct ClassLane {
    waiting: BTreeMap<QueueKey, (WaitingAttempt, u64)>,
    /// Start tag of the newest attempt that was taken: the lane's virtual time.
    virtual_time: u64,
    /// Where the next attempt of a caller starts; only for callers ahead of the virtual time.
    next_starts: HashMap<CallerName, u64>,
}

impl ClassLane {
    fn start_of(&self, caller: &CallerName) -> u64 {
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

    /// Removes without service: the caller gets its turn back.
    fn withdraw(&mut self, key: &QueueKey) -> Option<WaitingAttempt> {
        let (waiting, _) = self.waiting.remove(key)?;
        if let Some(next) = self.next_starts.get_mut(&waiting.spec.caller) {
            *next = next.saturating_sub(1);
        }
        Some(waiting)
    }
}

/// Which waiting attempt goes to the endpoint next.
#[derive(Debug)]
pub struct AdmissionQueue {
    lanes: IndexMap<ClassName, ClassLane>,
    places: HashMap<AttemptId, (ClassName, QueueKey)>,
    bound: usize,
    sequence: u64,
}

impl AdmissionQueue {
    /// An empty queue for at most `bound` attempts.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self {
            lanes: IndexMap::new(),
            places: HashMap::new(),
            bound,
            sequence: 0,
        }
    }

    /// Changes the bound. What waits beyond a lower one stays until it is served or displaced.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// The attempts that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// All attempts that wait, in no order of service.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingAttempt> {
        self.lanes
            .values()
            .flat_map(|lane| lane.waiting.values().map(|(waiting, _)| waiting))
    }

    /// How many would go before this attempt if it came now.
    #[must_use]
    pub fn ahead_of(&self, waiting: &WaitingAttempt, need: NeedLookup<'_>) -> usize {
        let class = &waiting.spec.class;
        let own_need = need(class);
        let key = self.key_of(waiting).0;
        self.lanes
            .iter()
            .map(|(name, lane)| {
                let lane_need = need(name);
                if name == class {
                    lane.waiting.range(..key).count()
                } else if lane_need == own_need {
                    earlier(lane, waiting.deadline)
                } else if lane_need > own_need {
                    lane.waiting.len()
                } else {
                    0
                }
            })
            .sum()
    }

    /// Adds an attempt. At the bound, the one that would be served last gives way, if it comes
    /// after this one: a caller that filled the queue must not keep out the others.
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

    /// Takes the attempt that goes next among those that `runnable` allows.
    pub fn pop(
        &mut self,
        need: NeedLookup<'_>,
        runnable: &dyn Fn(&AttemptSpec) -> bool,
    ) -> Option<WaitingAttempt> {
        let (class, key) = self
            .lanes
            .iter()
            .filter_map(|(name, lane)| {
                let (key, _) = lane
                    .waiting
                    .iter()
                    .find(|(_, (waiting, _))| runnable(&waiting.spec))?;
                Some((name, *key))
            })
            .min_by_key(|(name, key)| (u32::MAX - need(name), key.deadline, key.sequence))
            .map(|(name, key)| (name.clone(), key))?;
        let waiting = self.lanes.get_mut(&class)?.take(&key)?;
        self.places.remove(&waiting.spec.attempt);
        Some(waiting)
    }

    /// Takes out an attempt that is given up.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<WaitingAttempt> {
        let (class, key) = self.places.get(&attempt).cloned()?;
        self.withdraw_at(&class, &key)
    }

    fn key_of(&self, waiting: &WaitingAttempt) -> (QueueKey, u64) {
        let lane = self.lanes.get(&waiting.spec.class);
        let start = lane.map_or(0, |lane| lane.start_of(&waiting.spec.caller));
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
        self.lanes
            .entry(class)
            .or_default()
            .put(key, start, waiting);
    }

    fn withdraw_at(&mut self, class: &ClassName, key: &QueueKey) -> Option<WaitingAttempt> {
        let waiting = self.lanes.get_mut(class)?.withdraw(key)?;
        self.places.remove(&waiting.spec.attempt);
        Some(waiting)
    }

    /// The attempt that would be served last: of the least need, then the latest.
    fn last(&self, need: NeedLookup<'_>) -> Option<(ClassName, QueueKey)> {
        self.lanes
            .iter()
            .filter_map(|(name, lane)| Some((name, *lane.waiting.last_key_value()?.0)))
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

fn earlier(lane: &ClassLane, deadline: ClockTime) -> usize {
    lane.waiting
        .keys()
        .filter(|key| key.deadline <= deadline)
        .count()
}
