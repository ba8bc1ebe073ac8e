//! Tests of the orders of one agent, step by step.

use std::time::Duration;

use oatpier_placement::orders::{
    BeginError, OrderCommand, OrderEvent, OrderKeeper, OrderOutcome, OrderSettings, PollTicket,
};
use oatpier_placement::record::{EpochState, RecordAnswer, RecordCall, StoredRecord};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineOrder, OrderAction, WeightsKey};
use oatpier_types::ids::{BootId, Epoch, Revision};

use crate::engine::ModelEngine;
use crate::fleet::{base, fleet};

/// An agent with its engine and store. Tests can respond to its orders and polls themselves.
pub struct Desk {
    pub keeper: OrderKeeper,
    pub config: FleetConfig,
    pub engine: ModelEngine,
    pub now: ClockTime,
    pub store: Option<StoredRecord>,
    pub store_down: bool,
}

impl Desk {
    /// Creates an agent that has acquired its epoch and may start orders.
    pub fn ready(checks: bool, config: FleetConfig, memory_mib: u64) -> Self {
        let settings = OrderSettings::new(checks, memory_mib);
        let mut desk = Self {
            keeper: OrderKeeper::new(settings, BootId(1)),
            config,
            engine: ModelEngine::new(checks, memory_mib),
            now: ClockTime::ZERO,
            store: None,
            store_down: false,
        };
        desk.run(Duration::from_secs(1));
        assert_eq!(desk.keeper.check_ready(), Ok(()));
        desk
    }

    /// Replaces the agent by its successor on the same endpoint.
    pub fn successor(&mut self, checks: bool, boot: u128) {
        let settings = OrderSettings::new(checks, self.engine.memory_mib);
        self.keeper = OrderKeeper::new(settings, BootId(boot));
    }

    pub fn begin(&mut self, action: OrderAction) -> Result<(), BeginError> {
        self.keeper.begin(action, &self.config, self.now)
    }

    pub fn tell(&mut self, event: OrderEvent) {
        self.keeper.on_event(event, &self.config, self.now);
    }

    pub fn answer(&mut self, order: &EngineOrder, outcome: OrderOutcome) {
        let number = order.number;
        self.tell(OrderEvent::Answered { number, outcome });
    }

    /// Runs until an order is sent, and returns it for the test to respond to.
    pub fn sent(&mut self) -> Option<EngineOrder> {
        for _ in 0..100 {
            let mut sent = None;
            for command in self.keeper.commands(&self.config, self.now) {
                match command {
                    OrderCommand::Send(order) => sent = Some(order),
                    other => self.serve(other),
                }
            }
            if sent.is_some() {
                return sent;
            }
            self.tick();
        }
        None
    }

    /// Runs until a poll is issued, and returns it for the test to respond to.
    fn polled(&mut self) -> PollTicket {
        loop {
            for command in self.keeper.commands(&self.config, self.now) {
                match command {
                    OrderCommand::Poll(ticket) => return ticket,
                    other => self.serve(other),
                }
            }
            self.tick();
        }
    }

    /// Runs with correct responses to all commands.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for command in self.keeper.commands(&self.config, self.now) {
                self.serve(command);
            }
            self.tick();
        }
    }

    pub fn charged(&self) -> u64 {
        self.keeper.ledger().charged_mib(self.now)
    }

    fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(50);
        self.engine.advance(self.now);
    }

    fn serve(&mut self, command: OrderCommand) {
        match command {
            OrderCommand::CallStore(call) => {
                let answer = self.call_store(call);
                self.tell(OrderEvent::Record(answer));
            }
            OrderCommand::Send(order) => {
                let outcome = self.engine.take(&order, self.now);
                self.answer(&order, outcome);
            }
            OrderCommand::Poll(ticket) => {
                let state = Box::new(self.engine.state());
                self.tell(OrderEvent::Polled { ticket, state });
            }
        }
    }

    fn call_store(&mut self, call: RecordCall) -> RecordAnswer {
        if self.store_down {
            return RecordAnswer::Unavailable;
        }
        let RecordCall::Write { record, expected } = call else {
            return RecordAnswer::Found(self.store.clone());
        };
        let current = self.store.as_ref().map(|stored| stored.revision);
        if current != expected {
            return RecordAnswer::Conflict;
        }
        let revision = Revision(current.unwrap_or_default().0 + 1);
        self.store = Some(StoredRecord { record, revision });
        RecordAnswer::Written(revision)
    }
}

pub fn load(weights: &WeightsKey) -> OrderAction {
    OrderAction::Load {
        weights: weights.clone(),
    }
}

pub fn unload(weights: &WeightsKey) -> OrderAction {
    OrderAction::Unload {
        weights: weights.clone(),
    }
}

fn config() -> FleetConfig {
    fleet(1, 100, &[("a", 60), ("b", 60), ("c", 30)])
}

/// The response to a load is lost, and the agent does not know whether the engine accepted it. A
/// second load that does not fit beside the first must wait, because both could be in memory. The
/// first load is sent again until the engine reports it.
#[test]
fn a_lost_load_stays_charged_and_is_finished() {
    for checks in [true, false] {
        let mut desk = Desk::ready(checks, config(), 100);
        let (a, b) = (base("a", "v1"), base("b", "v1"));
        desk.begin(load(&a)).unwrap();
        let order = desk.sent().unwrap();
        desk.answer(&order, OrderOutcome::Unknown);
        assert_eq!(desk.charged(), 60);
        assert!(matches!(
            desk.begin(load(&b)),
            Err(BeginError::NoMemory { .. })
        ));
        let again = desk.sent().unwrap();
        assert_eq!(again.action, order.action);
        assert_eq!(again.number > order.number, checks);
        desk.engine.take(&again, desk.now);
        desk.answer(&again, OrderOutcome::Taken);
        desk.run(Duration::from_secs(5));
        assert!(desk.engine.is_ready(&a));
        assert_eq!((desk.charged(), desk.keeper.moving()), (60, 0));
    }
}

/// The response to a poll that was issued before a load was accepted arrives afterwards and does
/// not show the load. It gives no evidence of the load, so the memory stays charged.
#[test]
fn an_older_poll_says_nothing_of_a_newer_order() {
    let mut desk = Desk::ready(true, config(), 100);
    let ticket = desk.polled();
    let state = Box::new(desk.engine.state());
    desk.begin(load(&base("a", "v1"))).unwrap();
    let order = desk.sent().unwrap();
    desk.engine.take(&order, desk.now);
    desk.answer(&order, OrderOutcome::Taken);
    desk.tell(OrderEvent::Polled { ticket, state });
    assert_eq!(desk.charged(), 60);
    assert_eq!(desk.keeper.moving(), 1);
}

/// The store is down. An engine that checks numbers rejects the orders of earlier agents by itself,
/// so its agent continues. Where the engine ignores numbers, a successor could not learn of an
/// order, so none is sent.
#[test]
fn a_store_outage_stops_moves_only_where_numbers_are_ignored() {
    for checks in [true, false] {
        let mut desk = Desk::ready(checks, config(), 100);
        desk.store_down = true;
        let a = base("a", "v1");
        desk.begin(load(&a)).unwrap();
        desk.run(Duration::from_secs(10));
        assert_eq!(desk.engine.is_ready(&a), checks);
        let next = desk.begin(load(&base("c", "v1")));
        assert_eq!(next.is_ok(), checks);
        desk.store_down = false;
        desk.run(Duration::from_secs(30));
        assert!(desk.engine.is_ready(&a));
    }
}

/// An agent crashes after it has sent a load that reaches the engine late. Its successor finds the
/// intent, charges it, and starts no other load, although the engine does not report the first.
#[test]
fn a_successor_charges_and_finishes_the_intents_it_finds() {
    let mut desk = Desk::ready(false, config(), 100);
    let a = base("a", "v1");
    desk.begin(load(&a)).unwrap();
    let late = desk.sent().unwrap();
    desk.successor(false, 2);
    desk.run(Duration::from_millis(300));
    assert_eq!(desk.charged(), 60);
    assert!(desk.begin(load(&base("b", "v1"))).is_err());
    desk.run(Duration::from_secs(5));
    assert!(desk.engine.is_ready(&a));
    desk.engine.take(&late, desk.now);
    assert!(desk.engine.used_mib(&desk.config) <= 100);
}

/// A load and an unload were executed, and a copy of the load is still in flight. Where the engine
/// ignores numbers, the memory stays charged until no copy can arrive any more.
#[test]
fn memory_of_a_late_copy_stays_charged_after_the_unload() {
    let mut desk = Desk::ready(false, config(), 100);
    let a = base("a", "v1");
    desk.begin(load(&a)).unwrap();
    desk.run(Duration::from_secs(5));
    desk.begin(unload(&a)).unwrap();
    desk.run(Duration::from_secs(5));
    assert!(desk.engine.state().held.is_empty());
    assert!(matches!(
        desk.begin(load(&base("b", "v1"))),
        Err(BeginError::NoMemory { .. })
    ));
    assert_eq!(desk.begin(load(&a)), Err(BeginError::UnloadMayAct));
    desk.run(Duration::from_mins(2));
    assert_eq!(desk.begin(load(&base("b", "v1"))), Ok(()));
}

/// An agent was suspended before it sent a load, and resumes concurrently with its successor. The
/// engine checks numbers, and the successor's first order has fenced off the earlier agent, which
/// learns that it is superseded.
#[test]
fn a_woken_former_agent_is_refused_and_ends() {
    let mut desk = Desk::ready(true, config(), 100);
    desk.begin(load(&base("a", "v1"))).unwrap();
    let late = desk.sent().unwrap();
    let mut former = desk.keeper.clone();
    desk.successor(true, 2);
    desk.run(Duration::from_secs(1));
    assert_eq!(desk.keeper.epoch(), EpochState::Taken(Epoch(2)));
    let outcome = desk.engine.take(&late, desk.now);
    assert!(matches!(outcome, OrderOutcome::Stale { .. }));
    let number = late.number;
    former.on_event(
        OrderEvent::Answered { number, outcome },
        &desk.config,
        desk.now,
    );
    assert_eq!(former.epoch(), EpochState::Superseded);
    assert_eq!(
        former.begin(load(&base("c", "v1")), &desk.config, desk.now),
        Err(BeginError::Superseded)
    );
}

/// The engine rejects a load. The order ends and its memory is free immediately, but the same load
/// cannot be started again at once.
#[test]
fn a_refused_load_frees_its_memory() {
    let mut desk = Desk::ready(true, config(), 100);
    let a = base("a", "v1");
    desk.begin(load(&a)).unwrap();
    let order = desk.sent().unwrap();
    desk.answer(&order, OrderOutcome::Refused);
    assert_eq!((desk.charged(), desk.keeper.moving()), (0, 0));
    assert_eq!(desk.begin(load(&a)), Err(BeginError::JustRefused));
    desk.run(Duration::from_secs(5));
    assert_eq!(desk.begin(load(&a)), Ok(()));
}

/// A load was rejected after an earlier copy of it got no response. That copy may still arrive, so
/// the memory stays charged.
#[test]
fn a_refusal_after_a_lost_answer_frees_nothing() {
    let mut desk = Desk::ready(true, config(), 100);
    desk.begin(load(&base("a", "v1"))).unwrap();
    let order = desk.sent().unwrap();
    desk.answer(&order, OrderOutcome::Unknown);
    let again = desk.sent().unwrap();
    desk.answer(&again, OrderOutcome::Refused);
    assert_eq!(desk.charged(), 60);
}

/// The engine holds weights that are not configured. Their size is unknown, so nothing is loaded
/// beside them, but they may be unloaded.
#[test]
fn weights_of_unknown_size_take_all_memory() {
    let mut desk = Desk::ready(true, config(), 100);
    let odd = base("odd", "v9");
    desk.engine.put_ready(&odd);
    desk.run(Duration::from_secs(6));
    assert_eq!(desk.charged(), 100);
    assert!(desk.begin(load(&base("c", "v1"))).is_err());
    desk.begin(unload(&odd)).unwrap();
    desk.run(Duration::from_secs(3));
    assert_eq!(desk.charged(), 0);
}

/// A configuration makes a model smaller while its old copy is loaded. The old size stays charged.
#[test]
fn a_charge_never_shrinks_while_it_stands() {
    let mut desk = Desk::ready(true, config(), 100);
    desk.engine.put_ready(&base("a", "v1"));
    desk.run(Duration::from_secs(6));
    desk.config.models[0].memory_mib = 10;
    desk.run(Duration::from_secs(6));
    assert_eq!(desk.charged(), 60);
}

/// A load whose outcome is unknown is canceled by an unload, which does not reach the engine at
/// first. The engine does not report the load, but it may still arrive. It stays charged until the
/// engine has accepted the unload, after which it rejects the load.
#[test]
fn a_load_that_is_given_up_stays_charged_until_the_unload_is_taken() {
    let mut desk = Desk::ready(true, config(), 100);
    let a = base("a", "v1");
    desk.begin(load(&a)).unwrap();
    let late = desk.sent().unwrap();
    desk.answer(&late, OrderOutcome::Unknown);
    desk.begin(unload(&a)).unwrap();
    let order = desk.sent().unwrap();
    desk.answer(&order, OrderOutcome::NotSent);
    desk.run(Duration::from_millis(300));
    assert_eq!(desk.charged(), 60);
    desk.run(Duration::from_secs(2));
    assert_eq!((desk.charged(), desk.keeper.moving()), (0, 0));
    let outcome = desk.engine.take(&late, desk.now);
    assert!(matches!(outcome, OrderOutcome::Stale { .. }));
}

/// A poll is issued before a load arrives and its unload is accepted, and its response arrives
/// after both. It shows no weights although the engine is still unloading, so the memory stays
/// charged.
#[test]
fn a_poll_asked_before_an_unload_was_taken_frees_nothing() {
    let mut desk = Desk::ready(true, config(), 100);
    let a = base("a", "v1");
    desk.begin(load(&a)).unwrap();
    let order = desk.sent().unwrap();
    desk.answer(&order, OrderOutcome::Unknown);
    let ticket = desk.polled();
    let state = Box::new(desk.engine.state());
    desk.engine.take(&order, desk.now);
    desk.begin(unload(&a)).unwrap();
    let order = desk.sent().unwrap();
    desk.engine.take(&order, desk.now);
    desk.answer(&order, OrderOutcome::Taken);
    desk.tell(OrderEvent::Polled { ticket, state });
    assert_eq!(desk.charged(), 60);
}

/// A poll failed, a load completed, and then the response to that poll arrives, without the load.
/// The state from a later poll is kept.
#[test]
fn a_poll_answered_after_a_later_one_is_ignored() {
    let mut desk = Desk::ready(true, config(), 100);
    let ticket = desk.polled();
    let state = Box::new(desk.engine.state());
    desk.tell(OrderEvent::PollFailed { ticket });
    desk.begin(load(&base("a", "v1"))).unwrap();
    desk.run(Duration::from_secs(5));
    desk.tell(OrderEvent::Polled { ticket, state });
    assert_eq!(desk.charged(), 60);
}
