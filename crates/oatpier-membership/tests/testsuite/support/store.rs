//! The simulated store: one configuration under compare-and-swap, with watches and outages.

use std::sync::Arc;
use std::time::Duration;

use oatpier_membership::spread::{StoreReply, StoredConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{Generation, Revision};

use super::payload::TestConfig;

#[derive(Debug, Clone)]
pub struct WaitingWatch {
    pub process: usize,
    pub boot: u128,
    pub after: Revision,
    pub until: ClockTime,
}

#[derive(Debug, Default)]
pub struct FakeStore {
    pub down: bool,
    /// Whether open watches are never answered.
    pub watches_hang: bool,
    pub stored: Option<StoredConfig<TestConfig>>,
    pub watches: Vec<WaitingWatch>,
    pub calls: u64,
    /// Additional delay of each answer.
    pub extra_delay: Duration,
}

impl FakeStore {
    pub fn read(&mut self) -> StoreReply<TestConfig> {
        self.calls += 1;
        if self.down {
            return StoreReply::Failed;
        }
        match &self.stored {
            Some(stored) => StoreReply::Value(stored.clone()),
            None => StoreReply::Unchanged,
        }
    }

    /// Returns the immediate reply to a watch, if there is one.
    pub fn watch(&mut self, watch: WaitingWatch) -> Option<StoreReply<TestConfig>> {
        self.calls += 1;
        if self.down {
            return Some(StoreReply::Failed);
        }
        let newer = self
            .stored
            .as_ref()
            .filter(|stored| stored.revision > watch.after);
        if let Some(stored) = newer {
            return Some(StoreReply::Value(stored.clone()));
        }
        self.watches.push(watch);
        None
    }

    /// Accepts a change and returns the watches to notify.
    pub fn accept(&mut self, value: TestConfig) -> Vec<WaitingWatch> {
        let (revision, generation) = match &self.stored {
            Some(stored) => (stored.revision, stored.generation),
            None => (Revision(0), Generation(0)),
        };
        self.stored = Some(StoredConfig {
            revision: revision.next(),
            generation: generation.next(),
            value: Arc::new(value),
        });
        if self.watches_hang {
            return Vec::new();
        }
        std::mem::take(&mut self.watches)
    }
}
