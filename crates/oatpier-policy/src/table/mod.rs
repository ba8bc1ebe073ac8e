//! Table of the known state of endpoints, and of the goals that each can serve.
//!
//! The table may be stale or wrong; agents refuse what they can't run. It affects efficiency only,
//! not safety.

mod candidates;
mod row;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{LoadReport, WeightsKey};
use oatpier_types::ids::BootId;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::request::RequestGoal;
use oatpier_types::status::{EndpointStatus, QueueReport};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::health::HealthSettings;
use crate::index::{EndpointIndex, GoalIndex, ZoneIndex};
use crate::units::micros;

pub use candidates::CandidateList;
pub use row::{AttemptPrediction, AttemptSize, EndpointRow};

use candidates::ListingState;
use row::BootCheck;

/// Settings of an [`EndpointTable`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct TableSettings {
    /// Age at which the predicted wait is an equal mix of the last queue report and the prior.
    #[serde(rename = "pulse-half-life", with = "humantime_serde")]
    pub report_half_life: Duration,
    /// Round-trip time within the availability zone.
    #[serde(with = "humantime_serde")]
    pub zone_trip: Duration,
    /// Round-trip time to another availability zone of the region.
    #[serde(with = "humantime_serde")]
    pub region_trip: Duration,
    /// Round-trip time to another region.
    #[serde(with = "humantime_serde")]
    pub far_trip: Duration,
    /// Prefill time per prompt token, used until an endpoint reports its own, in nanoseconds.
    pub prompt_token_ns: u32,
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_millis(250),
            zone_trip: Duration::from_millis(1),
            region_trip: Duration::from_millis(3),
            far_trip: Duration::from_millis(60),
            prompt_token_ns: 50_000,
        }
    }
}

/// Upper bound on the endpoints that are remembered as leaving before they are known.
const MAX_UNKNOWN_LEAVING: usize = 1_024;

/// Index of the entry's own availability zone.
const OWN_ZONE: ZoneIndex = ZoneIndex(0);

/// Known state of the endpoints, and lists of the replicas of each goal.
#[derive(Debug)]
pub struct EndpointTable {
    settings: TableSettings,
    /// Round-trip times in microseconds by availability zone; the entry's own zone comes first.
    zones: IndexMap<ZoneName, u64>,
    by_name: IndexMap<EndpointName, EndpointIndex>,
    rows: Vec<EndpointRow>,
    goals: IndexSet<RequestGoal>,
    lists: Vec<CandidateList>,
    /// Endpoints that are reported to leave before they are known.
    unknown_leaving: IndexSet<EndpointName>,
    ejected_percent: u32,
    stale_dropped: u64,
}

impl EndpointTable {
    /// Creates an empty table for an entry in `own_zone`, with the default bound on the ejected
    /// share of a goal's replicas.
    #[must_use]
    pub fn new(settings: TableSettings, own_zone: ZoneName) -> Self {
        let default_percent = HealthSettings::default().ejected_percent;
        Self::with_ejected_percent(settings, own_zone, default_percent)
    }

    /// Creates an empty table with the given bound on the ejected share of a goal's replicas, in
    /// percent.
    #[must_use]
    pub fn with_ejected_percent(
        settings: TableSettings,
        own_zone: ZoneName,
        ejected_percent: u32,
    ) -> Self {
        let own_round_trip_us = micros(settings.zone_trip);
        Self {
            settings,
            zones: IndexMap::from([(own_zone, own_round_trip_us)]),
            by_name: IndexMap::new(),
            rows: Vec::new(),
            goals: IndexSet::new(),
            lists: Vec::new(),
            unknown_leaving: IndexSet::new(),
            ejected_percent,
            stale_dropped: 0,
        }
    }

    /// Applies the regions of a configuration, which determine the round-trip times.
    pub fn apply_config(&mut self, config: &FleetConfig) {
        let own = self.zones.get_index(0).map(|(name, _)| name.clone());
        let own_region = own.as_ref().and_then(|name| config.region_of(name));
        let near_us = micros(self.settings.region_trip);
        let far_us = micros(self.settings.far_trip);
        for (region, spec) in &config.regions {
            let round_trip_us = if Some(region) == own_region {
                near_us
            } else {
                far_us
            };
            for zone in spec.zones.iter().filter(|zone| Some(*zone) != own.as_ref()) {
                self.zones.insert(zone.clone(), round_trip_us);
            }
        }
    }

    /// Applies an agent's full status. Stale parts are ignored and counted.
    pub fn on_status(&mut self, status: &EndpointStatus, now: ClockTime) -> EndpointIndex {
        let index = self.intern(&status.endpoint, &status.pool, &status.zone);
        if self.check_boot(index, status.queue.boot, now) == BootCheck::Previous {
            self.stale_dropped += 1;
            return index;
        }
        if self.rows[index.as_usize()].is_gone {
            self.update_row(index, |row| row.is_gone = false);
        }
        let row = &self.rows[index.as_usize()];
        let is_newer = row
            .ready_sequence
            .is_none_or(|known| known < status.ready_sequence);
        if is_newer {
            let goals = self.intern_goals(&status.pool, &status.ready);
            self.update_row(index, |row| {
                row.goals = goals;
                row.ready_sequence = Some(status.ready_sequence);
            });
        }
        self.apply_queue_report(index, &status.queue, now);
        if self.unknown_leaving.swap_remove(&status.endpoint) {
            self.mark_leaving(index);
        }
        index
    }

    /// Applies a queue report of a known endpoint. A stale one is ignored and counted.
    pub fn on_queue_report(&mut self, index: EndpointIndex, report: &QueueReport, now: ClockTime) {
        match self.check_boot(index, report.boot, now) {
            BootCheck::Previous => self.stale_dropped += 1,
            BootCheck::Current | BootCheck::New => self.apply_queue_report(index, report, now),
        }
    }

    /// Applies a load report, which lags behind the actual load, as the prior of the predicted
    /// wait.
    pub fn on_report(&mut self, index: EndpointIndex, report: &LoadReport) {
        self.rows[index.as_usize()].apply_report(report);
    }

    /// Marks an endpoint as leaving. It gets no new work until its agent restarts or
    /// [`Self::clear_leaving`] is called.
    pub fn mark_leaving(&mut self, index: EndpointIndex) {
        self.update_row(index, |row| row.is_leaving = true);
    }

    /// Withdraws the mark that an endpoint is leaving.
    pub fn clear_leaving(&mut self, index: EndpointIndex) {
        self.update_row(index, |row| row.is_leaving = false);
    }

    /// Records that an unknown endpoint is leaving, to mark it when it becomes known.
    ///
    /// The list of VMs and an agent's status arrive on different paths, and the mark may arrive
    /// first. If it were lost, the endpoint would get new work until it refuses an attempt.
    pub fn mark_unknown_leaving(&mut self, name: &EndpointName) {
        if self.unknown_leaving.len() < MAX_UNKNOWN_LEAVING {
            self.unknown_leaving.insert(name.clone());
        }
    }

    /// Withdraws the record that an unknown endpoint is leaving.
    pub fn clear_unknown_leaving(&mut self, name: &EndpointName) {
        self.unknown_leaving.swap_remove(name);
    }

    /// Records that an agent accepts no new work, until a newer queue report says otherwise.
    pub fn close(&mut self, index: EndpointIndex) {
        self.update_row(index, EndpointRow::close);
    }

    /// Marks an endpoint as gone, until a status of it arrives.
    pub fn forget(&mut self, index: EndpointIndex) {
        self.update_row(index, |row| row.is_gone = true);
    }

    /// Removes a goal from an endpoint that lacks its weights, whatever its last status said.
    pub fn remove_goal(&mut self, index: EndpointIndex, goal: GoalIndex) {
        self.update_row(index, |row| row.goals.retain(|other| *other != goal));
    }

    /// Ejects an endpoint from those of its goals that have enough other replicas, or reinstates
    /// it.
    pub fn set_ejected(&mut self, index: EndpointIndex, ejected: bool) {
        self.update_row(index, |row| row.is_faulty = ejected);
    }

    /// Returns whether any of the endpoint's goals has enough other replicas to eject it.
    #[must_use]
    pub fn may_eject(&self, index: EndpointIndex) -> bool {
        let mut lists = self.lists_of(index);
        lists.any(CandidateList::may_eject_more)
    }

    /// Returns whether the endpoint is ejected from any of its goals.
    #[must_use]
    pub fn is_ejected(&self, index: EndpointIndex) -> bool {
        let mut lists = self.lists_of(index);
        lists.any(|list| list.ejected().contains(&index))
    }

    /// Records that an attempt with `tokens` uncached prompt tokens was sent to the endpoint.
    pub fn record_sent(&mut self, index: EndpointIndex, tokens: u32, now: ClockTime) {
        self.rows[index.as_usize()].record_sent(tokens, now);
    }

    /// Records that an attempt at the endpoint is over. `run_time` is set if its answer was
    /// complete.
    pub fn record_finished(&mut self, index: EndpointIndex, run_time: Option<Duration>) {
        self.rows[index.as_usize()].record_finished(run_time.map(micros));
    }

    /// Returns the predicted times of an attempt sent now, including the network.
    #[must_use]
    pub fn predict(
        &self,
        index: EndpointIndex,
        size: AttemptSize,
        now: ClockTime,
    ) -> AttemptPrediction {
        let row = &self.rows[index.as_usize()];
        let mut prediction = row.predict(size, &self.settings, now);
        let round_trip_us = self.zones[row.zone.as_usize()];
        prediction.total_us = prediction.total_us.saturating_add(round_trip_us);
        prediction
    }

    /// Returns the index of an endpoint.
    #[must_use]
    pub fn find(&self, name: &EndpointName) -> Option<EndpointIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the index of a goal, or `None` if no endpoint ever served it.
    #[must_use]
    pub fn find_goal(&self, goal: &RequestGoal) -> Option<GoalIndex> {
        self.goals.get_index_of(goal).map(GoalIndex::from_usize)
    }

    /// Returns the row of an endpoint.
    #[must_use]
    pub fn row(&self, index: EndpointIndex) -> &EndpointRow {
        &self.rows[index.as_usize()]
    }

    /// Returns the replicas of a goal.
    #[must_use]
    pub fn candidates(&self, goal: GoalIndex) -> &CandidateList {
        &self.lists[goal.as_usize()]
    }

    /// Returns the entry's own availability zone.
    #[must_use]
    pub fn own_zone(&self) -> ZoneIndex {
        OWN_ZONE
    }

    /// Returns the number of known availability zones.
    #[must_use]
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the number of endpoints that were ever known.
    #[must_use]
    pub fn endpoint_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of stale statuses and queue reports that were ignored.
    #[must_use]
    pub fn stale_dropped(&self) -> u64 {
        self.stale_dropped
    }

    fn check_boot(&mut self, index: EndpointIndex, boot: BootId, now: ClockTime) -> BootCheck {
        let check = self.rows[index.as_usize()].check_boot(boot, now);
        if check == BootCheck::New {
            self.update_row(index, |row| row.adopt_boot(boot, now));
        }
        check
    }

    fn apply_queue_report(&mut self, index: EndpointIndex, report: &QueueReport, now: ClockTime) {
        let row = &mut self.rows[index.as_usize()];
        if !row.is_newer(report) {
            self.stale_dropped += 1;
            return;
        }
        let round_trip_us = self.zones[row.zone.as_usize()];
        let known = row.queue_report().map(|known| known.accepting);
        if known == Some(report.accepting) {
            row.apply_queue_report(report, round_trip_us, now);
        } else {
            self.update_row(index, |row| {
                row.apply_queue_report(report, round_trip_us, now);
            });
        }
    }

    fn intern(&mut self, name: &EndpointName, pool: &PoolName, zone: &ZoneName) -> EndpointIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = EndpointIndex::from_usize(self.rows.len());
        let far_us = micros(self.settings.far_trip);
        let zone_entry = self.zones.entry(zone.clone());
        let zone_index = ZoneIndex::from_usize(zone_entry.index());
        zone_entry.or_insert(far_us);
        self.by_name.insert(name.clone(), index);
        self.rows
            .push(EndpointRow::new(name.clone(), pool.clone(), zone_index));
        index
    }

    /// Returns the goals that the ready weights serve, and assigns indices to new ones.
    ///
    /// A model's goal requires its base model to be ready. An adapter's goal requires the adapter
    /// and its base model. Versions don't appear in requests.
    fn intern_goals(&mut self, pool: &PoolName, ready: &[WeightsKey]) -> SmallVec<[GoalIndex; 8]> {
        let base_ready = |key: &WeightsKey| {
            ready
                .iter()
                .any(|other| other.adapter.is_none() && other.model == key.model)
        };
        let models = ready
            .iter()
            .filter(|key| base_ready(key))
            .map(|key| RequestGoal::Model {
                model: key.model.clone(),
                adapter: key.adapter.clone(),
            });
        let service = RequestGoal::Service { pool: pool.clone() };
        let mut goals: SmallVec<[GoalIndex; 8]> = models
            .chain([service])
            .map(|goal| GoalIndex::from_usize(self.goals.insert_full(goal).0))
            .collect();
        let percent = self.ejected_percent;
        self.lists
            .resize_with(self.goals.len(), || CandidateList::new(percent));
        goals.sort_unstable();
        goals.dedup();
        goals
    }

    /// Changes a row, and updates the lists of its goals accordingly.
    fn update_row<T>(
        &mut self,
        index: EndpointIndex,
        change: impl FnOnce(&mut EndpointRow) -> T,
    ) -> T {
        self.for_each_list(index, CandidateList::remove);
        let value = change(&mut self.rows[index.as_usize()]);
        self.for_each_list(index, CandidateList::add);
        value
    }

    fn lists_of(&self, index: EndpointIndex) -> impl Iterator<Item = &CandidateList> {
        let goals = self.rows[index.as_usize()].goals.iter();
        goals.map(|goal| &self.lists[goal.as_usize()])
    }

    fn for_each_list(
        &mut self,
        index: EndpointIndex,
        step: fn(&mut CandidateList, EndpointIndex, ZoneIndex, ListingState),
    ) {
        let row = &self.rows[index.as_usize()];
        let listing = row.listing();
        for goal in &row.goals {
            step(&mut self.lists[goal.as_usize()], index, row.zone, listing);
        }
    }
}
