//! The planner duty: computes the placement plan while this entry holds the planner lease.
//!
//! Each group of entries has one planner. A small fleet is one group; in a large fleet each
//! availability zone is a group. The plan of each availability zone is a separate value, updated by
//! compare-and-swap under the lease's term. Agents read the plan of their availability zone.

mod cache;
mod hold;
mod snapshot;
mod table;
mod watcher;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use oatpier_membership::budget::CallKind;
use oatpier_membership::lease::{
    LEASE_CANDIDATES, LeaseAction, LeaseEvent, LeaseKeeper, LeaseWrite, PlannerLease, StoredLease,
};
use oatpier_membership::messages::EntryContact;
use oatpier_membership::rendezvous;
use oatpier_placement::demand::{DemandSummary, DemandTotals};
use oatpier_placement::planner::{FleetPlanner, PlacementPlanner, PlannerInput, PlannerSettings};
use oatpier_ports::store::{ExpectedValue, StoreError};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Revision, Term};
use oatpier_types::names::{DaemonName, ZoneName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::links::EntryLinks;
use crate::messages::DemandReport;
use crate::store::StoreClient;
use oatpier_duty::duty::{RingReceiver, RuntimeClock, StopPhase, StopSignal};
use table::{PlanTable, ReadResult, WriteResult};

pub use cache::{PlanCache, PlanMap};
pub use hold::hold_replicas;
pub use oatpier_placement::planner::EndpointView;
pub use snapshot::{FleetSnapshot, PlanGroup};

/// Interval between plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which an entry sends its demand to the planner candidates.
const DEMAND_INTERVAL: Duration = Duration::from_secs(5);
/// How long a new planner drops no replicas: the long window of demand.
const REPLICA_HOLD_TIME: Duration = Duration::from_mins(1);

/// Updates for the planner duty.
#[derive(Debug)]
pub enum PlannerUpdate {
    /// Current state of the fleet.
    Fleet(Box<FleetSnapshot>),
    /// The demand of this entry's callers.
    OwnDemand(DemandSummary),
    /// The demand of another entry's callers.
    PeerDemand(DemandReport),
}

/// Inputs of the planner duty.
pub struct PlannerInputs {
    /// Name of this entry.
    pub own: DaemonName,
    /// Boot ID of this process.
    pub boot: BootId,
    /// Access to the store.
    pub client: Arc<StoreClient>,
    /// Client for calls to other entries.
    pub links: Arc<dyn EntryLinks>,
    /// Planner state that other duties can read.
    pub cache: Arc<PlanCache>,
    /// Updates of fleet state and demand.
    pub updates: RingReceiver<PlannerUpdate>,
    /// Clock of the runtime.
    pub clock: RuntimeClock,
    /// Source of all random choices.
    pub generator: ChaCha8Rng,
    /// Signals the process to stop.
    pub stop: StopSignal,
}

/// Result of a call.
enum PlannerResult {
    Lease(String, LeaseEvent),
    Read(ZoneName, ReadResult),
    Written(ZoneName, WriteResult),
    DemandSent,
}

/// Computes plans while the lease is held, until the process ends.
pub async fn run_planner(inputs: PlannerInputs) {
    let stop = inputs.stop.clone();
    let PlannerInputs {
        own,
        boot,
        client,
        links,
        cache,
        updates,
        clock,
        generator,
        ..
    } = inputs;
    let (groups, group) = watch::channel(None);
    let (plan_client, plan_cache) = (Arc::clone(&client), Arc::clone(&cache));
    let mut duty = PlannerDuty {
        groups,
        own,
        boot,
        client,
        links,
        cache,
        clock,
        generator,
        lease: None,
        planner: PlacementPlanner::new(PlannerSettings::default()),
        snapshot: None,
        demand: DemandTotals::new(),
        table: PlanTable::default(),
        next_plan: clock.now(),
        next_demand_report: clock.now(),
        is_released: false,
        gained_at: ClockTime::ZERO,
        calls: FuturesUnordered::new(),
    };
    tokio::select! {
        () = duty.run(&updates, &stop) => {}
        () = watcher::watch_plans(&plan_client, &plan_cache, group) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct GroupLease {
    key: String,
    keeper: LeaseKeeper,
}

struct PlannerDuty {
    groups: watch::Sender<Option<PlanGroup>>,
    own: DaemonName,
    boot: BootId,
    client: Arc<StoreClient>,
    links: Arc<dyn EntryLinks>,
    cache: Arc<PlanCache>,
    clock: RuntimeClock,
    generator: ChaCha8Rng,
    lease: Option<GroupLease>,
    planner: PlacementPlanner,
    snapshot: Option<FleetSnapshot>,
    demand: DemandTotals,
    table: PlanTable,
    next_plan: ClockTime,
    next_demand_report: ClockTime,
    is_released: bool,
    gained_at: ClockTime,
    calls: FuturesUnordered<BoxFuture<'static, PlannerResult>>,
}

impl PlannerDuty {
    async fn run(&mut self, updates: &RingReceiver<PlannerUpdate>, stop: &StopSignal) {
        loop {
            let wake = self.clock.instant(self.next_wake());
            let is_released = self.is_released;
            tokio::select! {
                update = updates.receive() => match update {
                    Some(update) => self.apply_update(update),
                    None => return,
                },
                Some(end) = self.calls.next() => self.handle_result(end),
                () = tokio::time::sleep_until(wake) => self.handle_lease_event(LeaseEvent::Tick),
                () = stop.reached(StopPhase::Draining), if !is_released => {
                    self.is_released = true;
                    self.handle_lease_event(LeaseEvent::Release);
                }
            }
            self.plan_if_due();
        }
    }

    fn next_wake(&self) -> ClockTime {
        let lease = self.lease.as_ref();
        let lease = lease.map_or(ClockTime::NEVER, |lease| lease.keeper.next_wake());
        lease.min(self.next_plan.max(self.clock.now()))
    }

    fn apply_update(&mut self, update: PlannerUpdate) {
        let now = self.clock.now();
        match update {
            PlannerUpdate::Fleet(snapshot) => self.apply_snapshot(*snapshot),
            PlannerUpdate::OwnDemand(summary) => {
                self.send_demand(&summary, now);
                self.demand.update(self.own.clone(), summary, now);
            }
            PlannerUpdate::PeerDemand(report) => {
                self.demand.update(report.entry, report.summary, now);
            }
        }
    }

    fn apply_snapshot(&mut self, snapshot: FleetSnapshot) {
        let key = snapshot.group.lease_key();
        if self.lease.as_ref().is_none_or(|lease| lease.key != key) {
            let generator = ChaCha8Rng::from_rng(&mut self.generator);
            let now = self.clock.now();
            let keeper = LeaseKeeper::new(self.own.clone(), self.boot, generator, now);
            self.lease = Some(GroupLease { key, keeper });
            self.table = PlanTable::default();
        }
        let is_candidate = is_candidate(&snapshot, &self.own);
        self.groups.send_if_modified(|group| {
            let changed = group.as_ref() != Some(&snapshot.group);
            *group = Some(snapshot.group.clone());
            changed
        });
        self.snapshot = Some(snapshot);
        self.handle_lease_event(LeaseEvent::Candidate(is_candidate));
    }

    /// Sends the demand of this entry's callers to the planner candidates.
    fn send_demand(&mut self, summary: &DemandSummary, now: ClockTime) {
        let Some(snapshot) = self
            .snapshot
            .as_ref()
            .filter(|_| now >= self.next_demand_report)
        else {
            return;
        };
        self.next_demand_report = now + DEMAND_INTERVAL;
        for entry in candidates(snapshot) {
            if entry.daemon == self.own {
                continue;
            }
            let report = DemandReport {
                entry: self.own.clone(),
                summary: summary.clone(),
            };
            // A lost message is harmless: the next one carries the complete demand.
            let sending = self.links.send_demand(entry.address, report);
            self.calls
                .push(sending.map(|_| PlannerResult::DemandSent).boxed());
        }
    }

    fn handle_lease_event(&mut self, event: LeaseEvent) {
        let now = self.clock.now();
        let Some(lease) = self.lease.as_mut() else {
            return;
        };
        let key = lease.key.clone();
        for action in lease.keeper.handle(event, now) {
            match action {
                LeaseAction::Read => {
                    let call = read_lease(Arc::clone(&self.client), key.clone());
                    self.calls.push(call.boxed());
                }
                LeaseAction::Write { lease, expected } => {
                    let call = write_lease(Arc::clone(&self.client), key.clone(), lease, expected);
                    self.calls.push(call.boxed());
                }
                LeaseAction::Gained(term) => {
                    spdlog::info!("this entry is now the planner", kv: { term: = term.0 });
                    self.table = PlanTable::default();
                    self.next_plan = now;
                    self.gained_at = now;
                }
                LeaseAction::Lost(term) => {
                    spdlog::info!("this entry is no longer the planner", kv: { term: = term.0 });
                    self.table = PlanTable::default();
                    self.cache.clear_write();
                }
            }
        }
    }

    fn handle_result(&mut self, end: PlannerResult) {
        match end {
            PlannerResult::Lease(key, event) => {
                // The result of a call for a previous group's lease does not apply to this lease.
                if self.lease.as_ref().is_some_and(|lease| lease.key == key) {
                    self.handle_lease_event(event);
                }
            }
            PlannerResult::Read(zone, read) => self.table.apply_read(&zone, read),
            PlannerResult::Written(zone, write) => {
                if self.table.apply_write(&zone, write) {
                    self.cache.record_write(self.clock.now());
                }
            }
            PlannerResult::DemandSent => {}
        }
    }

    /// Returns the term under which this entry may write now. Returns `None` if the lease expired,
    /// for example while the process was paused.
    fn term(&self) -> Option<Term> {
        let now = self.clock.now();
        self.lease.as_ref()?.keeper.may_act(now)
    }

    fn plan_if_due(&mut self) {
        let now = self.clock.now();
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        let Some(term) = self.term() else {
            return;
        };
        let Some(snapshot) = self.snapshot.take() else {
            return;
        };
        let zones = snapshot.zones();
        for zone in self.table.take_unread(&zones) {
            let call = table::read_plan(Arc::clone(&self.client), zone);
            self.calls.push(call.boxed());
        }
        if self.table.is_known(&zones) {
            self.plan(&snapshot, term, now);
        }
        self.snapshot = Some(snapshot);
    }

    fn plan(&mut self, snapshot: &FleetSnapshot, term: Term, now: ClockTime) {
        let demand = self.demand.total(now);
        let previous = self.table.merged_plan();
        let mut outcome = self.planner.plan(
            &PlannerInput {
                config: &snapshot.config,
                generation: snapshot.generation,
                term,
                demand: &demand,
                endpoints: &snapshot.endpoints,
                previous: previous.as_ref(),
            },
            now,
        );
        if now.since(self.gained_at) < REPLICA_HOLD_TIME {
            hold_replicas(&mut outcome.plan, snapshot, previous.as_ref());
        }
        for note in &outcome.notes {
            spdlog::warn!("placement plan: {note:?}");
        }
        // Checks the term again right before the writes: a planner that was paused during planning
        // writes nothing. If it is paused after this check, the compare-and-swap rejects its write.
        if self.term() != Some(term) {
            return;
        }
        for write in self.table.pending_writes(&outcome.plan, snapshot, term) {
            let call = table::write_plan(Arc::clone(&self.client), write);
            self.calls.push(call.boxed());
        }
    }
}

/// Returns the few entries that compete for the lease and receive demand reports.
fn candidates(snapshot: &FleetSnapshot) -> smallvec::SmallVec<[&EntryContact; 4]> {
    let key = snapshot.group.lease_key();
    rendezvous::choose(&key, &snapshot.entries, LEASE_CANDIDATES, contact_name)
}

fn is_candidate(snapshot: &FleetSnapshot, own: &DaemonName) -> bool {
    let mut candidates = candidates(snapshot).into_iter();
    candidates.any(|entry| entry.daemon == *own)
}

fn contact_name(contact: &EntryContact) -> &str {
    contact.daemon.as_str()
}

async fn read_lease(client: Arc<StoreClient>, key: String) -> PlannerResult {
    let read = client.get(CallKind::PlannerLease, &key).await;
    let read = match read {
        Ok(None) => Ok(None),
        Ok(Some(stored)) => match serde_json::from_slice(&stored.value) {
            Ok(lease) => Ok(Some(StoredLease {
                revision: stored.revision,
                lease,
            })),
            Err(_) => Err(()),
        },
        Err(_) => Err(()),
    };
    PlannerResult::Lease(key, LeaseEvent::Read(read))
}

async fn write_lease(
    client: Arc<StoreClient>,
    key: String,
    lease: PlannerLease,
    expected: Option<Revision>,
) -> PlannerResult {
    let value = serde_json::to_vec(&lease).expect("a lease serializes to JSON");
    let expected = expected.map_or(ExpectedValue::Absent, ExpectedValue::At);
    let kind = CallKind::PlannerLease;
    let written = client.put(kind, &key, Bytes::from(value), expected).await;
    let wrote = match written {
        Ok(revision) => LeaseWrite::Written(revision),
        Err(StoreError::Conflict { .. }) => LeaseWrite::Conflict,
        Err(StoreError::AnswerLost { .. }) => LeaseWrite::AnswerLost,
        Err(_) => LeaseWrite::Failed,
    };
    PlannerResult::Lease(key, LeaseEvent::Wrote(wrote))
}
