//! The stored configuration and its watches.

use std::sync::Arc;
use std::time::Duration;

use oatpier_membership::spread::{StoreReply, StoredConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{ClassSpec, ClassTarget, FleetConfig};
use oatpier_types::ids::{Generation, Revision};

use crate::request::name;

/// A watch that waits for a change.
#[derive(Debug, Clone, Copy)]
pub struct WaitingWatch {
    pub process: usize,
    pub boot: u64,
    pub after: Revision,
    pub until: ClockTime,
}

#[derive(Debug, Default)]
pub struct ConfigStore {
    pub stored: Option<StoredConfig<FleetConfig>>,
    /// The previously stored configuration.
    pub previous: Option<StoredConfig<FleetConfig>>,
    pub watches: Vec<WaitingWatch>,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    /// Until then watches stay open without an answer.
    pub hung_until: ClockTime,
    /// The process whose watches hang; `None` for all processes.
    pub hung_process: Option<usize>,
}

impl ConfigStore {
    /// Returns whether the watches of a process currently report nothing.
    pub fn has_hung_watch(&self, process: usize, now: ClockTime) -> bool {
        self.hung_until > now
            && self
                .hung_process
                .is_none_or(|hung_process| hung_process == process)
    }

    pub fn read(&self, now: ClockTime) -> StoreReply<FleetConfig> {
        if self.down_until > now {
            return StoreReply::Failed;
        }
        match &self.stored {
            Some(stored) => StoreReply::Value(stored.clone()),
            None => StoreReply::Unchanged,
        }
    }

    /// Registers a watch, or returns its reply if there is one at once.
    pub fn watch(
        &mut self,
        watch: WaitingWatch,
        now: ClockTime,
    ) -> Option<StoreReply<FleetConfig>> {
        if self.down_until > now {
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

    /// Writes an operator's change and returns its generation.
    pub fn change(&mut self) -> Generation {
        let (revision, generation, mut value) = match &self.stored {
            Some(stored) => (stored.revision, stored.generation, (*stored.value).clone()),
            None => (Revision(0), Generation(0), FleetConfig::default()),
        };
        let generation = generation.next();
        let spec = ClassSpec {
            target: ClassTarget::Whole {
                answer: Duration::from_secs(2),
            },
            attain: 0.9,
        };
        value
            .classes
            .insert(name(&format!("class-{generation}")), spec);
        self.stored = Some(StoredConfig {
            revision: revision.next(),
            generation,
            value: Arc::new(value),
        });
        generation
    }
}
