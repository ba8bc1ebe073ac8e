//! Simulated fleet of gateways that hold and query parts of limits. Datagrams are lost, gateways are partitioned,
//! killed and frozen, and the store is restored from older copies.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_serving::message::{QuotaAnswer, QuotaAsk};
use oatpier_serving::quota::bounds::QuotaBounds;
use oatpier_serving::quota::grants::{GrantCache, GrantStep, QueriedParts, UnitsQuery};
use oatpier_serving::quota::holder::{PartAnswer, PartHolder};
use oatpier_serving::quota::lease::{
    ClaimOutcome, ClaimPriority, HolderIdentity, LeaseChange, PartClaim, PartLeases,
};
use oatpier_serving::workspace::quota::{QuotaRule, QuotaUnit};
use oatpier_types::names::WorkspaceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::part_store::PartStore;
use crate::support::{address, at};
use crate::turn_fleet::{TurnClient, TurnMessage};

/// Time between two steps of the simulation.
pub const STEP_MS: u64 = 10;

/// Time after which a request without an answer queries another holder.
pub const ANSWER_WAIT_MS: u64 = 40;

/// Tight bounds that allow hardly more than the limit itself, so that units granted twice are detected.
pub const TIGHT_BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 600.0,
};

/// Bounds with an allowance of several times the largest request, as on the platform.
pub const USUAL_BOUNDS: QuotaBounds = QuotaBounds {
    slack: 3_000.0,
    ..TIGHT_BOUNDS
};

pub const RULE: QuotaRule = QuotaRule {
    rate: 2_000.0,
    burst: 2_000.0,
    unit: QuotaUnit::Requests,
};

pub fn workspace() -> WorkspaceName {
    WorkspaceName::try_from("one").unwrap()
}

/// Request that waits for its units.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    pub units: u64,
    pub queried: QueriedParts,
    pub pending: Option<PendingQuery>,
}

#[derive(Debug, Clone)]
pub struct PendingQuery {
    pub id: u64,
    pub query: UnitsQuery,
    pub sent_ms: u64,
}

pub struct FleetGateway {
    pub number: u8,
    pub leases: PartLeases,
    pub holder: PartHolder,
    pub grants: GrantCache,
    pub bounds: QuotaBounds,
    pub requests: Vec<PendingRequest>,
    pub turns: TurnClient,
    pub inbox: VecDeque<FleetMessage>,
    /// Ends of the gateway's freeze, downtime and disconnection from the store.
    pub frozen_until: u64,
    pub down_until: u64,
    pub no_store_until: u64,
    pub partitioned_until: u64,
    pub read_at: u64,
}

#[derive(Debug, Clone)]
pub enum FleetMessage {
    Ask(u8, QuotaAsk),
    Answer(QuotaAnswer),
    Turn(TurnMessage),
}

/// Message in transit.
pub struct DelayedMessage {
    pub to: u8,
    pub from: u8,
    pub at_ms: u64,
    pub message: FleetMessage,
}

/// Outcomes of requests.
#[derive(Debug, Default)]
pub struct FleetCounts {
    /// Time and number of taken units.
    pub taken: Vec<(u64, u64)>,
    pub exhausted: u64,
    pub no_holder: u64,
    /// Times at which requests were sent to the endpoint that sets a limit.
    pub sent: Vec<u64>,
    /// Number of requests that got no turn.
    pub rejected: u64,
}

pub struct Fleet {
    pub random: ChaCha8Rng,
    pub store: PartStore,
    pub store_copies: VecDeque<(u64, PartStore)>,
    pub gateways: Vec<FleetGateway>,
    pub in_transit: Vec<DelayedMessage>,
    pub loss: f64,
    pub counts: FleetCounts,
}

impl FleetGateway {
    pub fn start(
        number: u8,
        boot: u64,
        first_start: bool,
        started_ms: u64,
        bounds: QuotaBounds,
    ) -> Self {
        Self {
            bounds,
            number,
            leases: PartLeases::new(HolderIdentity {
                address: address(number),
                boot,
                started_at: at(started_ms),
                is_first_start: first_start,
            }),
            holder: PartHolder::default(),
            grants: GrantCache::default(),
            requests: Vec::new(),
            turns: TurnClient::default(),
            inbox: VecDeque::new(),
            frozen_until: 0,
            down_until: 0,
            no_store_until: 0,
            partitioned_until: 0,
            read_at: 0,
        }
    }

    pub fn apply(&mut self, changes: impl IntoIterator<Item = LeaseChange>) {
        for change in changes {
            match change {
                LeaseChange::Begun(begin) => {
                    self.holder
                        .add_part(begin.part, begin.start, begin.free_since);
                }
                LeaseChange::Ended(part) => self.holder.remove_part(part),
            }
        }
        self.grants.holders_mut().set(self.leases.holders());
    }

    pub fn grant(&mut self, query: &UnitsQuery, now: u64) -> PartAnswer {
        if !self.leases.holds(query.part, at(now)) {
            return PartAnswer::NotHeld;
        }
        let params = self.bounds.bucket_params(&RULE);
        self.holder
            .grant_units(query.part, &workspace(), &params, query.wanted, at(now))
    }
}

impl Fleet {
    pub fn start(seed: u64, gateways: u8, bounds: QuotaBounds) -> Self {
        let start = |number| FleetGateway::start(number, u64::from(number), true, 0, bounds);
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: PartStore::default(),
            store_copies: VecDeque::new(),
            gateways: (1..=gateways).map(start).collect(),
            in_transit: Vec::new(),
            loss: 0.0,
            counts: FleetCounts::default(),
        }
    }

    pub fn send(&mut self, from: u8, to: u8, message: &FleetMessage, now: u64) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u64::from(self.random.random_bool(self.loss));
        for _ in 0..copies {
            let max_delay = if self.random.random_bool(self.loss) {
                900
            } else {
                12
            };
            self.in_transit.push(DelayedMessage {
                to,
                from,
                at_ms: now + self.random.random_range(0..max_delay),
                message: message.clone(),
            });
        }
    }

    pub fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|message| message.at_ms <= now);
        self.in_transit = later;
        let due: Vec<DelayedMessage> = due;
        for message in due {
            let is_unreachable = |number: u8| {
                let gateway = &self.gateways[usize::from(number - 1)];
                now < gateway.partitioned_until || now < gateway.down_until
            };
            if !is_unreachable(message.from) && !is_unreachable(message.to) {
                self.gateways[usize::from(message.to - 1)]
                    .inbox
                    .push_back(message.message);
            }
        }
    }

    pub fn step(&mut self, now: u64) {
        if now.is_multiple_of(500) {
            self.store_copies.push_back((now, self.store.clone()));
        }
        self.deliver(now);
        for index in 0..self.gateways.len() {
            let gateway = &self.gateways[index];
            if now >= gateway.frozen_until && now >= gateway.down_until {
                self.run_gateway(index, now);
            }
        }
    }

    pub fn run_gateway(&mut self, index: usize, now: u64) {
        self.sync_with_store(index, now);
        while let Some(message) = self.gateways[index].inbox.pop_front() {
            self.receive(index, message, now);
        }
        self.advance_turns(index, now);
        let requests = std::mem::take(&mut self.gateways[index].requests);
        for request in requests {
            if let Some(pending) = self.advance(index, request, now) {
                self.gateways[index].requests.push(pending);
            }
        }
    }

    pub fn sync_with_store(&mut self, index: usize, now: u64) {
        let gateway = &mut self.gateways[index];
        if now < gateway.no_store_until {
            return;
        }
        if now >= gateway.read_at {
            gateway.read_at = now + 1_300;
            let changes = gateway
                .leases
                .apply_read(&self.store.entries, self.store.era, at(now));
            gateway.apply(changes);
        }
        let priority = ClaimPriority {
            rank: index,
            is_eligible: true,
        };
        if let Some(claim) = gateway.leases.next_claim(priority, at(now)) {
            let outcome = self.write(&claim);
            let gateway = &mut self.gateways[index];
            let change = gateway
                .leases
                .apply_outcome(&claim, outcome, at(now), at(now));
            gateway.apply(change);
        }
    }

    /// Writes a claim. Some writes are executed but not acknowledged, and some are lost.
    pub fn write(&mut self, claim: &PartClaim) -> ClaimOutcome {
        if self.random.random_bool(self.loss) {
            return ClaimOutcome::Failed;
        }
        let outcome = self.store.write(claim);
        if self.random.random_bool(self.loss) {
            return ClaimOutcome::Failed;
        }
        outcome
    }

    pub fn receive(&mut self, index: usize, message: FleetMessage, now: u64) {
        let number = self.gateways[index].number;
        match message {
            FleetMessage::Turn(message) => self.receive_turn(index, message, now),
            FleetMessage::Ask(from, query) => {
                let part_query = UnitsQuery {
                    part: query.part,
                    holder: address(number),
                    wanted: query.wanted,
                };
                let answer = self.gateways[index].grant(&part_query, now);
                let message = FleetMessage::Answer(QuotaAnswer {
                    id: query.id,
                    answer,
                });
                self.send(number, from, &message, now);
            }
            FleetMessage::Answer(answer) => {
                let gateway = &mut self.gateways[index];
                let waiting = gateway.requests.iter_mut().find(|request| {
                    request
                        .pending
                        .as_ref()
                        .is_some_and(|query| query.id == answer.id)
                });
                let Some(pending) = waiting.and_then(|request| request.pending.take()) else {
                    return;
                };
                let lifetime = gateway.bounds.grant_lifetime();
                let asked_at = at(pending.sent_ms);
                gateway.grants.apply_answer(
                    &workspace(),
                    &pending.query,
                    answer.answer,
                    asked_at,
                    lifetime,
                    at(now),
                );
            }
        }
    }

    /// Advances a request. Returns `None` when it is finished.
    pub fn advance(
        &mut self,
        index: usize,
        mut request: PendingRequest,
        now: u64,
    ) -> Option<PendingRequest> {
        if let Some(pending) = &request.pending {
            if now < pending.sent_ms + ANSWER_WAIT_MS {
                return Some(request);
            }
            let part = pending.query.part;
            self.gateways[index]
                .grants
                .holders_mut()
                .note_timeout(part, at(now));
            request.pending = None;
        }
        loop {
            let gateway = &mut self.gateways[index];
            match gateway
                .grants
                .step(&workspace(), request.units, &request.queried, at(now))
            {
                GrantStep::Taken(_) => {
                    self.counts.taken.push((now, request.units));
                    return None;
                }
                GrantStep::Exhausted(_) => {
                    self.counts.exhausted += 1;
                    return None;
                }
                GrantStep::NoHolder => {
                    self.counts.no_holder += 1;
                    return None;
                }
                GrantStep::Query(query) => {
                    request.queried.add(query.part);
                    if query.holder == address(gateway.number) {
                        let answer = gateway.grant(&query, now);
                        let lifetime = gateway.bounds.grant_lifetime();
                        gateway.grants.apply_answer(
                            &workspace(),
                            &query,
                            answer,
                            at(now),
                            lifetime,
                            at(now),
                        );
                        continue;
                    }
                    self.query_remote(index, &mut request, query, now);
                    return Some(request);
                }
            }
        }
    }

    pub fn query_remote(
        &mut self,
        index: usize,
        request: &mut PendingRequest,
        query: UnitsQuery,
        now: u64,
    ) {
        let id = self.random.random();
        let number = self.gateways[index].number;
        let holders = (1..).zip(&self.gateways);
        let holder = holders
            .filter(|(number, _)| address(*number) == query.holder)
            .map(|(number, _)| number)
            .next();
        let message = FleetMessage::Ask(
            number,
            QuotaAsk {
                id,
                part: query.part,
                workspace: workspace(),
                wanted: query.wanted,
            },
        );
        request.pending = Some(PendingQuery {
            id,
            query,
            sent_ms: now,
        });
        if let Some(holder) = holder {
            self.send(number, holder, &message, now);
        }
    }

    pub fn request(&mut self, index: usize, units: u64) {
        self.gateways[index].requests.push(PendingRequest {
            units,
            queried: QueriedParts::default(),
            pending: None,
        });
    }

    /// Injects a random fault.
    pub fn inject_fault(&mut self, now: u64) {
        let index = self.random.random_range(0..self.gateways.len());
        let until = now + self.random.random_range(200..12_000);
        match self.random.random_range(0..7) {
            0 => self.gateways[index].frozen_until = until,
            1 => {
                let outage = self.random.random_range(5_000..45_000);
                self.gateways[index].no_store_until = now + outage;
            }
            2 => self.gateways[index].partitioned_until = until,
            3 | 4 => {
                let starts_at = now + self.random.random_range(100..4_000);
                self.restart(index, starts_at);
            }
            5 => self.restore_store(now),
            _ => {
                for index in 0..self.gateways.len() / 2 {
                    self.gateways[index].partitioned_until = until;
                }
            }
        }
    }

    /// Kills a gateway and starts it again at a later time.
    pub fn restart(&mut self, index: usize, starts_at: u64) {
        let boot = self.random.random();
        let killed = &self.gateways[index];
        let mut restarted =
            FleetGateway::start(killed.number, boot, false, starts_at, killed.bounds);
        restarted.down_until = starts_at;
        restarted.no_store_until = killed.no_store_until;
        self.gateways[index] = restarted;
    }

    pub fn restore_store(&mut self, now: u64) {
        let age = self.random.random_range(500..6_000);
        let copies = self.store_copies.iter().rev();
        let copy = copies.clone().find(|(at, _)| at + age <= now);
        if let Some((_, copy)) = copy.cloned() {
            self.store.restore(&copy);
        }
    }

    pub fn max_used_in_window(&self) -> u64 {
        let window = u64::try_from(TIGHT_BOUNDS.window.as_millis()).unwrap();
        let mut first = 0;
        let mut sum = 0;
        let mut most = 0;
        for (now, units) in &self.counts.taken {
            sum += units;
            while self.counts.taken[first].0 + window < *now {
                sum -= self.counts.taken[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}
