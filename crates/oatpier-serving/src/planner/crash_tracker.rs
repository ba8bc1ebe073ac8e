//! Backs off loads that crash the engines that carry them out.
//!
//! Weights that an engine cannot handle crash it in the middle of a load, together with all requests that
//! it runs. The model is still missing afterwards, so the next engine is told to load it, and within a
//! minute all engines have crashed. Because a model must stay reachable, its loads are not given up. After
//! three such crashes in a row they are delayed, each time twice as long.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName, PoolName};

use crate::directory::EndpointRow;

/// Consecutive crashes after which loads of a model are backed off. Engines also crash for other reasons,
/// and at busy times a third of them is loading a model.
const MIN_CONSECUTIVE_CRASHES: u32 = 3;

/// First backoff. An engine that crashed is back after some seconds, together with its other models.
const INITIAL_BACKOFF: Duration = Duration::from_secs(10);

/// Longest backoff. It bounds the time until a model is available again after its weights were repaired.
const MAX_BACKOFF: Duration = Duration::from_mins(10);

/// Number of doublings after which the backoff has reached its maximum in any case.
const MAX_DOUBLINGS: u32 = 10;

/// A load in progress.
#[derive(Debug, Clone)]
struct ActiveLoad {
    model: ModelName,
    service: PoolName,
    index: EndpointIndex,
}

/// Consecutive crashes of engines that were loading a model.
#[derive(Debug, Clone, Copy)]
struct CrashStreak {
    count: u32,
    last_at: ClockTime,
}

/// Tracker of loads in progress and of the crashes that they cause.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    active: HashMap<EndpointName, ActiveLoad>,
    streaks: HashMap<ModelName, CrashStreak>,
}

impl CrashTracker {
    /// Updates the tracked loads from the state of all engines of a service. Loads on engines that are
    /// leaving are not recorded, because these engines end on their own.
    pub(super) fn observe(&mut self, rows: &[&EndpointRow], now: ClockTime) {
        let Some(service) = rows.first().map(|row| &row.record.service) else {
            return;
        };
        let before: Vec<(EndpointName, ActiveLoad)> = self
            .active
            .extract_if(|_, load| load.service == *service)
            .collect();
        for (name, load) in before {
            let row = rows.iter().find(|row| row.record.name == name);
            match row {
                Some(row) if row.index == load.index => self.check_load(row, load, now),
                _ => self.note_crash(load.model, now),
            }
        }
        for row in rows.iter().filter(|row| row.is_open(now)) {
            // The load at an engine that does not answer has already been counted.
            let status = row.status(now).filter(|status| status.answers);
            let loading = status.and_then(|status| status.loading.clone());
            if let Some(model) = loading {
                let load = ActiveLoad {
                    model,
                    service: service.clone(),
                    index: row.index,
                };
                self.active.insert(row.record.name.clone(), load);
            }
        }
    }

    fn check_load(&mut self, row: &EndpointRow, load: ActiveLoad, now: ClockTime) {
        let Some(status) = row.status(now) else {
            // No status is received from the sidecar. The result of the load is known once the sidecar
            // reports again or the registry changes.
            self.active.insert(row.record.name.clone(), load);
            return;
        };
        if !status.answers {
            self.note_crash(load.model, now);
        } else if row.holds(&load.model, now) {
            self.streaks.remove(&load.model);
        }
    }

    fn note_crash(&mut self, model: ModelName, now: ClockTime) {
        let streak = self.streaks.entry(model).or_insert(CrashStreak {
            count: 0,
            last_at: now,
        });
        streak.count += 1;
        streak.last_at = now;
    }

    /// Returns whether loads of a model are backed off.
    pub(super) fn is_backed_off(&self, model: &ModelName, now: ClockTime) -> bool {
        let Some(streak) = self.streaks.get(model) else {
            return false;
        };
        let Some(doublings) = streak.count.checked_sub(MIN_CONSECUTIVE_CRASHES) else {
            return false;
        };
        let backoff = INITIAL_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        now.since(streak.last_at) < backoff.min(MAX_BACKOFF)
    }
}
