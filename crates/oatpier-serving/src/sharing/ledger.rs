//! Use of one engine by workspaces, and which of those that wait are beyond their share.
//!
//! A workspace is beyond its share if it has recently used more engine time for its weight than the workspaces that
//! wait at the engine have on average. Workspaces that do not wait have what they want and do not count. The use of a
//! workspace is the larger of what gateways state for all engines of the service and of what was granted here. The
//! latter covers the time until gateways receive an update, and gateways that have just started.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::{ShareStanding, WorkspaceTag, WorkspaceUse};

/// Time constant of the decay of used engine time. Use while no other workspace waits counts against a workspace for
/// about this long. Longer than two updates of all engines, since a gateway adds up updates of that age.
const USE_DECAY: Duration = Duration::from_secs(3);

/// Maximum number of workspaces that are counted. The one with the least use is dropped, which changes its use by
/// little.
const MAX_WORKSPACES: usize = 64;

/// Number of workspaces in an update.
const MAX_REPORTED_USES: usize = 16;

/// Number of the latest requests of a workspace whose standings count. The median of five is right if two of the
/// gateways state a wrong or an old one.
const KEPT_STANDINGS: usize = 5;

/// Multiple of the average use beyond which a workspace is beyond its share. Requests of workspaces that use about the
/// same are ordered by their deadlines.
const SHARE_MARGIN: f64 = 1.1;

/// Factor between the use of two levels beyond the share.
const LEVEL_FACTOR: f64 = 2.0;

/// Highest level beyond the share.
const MAX_LEVEL: u8 = 6;

/// Engine time per second of all workspaces that wait below which none is beyond its share. A fifth of one engine: a
/// single long response must not put its workspace beyond its share.
const MIN_CONTENDED_USE_US: f64 = 200_000.0;

/// Use of the engine by one workspace.
#[derive(Debug)]
struct LedgerEntry {
    workspace: WorkspaceTag,
    /// Engine time granted here, decayed until `used_at`.
    used: Duration,
    used_at: ClockTime,
    /// Standings of its latest requests, the latest last.
    standings: SmallVec<[ShareStanding; KEPT_STANDINGS]>,
}

impl LedgerEntry {
    fn used(&self, now: ClockTime) -> Duration {
        let age = now.since(self.used_at);
        let left = (-age.div_duration_f64(USE_DECAY)).exp();
        self.used.mul_f64(left)
    }

    fn charge(&mut self, engine_time: Duration, now: ClockTime) {
        self.used = self.used(now) + engine_time;
        self.used_at = now;
    }

    /// Returns the engine time used here, in microseconds per second.
    fn local_use(&self, now: ClockTime) -> u32 {
        let per_second = self.used(now).div_duration_f64(USE_DECAY);
        let micros = Duration::from_secs_f64(per_second).as_micros();
        u32::try_from(micros).unwrap_or(u32::MAX)
    }

    fn note_standing(&mut self, standing: ShareStanding) {
        if self.standings.len() == KEPT_STANDINGS {
            self.standings.remove(0);
        }
        self.standings.push(standing);
    }

    fn weight(&self) -> u32 {
        let weights = self.standings.iter().map(|standing| standing.weight);
        median(weights).unwrap_or(1).max(1)
    }

    fn use_us_per_s(&self, now: ClockTime) -> u32 {
        let stated = self.standings.iter().map(|standing| standing.use_us_per_s);
        self.local_use(now).max(median(stated).unwrap_or(0))
    }
}

fn median(values: impl Iterator<Item = u32>) -> Option<u32> {
    let mut sorted: SmallVec<[u32; KEPT_STANDINGS]> = values.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// How far each of the waiting workspaces is beyond its share.
#[derive(Debug, Default)]
pub struct ShareLevels {
    levels: SmallVec<[(WorkspaceTag, u8); 16]>,
}

impl ShareLevels {
    /// Returns the level of a workspace: 0 within its share, and one more for each doubling beyond it.
    #[must_use]
    pub fn level(&self, workspace: WorkspaceTag) -> u8 {
        let mut levels = self.levels.iter();
        let found = levels.find(|(known, _)| *known == workspace);
        found.map_or(0, |(_, level)| *level)
    }

    /// Returns whether a workspace that waits is beyond its share.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.levels.iter().any(|(_, level)| *level > 0)
    }
}

/// Returns the level of a use that is `ratio` times the average for its weight.
#[must_use]
pub fn share_level(ratio: f64) -> u8 {
    let mut bound = SHARE_MARGIN;
    let mut level = 0;
    while ratio > bound && level < MAX_LEVEL {
        bound *= LEVEL_FACTOR;
        level += 1;
    }
    level
}

/// Use of one engine by workspaces.
#[derive(Debug, Default)]
pub struct ShareLedger {
    entries: Vec<LedgerEntry>,
}

impl ShareLedger {
    /// Records the standing that a new request states.
    pub fn note_standing(&mut self, standing: ShareStanding, now: ClockTime) {
        self.entry(standing.workspace, now).note_standing(standing);
    }

    /// Records that a workspace was granted engine time.
    pub fn charge(&mut self, workspace: WorkspaceTag, engine_time: Duration, now: ClockTime) {
        self.entry(workspace, now).charge(engine_time, now);
    }

    /// Returns the levels of the workspaces that wait. Each may occur several times.
    pub fn levels(
        &self,
        waiting: impl Iterator<Item = WorkspaceTag>,
        now: ClockTime,
    ) -> ShareLevels {
        let mut competing: SmallVec<[&LedgerEntry; 16]> = SmallVec::new();
        for workspace in waiting {
            if competing.iter().any(|entry| entry.workspace == workspace) {
                continue;
            }
            // The weight of a workspace that was dropped meanwhile is unknown until its next request.
            let entry = self.find(workspace);
            competing.extend(entry.filter(|entry| !entry.standings.is_empty()));
        }
        if competing.len() < 2 {
            return ShareLevels::default();
        }
        let rated = competing.iter().map(|entry| {
            let used = f64::from(entry.use_us_per_s(now));
            (entry.workspace, used, f64::from(entry.weight()))
        });
        let rated: SmallVec<[(WorkspaceTag, f64, f64); 16]> = rated.collect();
        let total_use: f64 = rated.iter().map(|(_, used, _)| used).sum();
        let total_weight: f64 = rated.iter().map(|(_, _, weight)| weight).sum();
        let average = total_use.max(MIN_CONTENDED_USE_US) / total_weight;
        let levels = rated
            .iter()
            .map(|(workspace, used, weight)| (*workspace, share_level(used / weight / average)));
        ShareLevels {
            levels: levels.collect(),
        }
    }

    /// Returns the workspaces with the largest use of the engine, the largest first.
    #[must_use]
    pub fn largest_uses(&self, now: ClockTime) -> Vec<WorkspaceUse> {
        let uses = self.entries.iter().map(|entry| WorkspaceUse {
            workspace: entry.workspace,
            use_us_per_s: entry.local_use(now),
        });
        let mut uses: Vec<WorkspaceUse> = uses.filter(|used| used.use_us_per_s > 0).collect();
        uses.sort_unstable_by_key(|used| (std::cmp::Reverse(used.use_us_per_s), used.workspace));
        uses.truncate(MAX_REPORTED_USES);
        uses
    }

    fn find(&self, workspace: WorkspaceTag) -> Option<&LedgerEntry> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.workspace == workspace)
    }

    fn entry(&mut self, workspace: WorkspaceTag, now: ClockTime) -> &mut LedgerEntry {
        let known = self.entries.iter();
        let mut known = known.map(|entry| entry.workspace);
        let index = known
            .position(|known| known == workspace)
            .unwrap_or_else(|| {
                self.drop_smallest(now);
                self.entries.push(LedgerEntry {
                    workspace,
                    used: Duration::ZERO,
                    used_at: now,
                    standings: SmallVec::new(),
                });
                self.entries.len() - 1
            });
        &mut self.entries[index]
    }

    fn drop_smallest(&mut self, now: ClockTime) {
        if self.entries.len() < MAX_WORKSPACES {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let smallest = entries.min_by_key(|(_, entry)| entry.use_us_per_s(now));
        if let Some((index, _)) = smallest {
            self.entries.swap_remove(index);
        }
    }
}
