//! Tests of turns with a simulated fleet of gateways in front of one endpoint that sets a limit.

use std::time::Duration;

use oatpier_serving::notice::RequestRate;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::turns::{
    HeldTurn, TURN_VALIDITY, TurnAnswer, TurnEstimates, TurnQuery, TurnStep,
};
use rand::RngExt;

use crate::fleet::{ANSWER_WAIT_MS, Fleet, FleetMessage, STEP_MS, USUAL_BOUNDS};
use crate::support::{address, at, endpoint, millis};

/// Window in which the platform counts requests.
const WINDOW_MS: u64 = 4_000;

/// Message about turns between gateways.
#[derive(Debug, Clone, Copy)]
pub enum TurnMessage {
    Ask {
        from: u8,
        id: u64,
        part: PartIndex,
        most_wait: Duration,
        rate: RequestRate,
    },
    Answer {
        id: u64,
        answer: TurnAnswer,
    },
}

/// Request that waits for its turn.
#[derive(Debug, Clone)]
struct TurnRequest {
    arrived_ms: u64,
    max_wait_ms: u64,
    pending: Option<PendingTurn>,
    turn: Option<HeldTurn>,
}

#[derive(Debug, Clone)]
struct PendingTurn {
    id: u64,
    part: PartIndex,
    sent_ms: u64,
}

/// Requests of one gateway for the endpoint, and its estimates of turns.
#[derive(Debug, Default)]
pub struct TurnClient {
    estimates: TurnEstimates,
    /// Limit as known to this gateway; `None` before the endpoint has reported it.
    rate: Option<RequestRate>,
    requests: Vec<TurnRequest>,
}

fn rate(value: f64) -> RequestRate {
    RequestRate::try_from(value).unwrap()
}

impl Fleet {
    /// Reports the endpoint's limit to all gateways.
    fn set_limit(&mut self, value: f64) {
        for gateway in &mut self.gateways {
            gateway.turns.rate = Some(rate(value));
        }
    }

    fn request_turn(&mut self, index: usize, max_wait_ms: u64, now: u64) {
        self.gateways[index].turns.requests.push(TurnRequest {
            arrived_ms: now,
            max_wait_ms,
            pending: None,
            turn: None,
        });
    }

    fn grant_turn(
        &mut self,
        index: usize,
        query: &TurnQuery,
        named: RequestRate,
        now: u64,
    ) -> TurnAnswer {
        let gateway = &mut self.gateways[index];
        if !gateway.leases.holds(query.part, at(now)) {
            return TurnAnswer::NotHeld;
        }
        let limit = gateway.turns.rate.unwrap_or(named);
        let name = endpoint("e1");
        gateway
            .holder
            .grant_turn(query.part, &name, limit, query.max_wait, at(now))
    }

    pub fn receive_turn(&mut self, index: usize, message: TurnMessage, now: u64) {
        match message {
            TurnMessage::Ask {
                from,
                id,
                part,
                most_wait,
                rate,
            } => {
                let number = self.gateways[index].number;
                let query = TurnQuery {
                    part,
                    holder: address(number),
                    max_wait: most_wait,
                };
                let answer = self.grant_turn(index, &query, rate, now);
                let message = FleetMessage::Turn(TurnMessage::Answer { id, answer });
                self.send(number, from, &message, now);
            }
            TurnMessage::Answer { id, answer } => {
                let gateway = &mut self.gateways[index];
                let mut waiting = gateway.turns.requests.iter_mut();
                let waiting = waiting.find(|request| {
                    request
                        .pending
                        .as_ref()
                        .is_some_and(|pending| pending.id == id)
                });
                let Some(request) = waiting else {
                    return;
                };
                let Some((pending, limit)) = request.pending.take().zip(gateway.turns.rate) else {
                    return;
                };
                let holders = gateway.grants.holders_mut();
                request.turn = gateway.turns.estimates.apply_answer(
                    holders,
                    pending.part,
                    answer,
                    limit,
                    at(now),
                );
            }
        }
    }

    pub fn advance_turns(&mut self, index: usize, now: u64) {
        let requests = std::mem::take(&mut self.gateways[index].turns.requests);
        for request in requests {
            if let Some(pending) = self.advance_turn(index, request, now) {
                self.gateways[index].turns.requests.push(pending);
            }
        }
    }

    /// Advances a request. Returns `None` when it is finished.
    fn advance_turn(
        &mut self,
        index: usize,
        mut request: TurnRequest,
        now: u64,
    ) -> Option<TurnRequest> {
        if let Some(turn) = request.turn {
            if at(now) < turn.at {
                return Some(request);
            }
            if turn.is_valid(at(now)) {
                self.counts.sent.push(now);
                return None;
            }
            request.turn = None;
        }
        if let Some(pending) = &request.pending {
            if now < pending.sent_ms + ANSWER_WAIT_MS {
                return Some(request);
            }
            let part = pending.part;
            self.gateways[index]
                .grants
                .holders_mut()
                .note_timeout(part, at(now));
            request.pending = None;
        }
        let left = (request.arrived_ms + request.max_wait_ms).saturating_sub(now);
        loop {
            let gateway = &mut self.gateways[index];
            let limit = gateway.turns.rate?;
            let holders = gateway.grants.holders();
            let step = gateway.turns.estimates.step(holders, millis(left), at(now));
            let TurnStep::Query(query) = step else {
                self.counts.rejected += 1;
                return None;
            };
            if query.holder != address(gateway.number) {
                self.query_remote_turn(index, &mut request, &query, limit, now);
                return Some(request);
            }
            let answer = self.grant_turn(index, &query, limit, now);
            let gateway = &mut self.gateways[index];
            let holders = gateway.grants.holders_mut();
            let estimates = &mut gateway.turns.estimates;
            request.turn = estimates.apply_answer(holders, query.part, answer, limit, at(now));
            if request.turn.is_some() {
                return Some(request);
            }
        }
    }

    fn query_remote_turn(
        &mut self,
        index: usize,
        request: &mut TurnRequest,
        query: &TurnQuery,
        limit: RequestRate,
        now: u64,
    ) {
        let id = self.random.random();
        let number = self.gateways[index].number;
        request.pending = Some(PendingTurn {
            id,
            part: query.part,
            sent_ms: now,
        });
        let mut holders = self.gateways.iter().map(|gateway| gateway.number);
        let holder = holders.find(|number| address(*number) == query.holder);
        let message = TurnMessage::Ask {
            from: number,
            id,
            part: query.part,
            most_wait: query.max_wait,
            rate: limit,
        };
        if let Some(holder) = holder {
            self.send(number, holder, &FleetMessage::Turn(message), now);
        }
    }

    /// Returns the maximum number of requests in any window that begins at `from` or later.
    fn max_sent_in_window(&self, from: u64) -> usize {
        let sent: Vec<u64> = self
            .counts
            .sent
            .iter()
            .copied()
            .filter(|now| *now >= from)
            .collect();
        let in_window = |first: usize| {
            let end = sent[first] + WINDOW_MS;
            sent[first..].iter().take_while(|now| **now <= end).count()
        };
        (0..sent.len()).map(in_window).max().unwrap_or(0)
    }

    fn sent_within(&self, from: u64, to: u64) -> usize {
        let sent = self.counts.sent.iter();
        sent.filter(|now| (from..to).contains(now)).count()
    }
}

/// Returns the number of requests that a limit allows in a window: its rate over the window and the validity of a turn,
/// and one request for each part.
fn max_requests(value: f64) -> f64 {
    let window = millis(WINDOW_MS) + TURN_VALIDITY + millis(100);
    value * window.as_secs_f64() + 3.0
}

fn to_float(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap())
}

/// Callers of all gateways request six times the limit. Datagrams are lost, duplicated and delayed, gateways are
/// killed, frozen and partitioned, and the store is restored from older copies. The endpoint receives too many requests
/// if two gateways grant the same part, if a new holder grants turns that its predecessor granted in advance, or if
/// turns are used after they have expired.
#[test]
fn no_window_exceeds_the_limit_of_the_endpoint() {
    for seed in 0..60 {
        let mut fleet = Fleet::start(seed, 7, USUAL_BOUNDS);
        let value = [0.6, 2.5, 9.0][usize::try_from(seed % 3).unwrap()];
        fleet.set_limit(value);
        for now in (0..90_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now == 5_000 {
                fleet.loss = 0.05;
            }
            if now > 5_000 && fleet.random.random_bool(0.004) {
                fleet.inject_fault(now);
                fleet.set_limit(value);
            }
            for index in 0..fleet.gateways.len() {
                if fleet.random.random_bool(value * 0.01) {
                    let max_wait_ms = fleet.random.random_range(100..2_500);
                    fleet.request_turn(index, max_wait_ms, now);
                }
            }
            fleet.step(now);
        }
        let most = fleet.max_sent_in_window(0);
        assert!(
            to_float(most) <= max_requests(value),
            "seed {seed}: {most} at {value}"
        );
        let least = value * 90.0 * 0.25;
        assert!(
            to_float(fleet.counts.sent.len()) > least,
            "seed {seed}: {}",
            fleet.counts.sent.len()
        );
    }
}

/// Without faults, callers of one gateway or of all gateways request more than the endpoint accepts. With an equal
/// share for each gateway, the endpoint would be mostly idle in the first case.
#[test]
fn an_endpoint_gets_its_full_limit_without_faults() {
    for (seed, value) in (0..).zip([0.6, 2.5, 2.5, 9.0, 40.0]) {
        for is_single in [true, false] {
            let mut fleet = Fleet::start(seed, 8, USUAL_BOUNDS);
            fleet.set_limit(value);
            for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
                if fleet.random.random_bool((value * 0.05).min(1.0)) {
                    let index = if is_single {
                        3
                    } else {
                        fleet.random.random_range(0..8)
                    };
                    fleet.request_turn(index, 1_500, now);
                }
                fleet.step(now);
            }
            let sent = to_float(fleet.sent_within(10_000, 60_000));
            assert!(
                sent >= 0.9 * value * 50.0,
                "{sent} at {value}, is_single: {is_single}"
            );
            let most = fleet.max_sent_in_window(0);
            assert!(
                to_float(most) <= max_requests(value),
                "{most} at {value}, is_single: {is_single}"
            );
        }
    }
}

/// After the limit is lowered, turns that were granted at the old rate are used within two seconds. From then on the
/// endpoint receives no more than the new limit allows.
#[test]
fn a_lowered_limit_holds_once_turns_granted_in_advance_are_used() {
    let mut fleet = Fleet::start(4, 8, USUAL_BOUNDS);
    fleet.set_limit(20.0);
    for now in (0..40_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 20_000 {
            fleet.set_limit(2.5);
        }
        if fleet.random.random_bool(0.6) {
            let index = fleet.random.random_range(0..8);
            fleet.request_turn(index, 2_000, now);
        }
        fleet.step(now);
    }
    let most = fleet.max_sent_in_window(22_300);
    assert!(to_float(most) <= max_requests(2.5), "{most}");
    assert!(fleet.sent_within(25_000, 40_000) >= 34);
}

/// A gateway that is partitioned from all others cannot know what they send, so it sends nothing to the endpoint.
#[test]
fn a_gateway_that_reaches_no_holder_sends_nothing() {
    let mut fleet = Fleet::start(5, 8, USUAL_BOUNDS);
    fleet.set_limit(2.5);
    for now in (0..20_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 5_000 {
            fleet.gateways[6].partitioned_until = u64::MAX;
        }
        if now >= 5_000 && now.is_multiple_of(200) {
            fleet.request_turn(6, 1_000, now);
        }
        fleet.step(now);
    }
    let holds = |part| fleet.gateways[6].leases.holds(part, at(20_000));
    assert!(
        !PartIndex::all().any(holds),
        "the gateway that is cut off holds no part"
    );
    assert_eq!(fleet.counts.sent.len(), 0);
    assert!(fleet.counts.rejected > 50);
}

/// Simulates a gateway whose callers request far more than the endpoint accepts, so that its turns are two seconds in
/// the future. Calls `inject` after twenty seconds.
fn busy_gateway(inject: impl Fn(&mut Fleet, u64)) -> Fleet {
    let mut fleet = Fleet::start(6, 8, USUAL_BOUNDS);
    fleet.set_limit(9.0);
    for now in (0..40_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 20_000 {
            inject(&mut fleet, now);
        }
        if now.is_multiple_of(30) {
            fleet.request_turn(7, 2_000, now);
        }
        fleet.step(now);
    }
    fleet
}

/// A gateway is frozen while its turns expire. If it used them afterwards, they would all be sent at once beside new
/// ones.
#[test]
fn turns_that_expired_while_a_gateway_was_frozen_are_not_used() {
    let fleet = busy_gateway(|fleet, now| fleet.gateways[7].frozen_until = now + 1_900);
    let most = fleet.max_sent_in_window(0);
    assert!(to_float(most) <= max_requests(9.0), "{most}");
    assert!(fleet.sent_within(30_000, 40_000) >= 81);
}

/// All holders restart and lose the turns that they granted in advance. If they granted them again, the endpoint would
/// receive twice its limit for two seconds.
#[test]
fn turns_granted_before_a_restart_of_the_holder_are_not_granted_again() {
    let fleet = busy_gateway(|fleet, now| {
        for index in 0..7 {
            let holds = |part| fleet.gateways[index].leases.holds(part, at(now));
            if PartIndex::all().any(holds) {
                fleet.restart(index, now + 100);
            }
        }
        fleet.set_limit(9.0);
    });
    let most = fleet.max_sent_in_window(0);
    assert!(to_float(most) <= max_requests(9.0), "{most}");
    assert!(fleet.sent_within(30_000, 40_000) >= 81);
}
