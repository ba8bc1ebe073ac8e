//! Keeper of the orders to one engine: starts, sends and charges them.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineOrder, EngineRole, OrderAction, WeightsKey, WeightsState};
use oatpier_types::ids::{BootId, Epoch, OrderNumber};
use smallvec::SmallVec;

use super::track::{OrderSubject, OrderTrack, TrackPhase};
use super::{BeginError, OrderCommand, OrderEvent, OrderSettings, PollTicket, ProofMark};
use crate::ledger::MemoryLedger;
use crate::record::{EpochState, OrderIntent, RecordAnswer, RecordKeeper};

/// Issuer of orders to one engine. See the [module documentation](super).
#[derive(Debug, Clone)]
pub struct OrderKeeper {
    pub(super) settings: OrderSettings,
    pub(super) record: RecordKeeper,
    pub(super) ledger: MemoryLedger,
    pub(super) sequence: u64,
    pub(super) is_fenced: bool,
    pub(super) ready_after: Option<PollTicket>,
    pub(super) tracks: IndexMap<OrderSubject, OrderTrack>,
    pub(super) in_flight: Option<(OrderNumber, OrderSubject)>,
    pub(super) recently_rejected: Vec<(OrderSubject, ClockTime)>,
    pub(super) late_loads: Vec<(OrderIntent, ClockTime)>,
    pub(super) late_unloads: Vec<(OrderIntent, ClockTime)>,
    pub(super) role: Option<EngineRole>,
    pub(super) poll_count: u64,
    pub(super) pending_poll: Option<PollTicket>,
    pub(super) last_poll: PollTicket,
    pub(super) next_poll_at: ClockTime,
    pub(super) epoch_seen_at: PollTicket,
}

impl OrderKeeper {
    /// Creates a keeper for one start of an agent.
    #[must_use]
    pub fn new(settings: OrderSettings, boot: BootId) -> Self {
        Self {
            settings,
            record: RecordKeeper::new(boot),
            ledger: MemoryLedger::new(settings.capacity_mib),
            sequence: 0,
            is_fenced: false,
            ready_after: None,
            tracks: IndexMap::new(),
            in_flight: None,
            recently_rejected: Vec::new(),
            late_loads: Vec::new(),
            late_unloads: Vec::new(),
            role: None,
            poll_count: 0,
            pending_poll: None,
            last_poll: PollTicket::default(),
            next_poll_at: ClockTime::ZERO,
            epoch_seen_at: PollTicket::default(),
        }
    }

    /// Returns the ledger of the engine's memory.
    #[must_use]
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the state of the agent's epoch.
    #[must_use]
    pub fn epoch(&self) -> EpochState {
        self.record.state()
    }

    /// Returns the role that the engine last reported.
    #[must_use]
    pub fn role(&self) -> Option<EngineRole> {
        self.role
    }

    /// Returns whether an order for these weights has an unknown outcome.
    #[must_use]
    pub fn has_pending_order(&self, weights: &WeightsKey) -> bool {
        self.tracks
            .contains_key(&OrderSubject::Weights(weights.clone()))
    }

    /// Returns whether an order for the role has an unknown outcome.
    #[must_use]
    pub fn has_pending_role_order(&self) -> bool {
        self.tracks.contains_key(&OrderSubject::Role)
    }

    /// Returns the number of orders with an unknown outcome.
    #[must_use]
    pub fn pending_orders(&self) -> usize {
        self.tracks.len()
    }

    /// Checks whether any order may be started.
    ///
    /// # Errors
    ///
    /// Returns the reason if no order may be started.
    pub fn check_ready(&self) -> Result<(), BeginError> {
        match self.record.state() {
            EpochState::Superseded => return Err(BeginError::Superseded),
            EpochState::Acquiring => return Err(BeginError::NotReady),
            EpochState::Acquired(_) => {}
        }
        // A state read before earlier agents were fenced off may miss their later changes.
        let known = self
            .ready_after
            .is_some_and(|ticket| self.last_poll > ticket);
        if !known {
            return Err(BeginError::NotReady);
        }
        if !self.settings.checks_numbers && !self.record.is_store_up() {
            return Err(BeginError::StoreDown);
        }
        Ok(())
    }

    /// Returns whether weights are ready here and no order, not even a delayed one, could unload them.
    ///
    /// Does not depend on the store, because an existing replica stays usable during an outage.
    /// Returns false until the agent has acquired its epoch: an earlier agent may be unloading.
    #[must_use]
    pub fn is_stable(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        let started = !matches!(
            self.check_ready(),
            Err(BeginError::NotReady | BeginError::Superseded)
        );
        started
            && self.stays_ready(weights, now)
            && (weights.adapter.is_none() || self.has_stable_base(weights, now))
    }

    /// Returns whether weights are ready and no order could unload them.
    fn stays_ready(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        self.ledger.state_of(weights) == Some(WeightsState::Ready)
            && !self.may_be_unloaded(weights, now)
    }

    /// Returns whether any version of an adapter's base model is ready here and no order could unload it.
    fn has_stable_base(&self, adapter: &WeightsKey, now: ClockTime) -> bool {
        self.ledger.ready().any(|held| {
            let base = held.adapter.is_none() && held.model == adapter.model;
            base && self.stays_ready(held, now)
        })
    }

    /// Requests a new proof that no later agent controls the endpoint, and returns the mark to pass
    /// to [`OrderKeeper::is_confirmed`].
    pub fn request_proof(&mut self, now: ClockTime) -> ProofMark {
        if self.settings.checks_numbers {
            self.next_poll_at = now;
        } else {
            self.record.request_confirmation();
        }
        ProofMark {
            polls: PollTicket(self.poll_count),
            calls: self.record.calls(),
        }
    }

    /// Returns whether this agent's epoch was proven to be current at some point after the mark.
    ///
    /// The proof comes from the engine where it checks numbers, and from the store otherwise.
    #[must_use]
    pub fn is_confirmed(&self, mark: ProofMark) -> bool {
        if self.settings.checks_numbers {
            self.epoch_seen_at > mark.polls
        } else {
            self.record.is_confirmed_after(mark.calls)
        }
    }

    /// Starts an order. The keeper resends it until its outcome is known; callers need not retry.
    ///
    /// An unload may replace a load that waits to be sent or resent. This cancels a load that cannot
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns the reason if the order may not start now. Nothing was ordered.
    pub fn begin(
        &mut self,
        action: OrderAction,
        config: &FleetConfig,
        now: ClockTime,
    ) -> Result<(), BeginError> {
        self.check_ready()?;
        let subject = OrderSubject::of(&action);
        let is_replacing_load = self.can_replace(&subject, &action);
        if self.tracks.contains_key(&subject) && !is_replacing_load {
            return Err(BeginError::InFlight);
        }
        if self
            .recently_rejected
            .iter()
            .any(|(rejected, until)| *rejected == subject && now < *until)
        {
            return Err(BeginError::RecentlyRejected);
        }
        if let OrderAction::Load { weights } = &action {
            self.check_load(weights, config, now)?;
            self.ledger.charge_order(weights, config);
        }
        let number = self.next_number();
        let track = OrderTrack::new(action, number, now, is_replacing_load);
        self.tracks.insert(subject, track);
        Ok(())
    }

    /// Returns the commands to execute now. Call after each event and at [`OrderKeeper::next_wake`].
    pub fn commands(
        &mut self,
        config: &FleetConfig,
        now: ClockTime,
    ) -> SmallVec<[OrderCommand; 3]> {
        let mut commands = SmallVec::new();
        self.remove_expired(now);
        let wanted = self.required_intents();
        let sending = self.tracks.values().any(|track| track.is_due(now));
        let renew = sending && !self.settings.checks_numbers;
        if let Some(call) = self.record.next_call(&wanted, renew, now) {
            commands.push(OrderCommand::CallStore(call));
        }
        self.start_fence(now);
        if let Some(order) = self.next_order(config, now) {
            commands.push(OrderCommand::Send(order));
        }
        if self.pending_poll.is_none() && now >= self.next_poll_at {
            self.poll_count += 1;
            let ticket = PollTicket(self.poll_count);
            self.pending_poll = Some(ticket);
            commands.push(OrderCommand::Poll(ticket));
        }
        commands
    }

    /// Returns when to call [`OrderKeeper::commands`] again if no event occurs before.
    #[must_use]
    pub fn next_wake(&self, now: ClockTime) -> ClockTime {
        let wait = if self.tracks.is_empty() {
            self.settings.idle_poll_interval
        } else {
            self.settings.pending_poll_interval
        };
        now + wait
    }

    /// Processes an event.
    pub fn on_event(&mut self, event: OrderEvent, config: &FleetConfig, now: ClockTime) {
        match event {
            OrderEvent::Record(answer) => self.on_record(answer, config, now),
            OrderEvent::Answered { number, outcome } => self.on_outcome(number, outcome, now),
            OrderEvent::Polled { ticket, state } => self.on_state(ticket, &state, config, now),
            OrderEvent::PollFailed { ticket } => {
                if self.pending_poll == Some(ticket) {
                    self.pending_poll = None;
                    self.next_poll_at = now + self.settings.pending_poll_interval;
                }
            }
        }
    }

    /// Returns whether an order for these weights has an unknown outcome, or a delayed copy of an
    /// unload could still be executed.
    #[must_use]
    pub fn may_be_unloaded(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        self.has_pending_order(weights) || self.has_late_unload(weights, now)
    }

    pub(super) fn own_epoch(&self) -> Option<Epoch> {
        match self.record.state() {
            EpochState::Acquired(epoch) => Some(epoch),
            _ => None,
        }
    }

    fn next_number(&mut self) -> OrderNumber {
        self.sequence += 1;
        OrderNumber {
            epoch: self.own_epoch().unwrap_or_default(),
            sequence: self.sequence,
        }
    }

    fn can_replace(&self, subject: &OrderSubject, action: &OrderAction) -> bool {
        let unload = matches!(action, OrderAction::Unload { .. });
        unload
            && self.tracks.get(subject).is_some_and(|track| {
                track.phase == TrackPhase::Waiting
                    && matches!(track.action, OrderAction::Load { .. })
            })
    }

    fn check_load(
        &self,
        weights: &WeightsKey,
        config: &FleetConfig,
        now: ClockTime,
    ) -> Result<(), BeginError> {
        let needed_mib = config
            .memory_of(weights)
            .ok_or(BeginError::UnknownWeights)?;
        // A delayed unload would remove the replica again at a time when others may rely on it.
        if self.has_late_unload(weights, now) {
            return Err(BeginError::LateUnloadPending);
        }
        if self.ledger.fits(weights, needed_mib, now) {
            return Ok(());
        }
        Err(BeginError::NoMemory {
            needed_mib,
            free_mib: self.ledger.free_mib(now),
        })
    }

    /// Starts the order that fences off earlier agents, where the engine checks numbers.
    ///
    /// An earlier agent's order could reach the engine after this agent has read the engine's state.
    /// Once the engine has accepted one order of the new epoch, it rejects such orders. The order
    /// sets the current role again, which changes nothing.
    fn start_fence(&mut self, now: ClockTime) {
        let wanted = self.settings.checks_numbers && !self.is_fenced && self.own_epoch().is_some();
        if !wanted || self.tracks.contains_key(&OrderSubject::Role) {
            return;
        }
        let Some(role) = self.role else {
            return;
        };
        let number = self.next_number();
        let track = OrderTrack::new(OrderAction::SetRole { role }, number, now, false);
        self.tracks.insert(OrderSubject::Role, track);
    }

    fn next_order(&mut self, config: &FleetConfig, now: ClockTime) -> Option<EngineOrder> {
        if self.in_flight.is_some() || self.own_epoch().is_none() {
            return None;
        }
        let subject = self
            .tracks
            .iter()
            .find(|(_, track)| track.is_due(now) && self.may_send(track, now))
            .map(|(subject, _)| subject.clone())?;
        let needs_new_number = self.settings.checks_numbers;
        let number = if needs_new_number {
            Some(self.next_number())
        } else {
            None
        };
        let track = self.tracks.get_mut(&subject)?;
        track.mark_sent(number);
        let order = track.order();
        self.in_flight = Some((order.number, subject));
        self.record_late_copy(&order, config, now);
        Some(order)
    }

    /// Returns whether an order may be sent now.
    ///
    /// Where the engine ignores numbers, a successor learns of the order only from the store, so the
    /// intent has to be written before the order is sent.
    fn may_send(&self, track: &OrderTrack, now: ClockTime) -> bool {
        self.settings.checks_numbers || self.record.is_written(track.number, now)
    }

    fn on_record(&mut self, answer: RecordAnswer, config: &FleetConfig, now: ClockTime) {
        self.record.on_answer(answer, now);
        let taken = self.own_epoch().is_some() && !self.settings.checks_numbers;
        if taken && self.ready_after.is_none() {
            self.ready_after = Some(PollTicket(self.poll_count));
            self.next_poll_at = now;
        }
        let inherited = self.record.take_inherited();
        if !self.settings.checks_numbers {
            for intent in inherited {
                self.inherit(intent, config, now);
            }
        }
    }
}
