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

use crate::engine::SimulatedEngine;
use crate::fleet::{base, fleet};

/// An agent with its engine and store. Tests can respond to its orders and polls themselves.
pub struct AgentHarness {
    pub keeper: OrderKeeper,
    pub config: FleetConfig,
    pub engine: SimulatedEngine,
    pub now: ClockTime,
    pub store: Option<StoredRecord>,
    pub store_down: bool,
}

impl AgentHarness {
    /// Creates an agent that has acquired its epoch and may start orders.
    pub fn ready(checks: bool, config: FleetConfig, memory_mib: u64) -> Self {
        let settings = OrderSettings::new(checks, memory_mib);
        let mut harness = Self {
            keeper: OrderKeeper::new(settings, BootId(1)),
            config,
            engine: SimulatedEngine::new(checks, memory_mib),
            now: ClockTime::ZERO,
            store: None,
            store_down: false,
        };
        harness.run(Duration::from_secs(1));
        assert_eq!(harness.keeper.check_ready(), Ok(()));
        harness
    }

    /// Replaces the agent by its successor on the same endpoint.
    pub fn replace_agent(&mut self, checks: bool, boot: u128) {
        let settings = OrderSettings::new(checks, self.engine.memory_mib);
        self.keeper = OrderKeeper::new(settings, BootId(boot));
    }

    pub fn begin(&mut self, action: OrderAction) -> Result<(), BeginError> {
        self.keeper.begin(action, &self.config, self.now)
    }

    pub fn handle_event(&mut self, event: OrderEvent) {
        self.keeper.on_event(event, &self.config, self.now);
    }

    pub fn answer(&mut self, order: &EngineOrder, outcome: OrderOutcome) {
        let number = order.number;
        self.handle_event(OrderEvent::Answered { number, outcome });
    }

    /// Runs until an order is sent, and returns it for the test to respond to.
    pub fn next_order(&mut self) -> Option<EngineOrder> {
        for _ in 0..100 {
            let mut sent = None;
            for command in self.keeper.commands(&self.config, self.now) {
                match command {
                    OrderCommand::Send(order) => sent = Some(order),
                    other => self.execute(other),
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
    fn next_poll(&mut self) -> PollTicket {
        loop {
            for command in self.keeper.commands(&self.config, self.now) {
                match command {
                    OrderCommand::Poll(ticket) => return ticket,
                    other => self.execute(other),
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
                self.execute(command);
            }
            self.tick();
        }
    }

    pub fn charged_mib(&self) -> u64 {
        self.keeper.ledger().charged_mib(self.now)
    }

    fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(50);
        self.engine.advance(self.now);
    }

    fn execute(&mut self, command: OrderCommand) {
        match command {
            OrderCommand::CallStore(call) => {
                let answer = self.call_store(call);
                self.handle_event(OrderEvent::Record(answer));
            }
            OrderCommand::Send(order) => {
                let outcome = self.engine.take(&order, self.now);
                self.answer(&order, outcome);
            }
            OrderCommand::Poll(ticket) => {
                let state = Box::new(self.engine.state());
                self.handle_event(OrderEvent::Polled { ticket, state });
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
fn load_with_lost_response_stays_charged_and_completes() {
    for checks in [true, false] {
        let mut harness = AgentHarness::ready(checks, config(), 100);
        let (a, b) = (base("a", "v1"), base("b", "v1"));
        harness.begin(load(&a)).unwrap();
        let order = harness.next_order().unwrap();
        harness.answer(&order, OrderOutcome::Unknown);
        assert_eq!(harness.charged_mib(), 60);
        assert!(matches!(
            harness.begin(load(&b)),
            Err(BeginError::NoMemory { .. })
        ));
        let again = harness.next_order().unwrap();
        assert_eq!(again.action, order.action);
        assert_eq!(again.number > order.number, checks);
        harness.engine.take(&again, harness.now);
        harness.answer(&again, OrderOutcome::Accepted);
        harness.run(Duration::from_secs(5));
        assert!(harness.engine.is_ready(&a));
        assert_eq!(
            (harness.charged_mib(), harness.keeper.pending_orders()),
            (60, 0)
        );
    }
}

/// The response to a poll that was issued before a load was accepted arrives afterwards and does
/// not show the load. It gives no evidence of the load, so the memory stays charged.
#[test]
fn older_poll_does_not_complete_newer_order() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    let ticket = harness.next_poll();
    let state = Box::new(harness.engine.state());
    harness.begin(load(&base("a", "v1"))).unwrap();
    let order = harness.next_order().unwrap();
    harness.engine.take(&order, harness.now);
    harness.answer(&order, OrderOutcome::Accepted);
    harness.handle_event(OrderEvent::Polled { ticket, state });
    assert_eq!(harness.charged_mib(), 60);
    assert_eq!(harness.keeper.pending_orders(), 1);
}

/// The store is down. An engine that checks numbers rejects the orders of earlier agents by itself,
/// so its agent continues. Where the engine ignores numbers, a successor could not learn of an
/// order, so none is sent.
#[test]
fn store_outage_stops_orders_only_where_numbers_are_ignored() {
    for checks in [true, false] {
        let mut harness = AgentHarness::ready(checks, config(), 100);
        harness.store_down = true;
        let a = base("a", "v1");
        harness.begin(load(&a)).unwrap();
        harness.run(Duration::from_secs(10));
        assert_eq!(harness.engine.is_ready(&a), checks);
        let next = harness.begin(load(&base("c", "v1")));
        assert_eq!(next.is_ok(), checks);
        harness.store_down = false;
        harness.run(Duration::from_secs(30));
        assert!(harness.engine.is_ready(&a));
    }
}

/// An agent crashes after it has sent a load that reaches the engine late. Its successor finds the
/// intent, charges it, and starts no other load, although the engine does not report the first.
#[test]
fn successor_charges_and_completes_found_intents() {
    let mut harness = AgentHarness::ready(false, config(), 100);
    let a = base("a", "v1");
    harness.begin(load(&a)).unwrap();
    let late = harness.next_order().unwrap();
    harness.replace_agent(false, 2);
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.charged_mib(), 60);
    assert!(harness.begin(load(&base("b", "v1"))).is_err());
    harness.run(Duration::from_secs(5));
    assert!(harness.engine.is_ready(&a));
    harness.engine.take(&late, harness.now);
    assert!(harness.engine.used_mib(&harness.config) <= 100);
}

/// A load and an unload were executed, and a copy of the load is still in flight. Where the engine
/// ignores numbers, the memory stays charged until no copy can arrive any more.
#[test]
fn late_copy_stays_charged_after_unload() {
    let mut harness = AgentHarness::ready(false, config(), 100);
    let a = base("a", "v1");
    harness.begin(load(&a)).unwrap();
    harness.run(Duration::from_secs(5));
    harness.begin(unload(&a)).unwrap();
    harness.run(Duration::from_secs(5));
    assert!(harness.engine.state().held.is_empty());
    assert!(matches!(
        harness.begin(load(&base("b", "v1"))),
        Err(BeginError::NoMemory { .. })
    ));
    assert_eq!(harness.begin(load(&a)), Err(BeginError::LateUnloadPending));
    harness.run(Duration::from_mins(2));
    assert_eq!(harness.begin(load(&base("b", "v1"))), Ok(()));
}

/// An agent was suspended before it sent a load, and resumes concurrently with its successor. The
/// engine checks numbers, and the successor's first order has fenced off the earlier agent, which
/// learns that it is superseded.
#[test]
fn resumed_earlier_agent_is_rejected_and_superseded() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    harness.begin(load(&base("a", "v1"))).unwrap();
    let late = harness.next_order().unwrap();
    let mut earlier = harness.keeper.clone();
    harness.replace_agent(true, 2);
    harness.run(Duration::from_secs(1));
    assert_eq!(harness.keeper.epoch(), EpochState::Acquired(Epoch(2)));
    let outcome = harness.engine.take(&late, harness.now);
    assert!(matches!(outcome, OrderOutcome::Stale { .. }));
    let number = late.number;
    earlier.on_event(
        OrderEvent::Answered { number, outcome },
        &harness.config,
        harness.now,
    );
    assert_eq!(earlier.epoch(), EpochState::Superseded);
    assert_eq!(
        earlier.begin(load(&base("c", "v1")), &harness.config, harness.now),
        Err(BeginError::Superseded)
    );
}

/// The engine rejects a load. The order ends and its memory is free immediately, but the same load
/// cannot be started again at once.
#[test]
fn rejected_load_frees_its_memory() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    let a = base("a", "v1");
    harness.begin(load(&a)).unwrap();
    let order = harness.next_order().unwrap();
    harness.answer(&order, OrderOutcome::Rejected);
    assert_eq!(
        (harness.charged_mib(), harness.keeper.pending_orders()),
        (0, 0)
    );
    assert_eq!(harness.begin(load(&a)), Err(BeginError::RecentlyRejected));
    harness.run(Duration::from_secs(5));
    assert_eq!(harness.begin(load(&a)), Ok(()));
}

/// A load was rejected after an earlier copy of it got no response. That copy may still arrive, so
/// the memory stays charged.
#[test]
fn rejection_after_lost_response_frees_nothing() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    harness.begin(load(&base("a", "v1"))).unwrap();
    let order = harness.next_order().unwrap();
    harness.answer(&order, OrderOutcome::Unknown);
    let again = harness.next_order().unwrap();
    harness.answer(&again, OrderOutcome::Rejected);
    assert_eq!(harness.charged_mib(), 60);
}

/// The engine holds weights that are not configured. Their size is unknown, so nothing is loaded
/// beside them, but they may be unloaded.
#[test]
fn weights_of_unknown_size_charge_all_memory() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    let unconfigured = base("odd", "v9");
    harness.engine.put_ready(&unconfigured);
    harness.run(Duration::from_secs(6));
    assert_eq!(harness.charged_mib(), 100);
    assert!(harness.begin(load(&base("c", "v1"))).is_err());
    harness.begin(unload(&unconfigured)).unwrap();
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.charged_mib(), 0);
}

/// A configuration makes a model smaller while its old copy is loaded. The old size stays charged.
#[test]
fn charge_never_shrinks() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    harness.engine.put_ready(&base("a", "v1"));
    harness.run(Duration::from_secs(6));
    harness.config.models[0].memory_mib = 10;
    harness.run(Duration::from_secs(6));
    assert_eq!(harness.charged_mib(), 60);
}

/// A load whose outcome is unknown is canceled by an unload, which does not reach the engine at
/// first. The engine does not report the load, but it may still arrive. It stays charged until the
/// engine has accepted the unload, after which it rejects the load.
#[test]
fn canceled_load_stays_charged_until_unload_is_accepted() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    let a = base("a", "v1");
    harness.begin(load(&a)).unwrap();
    let late = harness.next_order().unwrap();
    harness.answer(&late, OrderOutcome::Unknown);
    harness.begin(unload(&a)).unwrap();
    let order = harness.next_order().unwrap();
    harness.answer(&order, OrderOutcome::NotSent);
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.charged_mib(), 60);
    harness.run(Duration::from_secs(2));
    assert_eq!(
        (harness.charged_mib(), harness.keeper.pending_orders()),
        (0, 0)
    );
    let outcome = harness.engine.take(&late, harness.now);
    assert!(matches!(outcome, OrderOutcome::Stale { .. }));
}

/// A poll is issued before a load arrives and its unload is accepted, and its response arrives
/// after both. It shows no weights although the engine is still unloading, so the memory stays
/// charged.
#[test]
fn poll_before_accepted_unload_frees_nothing() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    let a = base("a", "v1");
    harness.begin(load(&a)).unwrap();
    let order = harness.next_order().unwrap();
    harness.answer(&order, OrderOutcome::Unknown);
    let ticket = harness.next_poll();
    let state = Box::new(harness.engine.state());
    harness.engine.take(&order, harness.now);
    harness.begin(unload(&a)).unwrap();
    let order = harness.next_order().unwrap();
    harness.engine.take(&order, harness.now);
    harness.answer(&order, OrderOutcome::Accepted);
    harness.handle_event(OrderEvent::Polled { ticket, state });
    assert_eq!(harness.charged_mib(), 60);
}

/// A poll failed, a load completed, and then the response to that poll arrives, without the load.
/// The state from a later poll is kept.
#[test]
fn poll_response_after_later_poll_is_ignored() {
    let mut harness = AgentHarness::ready(true, config(), 100);
    let ticket = harness.next_poll();
    let state = Box::new(harness.engine.state());
    harness.handle_event(OrderEvent::PollFailed { ticket });
    harness.begin(load(&base("a", "v1"))).unwrap();
    harness.run(Duration::from_secs(5));
    harness.handle_event(OrderEvent::Polled { ticket, state });
    assert_eq!(harness.charged_mib(), 60);
}
