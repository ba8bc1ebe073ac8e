//! Index of the endpoints that are expected to have a prompt's prefix cached.
//!
//! Blocks are recorded when this entry sends a prompt, and corrected by cache events, which arrive
//! late and with gaps. Memory is bounded: a set-associative table in which the oldest slot of a set
//! is replaced. A wrong expectation costs prefill time, never a wrong answer.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::CacheEvent;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::index::EndpointIndex;
use crate::units::{micros, scale};

/// Settings of a [`PrefixIndex`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PrefixSettings {
    /// Number of blocks in the table; rounded up to a power of two.
    pub blocks: usize,
    /// Tokens in a block; must match how the prefix hashes are made.
    pub block_tokens: u32,
    /// Age at which the confidence in a recorded block has halved.
    #[serde(with = "humantime_serde")]
    pub half_life: Duration,
    /// Upper bound on the delay of cache events. A removal does not undo a block that was recorded
    /// within this time.
    #[serde(with = "humantime_serde")]
    pub event_lag: Duration,
}

impl Default for PrefixSettings {
    fn default() -> Self {
        Self {
            blocks: 1 << 16,
            block_tokens: 64,
            half_life: Duration::from_mins(2),
            event_lag: Duration::from_secs(2),
        }
    }
}

/// Number of slots in a set.
const WAYS: usize = 4;

/// Upper bound on the blocks of a prompt that are looked up. Of a longer prompt, evenly spaced
/// blocks are used.
const MAX_LOOKUP_BLOCKS: usize = 16;

/// Upper bound on the blocks of a prompt that are recorded, from its start.
const MAX_RECORDED_BLOCKS: usize = 128;

/// Fixed-point representation of full confidence.
const FULL_CONFIDENCE: u64 = 1_000;

/// A sequence number this far below the expected one indicates a restarted engine.
const RESTART_SEQUENCE_GAP: u64 = 64;

#[derive(Debug, Clone, Copy)]
struct BlockSlot {
    block: u64,
    endpoint: EndpointIndex,
    recorded_at: ClockTime,
}

const EMPTY_SLOT: BlockSlot = BlockSlot {
    block: 0,
    endpoint: EndpointIndex(u32::MAX),
    recorded_at: ClockTime::ZERO,
};

/// Position in an endpoint's event stream, and the confidence in its recorded blocks.
#[derive(Debug, Clone, Copy, Default)]
struct EventCursor {
    next_sequence: Option<u64>,
    /// Blocks recorded before this time are weighted by `prior_confidence`.
    discounted_at: ClockTime,
    prior_confidence: u64,
}

/// An endpoint that is expected to have a prefix of a prompt cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Expected number of cached tokens, weighted by confidence.
    pub tokens: u32,
}

/// Holders of a prompt's prefixes, longest prefix first.
pub type PrefixHolders = SmallVec<[PrefixHolder; WAYS]>;

/// Bounded index from prefix blocks to endpoints.
#[derive(Debug)]
pub struct PrefixIndex {
    settings: PrefixSettings,
    sets: Vec<[BlockSlot; WAYS]>,
    cursors: Vec<EventCursor>,
    gaps: u64,
}

impl PrefixIndex {
    /// Creates an empty index and allocates the memory of its table.
    #[must_use]
    pub fn new(settings: PrefixSettings) -> Self {
        let sets = settings.blocks.div_ceil(WAYS).next_power_of_two();
        Self {
            settings,
            sets: vec![[EMPTY_SLOT; WAYS]; sets],
            cursors: Vec::new(),
            gaps: 0,
        }
    }

    /// Records that a prompt was sent to an endpoint, which then has its prefixes cached.
    pub fn record_prompt(&mut self, endpoint: EndpointIndex, prefixes: &[u64], now: ClockTime) {
        for block in prefixes.iter().take(MAX_RECORDED_BLOCKS) {
            self.insert(*block, endpoint, now);
        }
    }

    /// Applies a cache event of an engine.
    ///
    /// A gap in the sequence means that removals may have been missed: the confidence in all blocks
    /// recorded before for the endpoint is halved.
    pub fn on_event(&mut self, endpoint: EndpointIndex, event: &CacheEvent, now: ClockTime) {
        let cursor = self.cursor(endpoint);
        let next_sequence = cursor.next_sequence.unwrap_or(event.sequence);
        if event.sequence + RESTART_SEQUENCE_GAP < next_sequence {
            self.invalidate(endpoint, now);
        } else if event.sequence < next_sequence {
            return;
        } else if event.sequence > next_sequence {
            self.discount(endpoint, now);
        }
        self.cursor(endpoint).next_sequence = Some(event.sequence + 1);
        if event.present {
            self.insert(event.block, endpoint, now);
        } else {
            self.remove(event.block, endpoint, now);
        }
    }

    /// Invalidates all recorded blocks of an endpoint.
    pub fn invalidate(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        let cursor = self.cursor(endpoint);
        cursor.discounted_at = now;
        cursor.prior_confidence = 0;
    }

    /// Returns the endpoints that are expected to have prefixes of a prompt cached.
    ///
    /// `prefixes` holds the hashes of the prompt's growing prefixes, the shortest first. Does not
    /// allocate.
    #[must_use]
    pub fn holders(&self, prefixes: &[u64], now: ClockTime) -> PrefixHolders {
        let mut holders = PrefixHolders::new();
        let stride = prefixes.len().div_ceil(MAX_LOOKUP_BLOCKS).max(1);
        for (index, block) in prefixes.iter().enumerate().rev().step_by(stride) {
            let depth = u64::try_from(index + 1).unwrap_or(u64::MAX);
            self.collect_holders(*block, depth, now, &mut holders);
            if holders.len() == WAYS {
                break;
            }
        }
        holders
    }

    /// Returns the number of gaps seen in cache events.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    fn collect_holders(&self, block: u64, depth: u64, now: ClockTime, holders: &mut PrefixHolders) {
        let set = &self.sets[self.set_of(block)];
        for slot in set.iter().filter(|slot| holds_block(slot, block)) {
            let is_listed = holders
                .iter()
                .any(|holder| holder.endpoint == slot.endpoint);
            if is_listed || holders.len() == WAYS {
                continue;
            }
            let tokens = depth.saturating_mul(u64::from(self.settings.block_tokens));
            let expected = scale(tokens, self.confidence(slot, now), FULL_CONFIDENCE);
            holders.push(PrefixHolder {
                endpoint: slot.endpoint,
                tokens: u32::try_from(expected).unwrap_or(u32::MAX),
            });
        }
    }

    fn confidence(&self, slot: &BlockSlot, now: ClockTime) -> u64 {
        let half_life = micros(self.settings.half_life).max(1);
        let age = micros(now.since(slot.recorded_at));
        let fresh = scale(FULL_CONFIDENCE, half_life, half_life.saturating_add(age));
        let cursor = self.cursors.get(slot.endpoint.as_usize());
        match cursor {
            Some(cursor) if slot.recorded_at < cursor.discounted_at => {
                scale(fresh, cursor.prior_confidence, FULL_CONFIDENCE)
            }
            _ => fresh,
        }
    }

    fn discount(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        self.gaps += 1;
        let cursor = self.cursor(endpoint);
        let prior_confidence = if cursor.discounted_at == ClockTime::ZERO {
            FULL_CONFIDENCE
        } else {
            cursor.prior_confidence
        };
        cursor.prior_confidence = prior_confidence / 2;
        cursor.discounted_at = now;
    }

    fn insert(&mut self, block: u64, endpoint: EndpointIndex, now: ClockTime) {
        let set_index = self.set_of(block);
        let set = &mut self.sets[set_index];
        let existing = set
            .iter()
            .position(|slot| holds_block(slot, block) && slot.endpoint == endpoint);
        let way = existing.unwrap_or_else(|| oldest_way(set));
        set[way] = BlockSlot {
            block,
            endpoint,
            recorded_at: now,
        };
    }

    fn remove(&mut self, block: u64, endpoint: EndpointIndex, now: ClockTime) {
        let lag = self.settings.event_lag;
        let set_index = self.set_of(block);
        for slot in &mut self.sets[set_index] {
            let is_same = holds_block(slot, block) && slot.endpoint == endpoint;
            if is_same && now.since(slot.recorded_at) >= lag {
                *slot = EMPTY_SLOT;
            }
        }
    }

    fn cursor(&mut self, endpoint: EndpointIndex) -> &mut EventCursor {
        if self.cursors.len() <= endpoint.as_usize() {
            self.cursors
                .resize(endpoint.as_usize() + 1, EventCursor::default());
        }
        &mut self.cursors[endpoint.as_usize()]
    }

    fn set_of(&self, block: u64) -> usize {
        let mask = self.sets.len() as u64 - 1;
        usize::try_from(block & mask).unwrap_or(0)
    }
}

fn holds_block(slot: &BlockSlot, block: u64) -> bool {
    slot.block == block && slot.endpoint != EMPTY_SLOT.endpoint
}

fn oldest_way(set: &[BlockSlot; WAYS]) -> usize {
    let age_order = |way: &usize| {
        (
            set[*way].endpoint != EMPTY_SLOT.endpoint,
            set[*way].recorded_at,
        )
    };
    (0..WAYS).min_by_key(age_order).unwrap_or(0)
}
