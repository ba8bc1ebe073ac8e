//! The planner duty: makes the placement plan while this entry holds the planner's lease.
//!
//! A group of entries has one planner: a small fleet is one group, in a large one each
//! availability zone is. The plan of each availability zone is a value of its own, changed by
//! compare-and-swap under the lease's term; agents read the one of their availability zone.

mod board;
mod follow;
mod hold;
mod picture;
mod writing;

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
use crate::messages::DemandWord;
use crate::store::StoreGate;
use oatpier_duty::duty::{RingReceiver, RuntimeClock, StopPhase, StopSignal};
use writing::{PlanBook, PlanRead, PlanWrite};

pub use board::{PlanShelf, PlannerBoard};
pub use hold::hold_replicas;
pub use oatpier_placement::planner::EndpointView;
pub use picture::{FleetPicture, PlanGroup};

/// How often a plan is made.
const PLAN_PERIOD: Duration = Duration::from_secs(2);
/// How often an entry tells its demand to those that may plan.
const DEMAND_PERIOD: Duration = Duration::from_secs(5);
/// How long a new planner drops no replicas: the long window of demand.
const HOLD_REPLICAS: Duration = Duration::from_mins(1);

/// News for the planner duty.
#[derive(Debug)]
pub enum PlannerNews {
    /// What there is.
    Fleet(Box<FleetPicture>),
    /// The demand of this entry's callers.
    Own(DemandSummary),
    /// The demand of another entry's callers.
    Demand(DemandWord),
}

/// What the planner duty works on.
pub struct PlannerInputs {
    /// The own name.
    pub own: DaemonName,
    /// The own start.
    pub boot: BootId,
    /// The way to the store.
    pub gate: Arc<StoreGate>,
    /// Calls other entries.
    pub links: Arc<dyn EntryLinks>,
    /// What other duties see of it.
    pub board: Arc<PlannerBoard>,
    /// What there is and what is asked for.
    pub news: RingReceiver<PlannerNews>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// For all random choices.
    pub generator: ChaCha8Rng,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// How a call ended.
enum PlannerEnd {
    Lease(String, LeaseEvent),
    Read(ZoneName, PlanRead),
    Written(ZoneName, PlanWrite),
    Told,
}

/// Plans while the lease is held, until the process ends.
pub async fn planner(inputs: PlannerInputs) {
    let stop = inputs.stop.clone();
    let PlannerInputs {
        own,
        boot,
        gate,
        links,
        board,
        news,
        clock,
        generator,
        ..
    } = inputs;
    let (groups, group) = watch::channel(None);
    let (plan_gate, plan_board) = (Arc::clone(&gate), Arc::clone(&board));
    let mut duty = PlannerDuty {
        groups,
        own,
        boot,
        gate,
        links,
        board,
        clock,
        generator,
        lease: None,
        planner: PlacementPlanner::new(PlannerSettings::default()),
        picture: None,
        demand: DemandTotals::new(),
        book: PlanBook::default(),
        next_plan: clock.now(),
        next_word: clock.now(),
        released: false,
        gained: ClockTime::ZERO,
        calls: FuturesUnordered::new(),
    };
    tokio::select! {
        () = duty.run(&news, &stop) => {}
        () = follow::follow_plans(&plan_gate, &plan_board, group) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct HeldKeeper {
    key: String,
    keeper: LeaseKeeper,
}

struct PlannerDuty {
    groups: watch::Sender<Option<PlanGroup>>,
    own: DaemonName,
    boot: BootId,
    gate: Arc<StoreGate>,
    links: Arc<dyn EntryLinks>,
    board: Arc<PlannerBoard>,
    clock: RuntimeClock,
    generator: ChaCha8Rng,
    lease: Option<HeldKeeper>,
    planner: PlacementPlanner,
    picture: Option<FleetPicture>,
    demand: DemandTotals,
    book: PlanBook,
    next_plan: ClockTime,
    next_word: ClockTime,
    released: bool,
    gained: ClockTime,
    calls: FuturesUnordered<BoxFuture<'static, PlannerEnd>>,
}

impl PlannerDuty {
    async fn run(&mut self, news: &RingReceiver<PlannerNews>, stop: &StopSignal) {
        loop {
            let wake = self.clock.instant(self.next_wake());
            let released = self.released;
            tokio::select! {
                news = news.receive() => match news {
                    Some(news) => self.take(news),
                    None => return,
                },
                Some(end) = self.calls.next() => self.end(end),
                () = tokio::time::sleep_until(wake) => self.lease_event(LeaseEvent::Tick),
                () = stop.reached(StopPhase::Draining), if !released => {
                    self.released = true;
                    self.lease_event(LeaseEvent::Release);
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

    fn take(&mut self, news: PlannerNews) {
        let now = self.clock.now();
        match news {
            PlannerNews::Fleet(picture) => self.take_picture(*picture),
            PlannerNews::Own(summary) => {
                self.tell_demand(&summary, now);
                self.demand.update(self.own.clone(), summary, now);
            }
            PlannerNews::Demand(word) => self.demand.update(word.entry, word.summary, now),
        }
    }

    fn take_picture(&mut self, picture: FleetPicture) {
        let key = picture.group.lease_key();
        if self.lease.as_ref().is_none_or(|lease| lease.key != key) {
            let generator = ChaCha8Rng::from_rng(&mut self.generator);
            let now = self.clock.now();
            let keeper = LeaseKeeper::new(self.own.clone(), self.boot, generator, now);
            self.lease = Some(HeldKeeper { key, keeper });
            self.book = PlanBook::default();
        }
        let is_candidate = is_candidate(&picture, &self.own);
        self.groups.send_if_modified(|group| {
            let changed = group.as_ref() != Some(&picture.group);
            *group = Some(picture.group.clone());
            changed
        });
        self.picture = Some(picture);
        self.lease_event(LeaseEvent::Candidate(is_candidate));
    }

    /// Tells those that may plan what this entry's callers ask for.
    fn tell_demand(&mut self, summary: &DemandSummary, now: ClockTime) {
        let Some(picture) = self.picture.as_ref().filter(|_| now >= self.next_word) else {
            return;
        };
        self.next_word = now + DEMAND_PERIOD;
        for entry in candidates(picture) {
            if entry.daemon == self.own {
                continue;
            }
            let word = DemandWord {
                entry: self.own.clone(),
                summary: summary.clone(),
            };
            // If it is lost, the next word says it all again.
            let telling = self.links.tell_demand(entry.address, word);
            self.calls.push(telling.map(|_| PlannerEnd::Told).boxed());
        }
    }

    fn lease_event(&mut self, event: LeaseEvent) {
        let now = self.clock.now();
        let Some(lease) = self.lease.as_mut() else {
            return;
        };
        let key = lease.key.clone();
        for action in lease.keeper.handle(event, now) {
            match action {
                LeaseAction::Read => {
                    let call = read_lease(Arc::clone(&self.gate), key.clone());
                    self.calls.push(call.boxed());
                }
                LeaseAction::Write { lease, expected } => {
                    let call = write_lease(Arc::clone(&self.gate), key.clone(), lease, expected);
                    self.calls.push(call.boxed());
                }
                LeaseAction::Gained(term) => {
                    spdlog::info!("this entry plans", kv: { term: = term.0 });
                    self.book = PlanBook::default();
                    self.next_plan = now;
                    self.gained = now;
                }
                LeaseAction::Lost(term) => {
                    spdlog::info!("this entry plans no longer", kv: { term: = term.0 });
                    self.book = PlanBook::default();
                    self.board.lost();
                }
            }
        }
    }

    fn end(&mut self, end: PlannerEnd) {
        match end {
            PlannerEnd::Lease(key, event) => {
                // The end of a call for a former group's lease says nothing of this one.
                if self.lease.as_ref().is_some_and(|lease| lease.key == key) {
                    self.lease_event(event);
                }
            }
            PlannerEnd::Read(zone, read) => self.book.take_read(&zone, read),
            PlannerEnd::Written(zone, write) => {
                if self.book.take_write(&zone, write) {
                    self.board.planned(self.clock.now());
                }
            }
            PlannerEnd::Told => {}
        }
    }

    /// The term under which this entry may write now. A holder that was paused gets none.
    fn term(&self) -> Option<Term> {
        let now = self.clock.now();
        self.lease.as_ref()?.keeper.may_act(now)
    }

    fn plan_if_due(&mut self) {
        let now = self.clock.now();
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_PERIOD;
        let Some(term) = self.term() else {
            return;
        };
        let Some(picture) = self.picture.take() else {
            return;
        };
        let zones = picture.zones();
        for zone in self.book.take_unread(&zones) {
            let call = writing::read_plan(Arc::clone(&self.gate), zone);
            self.calls.push(call.boxed());
        }
        if self.book.is_known(&zones) {
            self.plan(&picture, term, now);
        }
        self.picture = Some(picture);
    }

    fn plan(&mut self, picture: &FleetPicture, term: Term, now: ClockTime) {
        let demand = self.demand.total(now);
        let previous = self.book.whole();
        let mut outcome = self.planner.plan(
            &PlannerInput {
                config: &picture.config,
                generation: picture.generation,
                term,
                demand: &demand,
                endpoints: &picture.endpoints,
                previous: previous.as_ref(),
            },
            now,
        );
        if now.since(self.gained) < HOLD_REPLICAS {
            hold_replicas(&mut outcome.plan, picture, previous.as_ref());
        }
        for note in &outcome.notes {
            spdlog::warn!("the plan: {note:?}");
        }
        // Asked again right before the writes: a planner that was paused while it planned writes
        // nothing, and one that is paused from here on is refused by the compare-and-swap.
        if self.term() != Some(term) {
            return;
        }
        for order in self.book.writes(&outcome.plan, picture, term) {
            let call = writing::write_plan(Arc::clone(&self.gate), order);
            self.calls.push(call.boxed());
        }
    }
}

/// The few entries that wait for the lease, and are told of demand.
fn candidates(picture: &FleetPicture) -> smallvec::SmallVec<[&EntryContact; 4]> {
    let key = picture.group.lease_key();
    rendezvous::choose(&key, &picture.entries, LEASE_CANDIDATES, contact_name)
}

fn is_candidate(picture: &FleetPicture, own: &DaemonName) -> bool {
    let mut candidates = candidates(picture).into_iter();
    candidates.any(|entry| entry.daemon == *own)
}

fn contact_name(contact: &EntryContact) -> &str {
    contact.daemon.as_str()
}

async fn read_lease(gate: Arc<StoreGate>, key: String) -> PlannerEnd {
    let read = gate.get(CallKind::PlannerLease, &key).await;
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
    PlannerEnd::Lease(key, LeaseEvent::Read(read))
}

async fn write_lease(
    gate: Arc<StoreGate>,
    key: String,
    lease: PlannerLease,
    expected: Option<Revision>,
) -> PlannerEnd {
    let value = serde_json::to_vec(&lease).expect("a lease has a form in JSON");
    let expected = expected.map_or(ExpectedValue::Absent, ExpectedValue::At);
    let kind = CallKind::PlannerLease;
    let written = gate.put(kind, &key, Bytes::from(value), expected).await;
    let wrote = match written {
        Ok(revision) => LeaseWrite::Written(revision),
        Err(StoreError::Conflict { .. }) => LeaseWrite::Conflict,
        Err(StoreError::AnswerLost { .. }) => LeaseWrite::AnswerLost,
        Err(_) => LeaseWrite::Failed,
    };
    PlannerEnd::Lease(key, LeaseEvent::Wrote(wrote))
}
