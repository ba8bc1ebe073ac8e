//! The store's configuration, with its watches.

use std::sync::Arc;
use std::time::Duration;

use oatpier_membership::spread::{StoreReply, StoredConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{ClassSpec, ClassTarget, FleetConfig};
use oatpier_types::ids::{Generation, Revision};

use crate::request::name;

/// A watch that waits.
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
    /// What was stored before.
    pub former: Option<StoredConfig<FleetConfig>>,
    pub watches: Vec<WaitingWatch>,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    /// Watches that began stay open and are never answered.
    pub hang_until: ClockTime,
    /// Whose; none: all.
    pub hanging: Option<usize>,
}

impl ConfigStore {
    /// Whether a process's watches tell nothing at the moment.
    pub fn hangs(&self, process: usize, now: ClockTime) -> bool {
        self.hang_until > now && self.hanging.is_none_or(|hanging| hanging == process)
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

    /// The reply to a watch, if it has one at once.
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

    /// An operator's change is written.
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
