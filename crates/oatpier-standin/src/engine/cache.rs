//! The bounded prefix cache of an engine, and the events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::CacheEvent;

/// Number of events that are kept for readers. Older ones are lost and become a gap.
const KEPT_EVENTS: usize = 4_096;

/// Blocks of prompts that an engine need not read again. The least recently used block is evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    lag: Duration,
    gap: u64,
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    last_event: u64,
    events: VecDeque<(ClockTime, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration, gap: u64) -> Self {
        Self {
            capacity,
            lag,
            gap,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            last_event: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns how many leading blocks of `prefix` are cached.
    pub(super) fn cached_blocks(&self, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|block| self.used.contains_key(*block))
            .count()
    }

    /// Inserts all blocks of a prompt, or marks them as used.
    pub(super) fn insert(&mut self, now: ClockTime, prefix: &[u64]) {
        for block in prefix.iter().take(self.capacity) {
            self.touch(now, *block);
        }
    }

    fn touch(&mut self, now: ClockTime, block: u64) {
        self.uses += 1;
        match self.used.insert(block, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.publish(now, block, true),
        }
        self.by_use.insert(self.uses, block);
        if self.used.len() > self.capacity {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: ClockTime) {
        if let Some((_, block)) = self.by_use.pop_first() {
            self.used.remove(&block);
            self.publish(now, block, false);
        }
    }

    fn publish(&mut self, now: ClockTime, block: u64, present: bool) {
        self.last_event += 1;
        let sequence = self.last_event;
        if self.gap != 0 && sequence.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            sequence,
            block,
            present,
        };
        self.events.push_back((now + self.lag, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number that are visible at `now`.
    pub(super) fn events(&self, now: ClockTime, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .take_while(|(visible, _)| *visible <= now)
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
