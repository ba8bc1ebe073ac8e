//! Simulated store of the entries of parts.

use oatpier_serving::quota::lease::{ClaimOutcome, PartClaim, PartEntry};

/// Store of the entries of parts that can be restored from a copy.
#[derive(Debug, Clone, Default)]
pub struct PartStore {
    pub entries: Vec<PartEntry>,
    revision: u64,
    pub era: u64,
}

impl PartStore {
    pub fn write(&mut self, claim: &PartClaim) -> ClaimOutcome {
        let part = claim.record.part;
        let present = self.entries.iter().find(|entry| entry.record.part == part);
        if present.map_or(0, |entry| entry.revision) != claim.expected {
            return ClaimOutcome::Refused {
                present: present.cloned(),
                era: self.era,
            };
        }
        self.revision += 1;
        self.entries.retain(|entry| entry.record.part != part);
        self.entries.push(PartEntry {
            record: claim.record.clone(),
            revision: self.revision,
        });
        ClaimOutcome::Written {
            revision: self.revision,
            era: self.era,
        }
    }

    pub fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
    }
}
