//! Loads that end the engines that carry them out.
//!
//! The failure: weights that an engine can't take end it in the middle of a load, with all that it runs. The model
//! is still missing, so the next engine is told to load it, and a minute later all of them have ended. A model must
//! stay reachable, so it is not given up: after three such ends in a row its loads wait, each time twice as long.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName, PoolName};

use crate::directory::EndpointRow;

/// Ends in a row after which a model's loads wait. Engines end for other reasons too, and at busy times a third of
/// them is at a load.
const ENDS_IN_A_ROW: u32 = 3;

/// The first wait. An engine that ended is back after some seconds, and its other models with it.
const FIRST_REST: Duration = Duration::from_secs(10);

/// The longest wait: what it costs to have a model back whose weights were mended.
const LONGEST_REST: Duration = Duration::from_mins(10);

/// Doublings after which a wait is the longest one in any case.
const MOST_DOUBLINGS: u32 = 10;

/// A load that is under way.
#[derive(Debug, Clone)]
struct SeenLoad {
    model: ModelName,
    service: PoolName,
    index: EndpointIndex,
}

/// Ends of engines in a row that were loading a model.
#[derive(Debug, Clone, Copy)]
struct LoadEnds {
    count: u32,
    last_at: ClockTime,
}

/// What becomes of loads.
#[derive(Debug, Default)]
pub(super) struct LoadWatch {
    under_way: HashMap<EndpointName, SeenLoad>,
    ends: HashMap<ModelName, LoadEnds>,
}

impl LoadWatch {
    /// Looks at all engines of a service. Those that leave end by themselves.
    pub(super) fn look(&mut self, rows: &[&EndpointRow], now: ClockTime) {
        let Some(service) = rows.first().map(|row| &row.record.service) else {
            return;
        };
        let before: Vec<(EndpointName, SeenLoad)> = self
            .under_way
            .extract_if(|_, load| load.service == *service)
            .collect();
        for (name, load) in before {
            let row = rows.iter().find(|row| row.record.name == name);
            match row {
                Some(row) if row.index == load.index => self.follow(row, load, now),
                _ => self.note_end(load.model, now),
            }
        }
        for row in rows.iter().filter(|row| row.is_open(now)) {
            let loading = row.pulse(now).and_then(|pulse| pulse.loading.clone());
            if let Some(model) = loading {
                let load = SeenLoad {
                    model,
                    service: service.clone(),
                    index: row.index,
                };
                self.under_way.insert(row.record.name.clone(), load);
            }
        }
    }

    fn follow(&mut self, row: &EndpointRow, load: SeenLoad, now: ClockTime) {
        let Some(pulse) = row.pulse(now) else {
            // Its sidecar is not heard: what becomes of the load is told when it is, or by the registry.
            self.under_way.insert(row.record.name.clone(), load);
            return;
        };
        if !pulse.answers {
            self.note_end(load.model, now);
        } else if row.holds(&load.model, now) {
            self.ends.remove(&load.model);
        }
    }

    fn note_end(&mut self, model: ModelName, now: ClockTime) {
        let ends = self.ends.entry(model).or_insert(LoadEnds {
            count: 0,
            last_at: now,
        });
        ends.count += 1;
        ends.last_at = now;
    }

    /// Whether a model's loads wait.
    pub(super) fn rests(&self, model: &ModelName, now: ClockTime) -> bool {
        let Some(ends) = self.ends.get(model) else {
            return false;
        };
        let Some(further) = ends.count.checked_sub(ENDS_IN_A_ROW) else {
            return false;
        };
        let doubled = FIRST_REST * 2_u32.pow(further.min(MOST_DOUBLINGS));
        now.since(ends.last_at) < doubled.min(LONGEST_REST)
    }
}
