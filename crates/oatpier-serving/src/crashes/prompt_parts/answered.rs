//! Parts of prompts whose requests were answered lately.
//!
//! The table has a fixed size, so that it costs the same however many parts callers use. A part whose entry was
//! overwritten counts as not answered, which only makes it a suspect sooner.

use oatpier_types::clock::ClockTime;

use crate::call::PromptPartId;

/// Number of entries, a power of two.
const ENTRIES: usize = 2_048;

/// Multiplier that spreads ids over the entries: 2^64 divided by the golden ratio.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

#[derive(Debug, Clone, Copy)]
struct AnsweredEntry {
    part: PromptPartId,
    at: ClockTime,
}

/// When parts were last part of a request whose response progressed.
#[derive(Debug)]
pub struct AnsweredParts {
    entries: Box<[Option<AnsweredEntry>]>,
}

impl Default for AnsweredParts {
    fn default() -> Self {
        Self {
            entries: vec![None; ENTRIES].into_boxed_slice(),
        }
    }
}

impl AnsweredParts {
    /// Records that the response to a request with this part progressed.
    pub fn note(&mut self, part: PromptPartId, now: ClockTime) {
        self.entries[entry_of(part)] = Some(AnsweredEntry { part, at: now });
    }

    /// Returns when the part was last answered, if it is known.
    #[must_use]
    pub fn last(&self, part: PromptPartId) -> Option<ClockTime> {
        let entry = self.entries[entry_of(part)]?;
        (entry.part == part).then_some(entry.at)
    }
}

fn entry_of(part: PromptPartId) -> usize {
    let bits = u64::BITS - ENTRIES.trailing_zeros();
    usize::try_from(part.0.wrapping_mul(SPREAD) >> bits).unwrap_or(0)
}
