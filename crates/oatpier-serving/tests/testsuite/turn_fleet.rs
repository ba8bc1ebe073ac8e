//! A fleet of gateways before one endpoint that names a limit.

use std::time::Duration;

use oatpier_serving::notice::RequestRate;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::turns::{
    HeldTurn, TURN_LIFE, TurnAnswer, TurnEstimates, TurnQuery, TurnStep,
};
use rand::RngExt;

use crate::fleet::{ANSWER_WAIT_MS, Fleet, FleetWord, STEP_MS, USUAL};
use crate::support::{address, at, endpoint, millis};

/// The window over which the platform counts.
const WINDOW_MS: u64 = 4_000;

/// What a gateway tells another one about turns.
#[derive(Debug, Clone, Copy)]
pub enum TurnWord {
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

/// A request that waits for its turn.
#[derive(Debug, Clone)]
struct TurnRequest {
    arrived: u64,
    patience: u64,
    ask: Option<OpenTurn>,
    turn: Option<HeldTurn>,
}

#[derive(Debug, Clone)]
struct OpenTurn {
    id: u64,
    part: PartIndex,
    sent_ms: u64,
}

/// One gateway's requests for the endpoint, and what it knows of its turns.
#[derive(Debug, Default)]
pub struct TurnDesk {
    estimates: TurnEstimates,
    /// The limit as this gateway knows it; none before it was told.
    rate: Option<RequestRate>,
    requests: Vec<TurnRequest>,
}

fn rate(value: f64) -> RequestRate {
    RequestRate::try_from(value).unwrap()
}

impl Fleet {
    /// The endpoint has told all gateways its limit.
    fn name_limit(&mut self, value: f64) {
        for gateway in &mut self.gateways {
            gateway.turns.rate = Some(rate(value));
        }
    }

    fn want_turn(&mut self, place: usize, patience: u64, now: u64) {
        self.gateways[place].turns.requests.push(TurnRequest {
            arrived: now,
            patience,
            ask: None,
            turn: None,
        });
    }

    fn give_turn(
        &mut self,
        place: usize,
        query: &TurnQuery,
        named: RequestRate,
        now: u64,
    ) -> TurnAnswer {
        let gateway = &mut self.gateways[place];
        if !gateway.tenure.holds(query.part, at(now)) {
            return TurnAnswer::NotHeld;
        }
        let limit = gateway.turns.rate.unwrap_or(named);
        let name = endpoint("e1");
        gateway
            .holder
            .give_turn(query.part, &name, limit, query.most_wait, at(now))
    }

    pub fn hear_turn(&mut self, place: usize, word: TurnWord, now: u64) {
        match word {
            TurnWord::Ask {
                from,
                id,
                part,
                most_wait,
                rate,
            } => {
                let number = self.gateways[place].number;
                let query = TurnQuery {
                    part,
                    holder: address(number),
                    most_wait,
                };
                let answer = self.give_turn(place, &query, rate, now);
                let word = FleetWord::Turn(TurnWord::Answer { id, answer });
                self.send(number, from, &word, now);
            }
            TurnWord::Answer { id, answer } => {
                let gateway = &mut self.gateways[place];
                let mut waiting = gateway.turns.requests.iter_mut();
                let waiting =
                    waiting.find(|request| request.ask.as_ref().is_some_and(|ask| ask.id == id));
                let Some(request) = waiting else {
                    return;
                };
                let Some((open, limit)) = request.ask.take().zip(gateway.turns.rate) else {
                    return;
                };
                let holders = gateway.grants.holders_mut();
                request.turn =
                    gateway
                        .turns
                        .estimates
                        .take_answer(holders, open.part, answer, limit, at(now));
            }
        }
    }

    pub fn advance_turns(&mut self, place: usize, now: u64) {
        let requests = std::mem::take(&mut self.gateways[place].turns.requests);
        for request in requests {
            if let Some(open) = self.advance_turn(place, request, now) {
                self.gateways[place].turns.requests.push(open);
            }
        }
    }

    /// What a request does now; none when it is over.
    fn advance_turn(
        &mut self,
        place: usize,
        mut request: TurnRequest,
        now: u64,
    ) -> Option<TurnRequest> {
        if let Some(turn) = request.turn {
            if at(now) < turn.at {
                return Some(request);
            }
            if turn.is_valid(at(now)) {
                self.count.sent.push(now);
                return None;
            }
            request.turn = None;
        }
        if let Some(open) = &request.ask {
            if now < open.sent_ms + ANSWER_WAIT_MS {
                return Some(request);
            }
            let part = open.part;
            self.gateways[place]
                .grants
                .holders_mut()
                .note_silence(part, at(now));
            request.ask = None;
        }
        let left = (request.arrived + request.patience).saturating_sub(now);
        loop {
            let gateway = &mut self.gateways[place];
            let limit = gateway.turns.rate?;
            let holders = gateway.grants.holders();
            let step = gateway.turns.estimates.step(holders, millis(left), at(now));
            let TurnStep::Ask(query) = step else {
                self.count.turned_away += 1;
                return None;
            };
            if query.holder != address(gateway.number) {
                self.ask_for_turn(place, &mut request, &query, limit, now);
                return Some(request);
            }
            let answer = self.give_turn(place, &query, limit, now);
            let gateway = &mut self.gateways[place];
            let holders = gateway.grants.holders_mut();
            let estimates = &mut gateway.turns.estimates;
            request.turn = estimates.take_answer(holders, query.part, answer, limit, at(now));
            if request.turn.is_some() {
                return Some(request);
            }
        }
    }

    fn ask_for_turn(
        &mut self,
        place: usize,
        request: &mut TurnRequest,
        query: &TurnQuery,
        limit: RequestRate,
        now: u64,
    ) {
        let id = self.random.random();
        let number = self.gateways[place].number;
        request.ask = Some(OpenTurn {
            id,
            part: query.part,
            sent_ms: now,
        });
        let mut holders = self.gateways.iter().map(|gateway| gateway.number);
        let holder = holders.find(|number| address(*number) == query.holder);
        let word = TurnWord::Ask {
            from: number,
            id,
            part: query.part,
            most_wait: query.most_wait,
            rate: limit,
        };
        if let Some(holder) = holder {
            self.send(number, holder, &FleetWord::Turn(word), now);
        }
    }

    /// The most requests that the endpoint got in some window that begins at `from` or later.
    fn most_sent(&self, from: u64) -> usize {
        let sent: Vec<u64> = self
            .count
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
        let sent = self.count.sent.iter();
        sent.filter(|now| (from..to).contains(now)).count()
    }
}

/// What a limit allows in a window: its rate over the window and the time for which a turn counts, and one request for
/// each part.
fn allowed(value: f64) -> f64 {
    let window = millis(WINDOW_MS) + TURN_LIFE + millis(100);
    value * window.as_secs_f64() + 3.0
}

fn as_count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap())
}

/// Callers ask for six times the limit at all gateways, while datagrams are lost, doubled and late, gateways are
/// killed, frozen and cut off, and the store comes back from older copies. The endpoint gets more than it takes where
/// two gateways give the same part, where one that has just taken a part over gives turns that its last holder gave
/// ahead, or where turns that were not used in time are used later.
#[test]
fn no_window_has_more_requests_than_the_endpoint_takes() {
    for seed in 0..60 {
        let mut fleet = Fleet::start(seed, 7, USUAL);
        let value = [0.6, 2.5, 9.0][usize::try_from(seed % 3).unwrap()];
        fleet.name_limit(value);
        for now in (0..90_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now == 5_000 {
                fleet.loss = 0.05;
            }
            if now > 5_000 && fleet.random.random_bool(0.004) {
                fleet.disturb(now);
                fleet.name_limit(value);
            }
            for place in 0..fleet.gateways.len() {
                if fleet.random.random_bool(value * 0.01) {
                    let patience = fleet.random.random_range(100..2_500);
                    fleet.want_turn(place, patience, now);
                }
            }
            fleet.step(now);
        }
        let most = fleet.most_sent(0);
        assert!(
            as_count(most) <= allowed(value),
            "seed {seed}: {most} at {value}"
        );
        let least = value * 90.0 * 0.25;
        assert!(
            as_count(fleet.count.sent.len()) > least,
            "seed {seed}: {}",
            fleet.count.sent.len()
        );
    }
}

/// Nothing is cut, and callers ask for more than the endpoint takes, at one gateway or at all. An even share for each
/// gateway would leave the endpoint idle in the first case.
#[test]
fn an_endpoint_gets_what_it_takes_while_nothing_is_cut() {
    for (seed, value) in (0..).zip([0.6, 2.5, 2.5, 9.0, 40.0]) {
        for lone in [true, false] {
            let mut fleet = Fleet::start(seed, 8, USUAL);
            fleet.name_limit(value);
            for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
                if fleet.random.random_bool((value * 0.05).min(1.0)) {
                    let place = if lone {
                        3
                    } else {
                        fleet.random.random_range(0..8)
                    };
                    fleet.want_turn(place, 1_500, now);
                }
                fleet.step(now);
            }
            let sent = as_count(fleet.sent_within(10_000, 60_000));
            assert!(
                sent >= 0.9 * value * 50.0,
                "{sent} at {value}, lone: {lone}"
            );
            let most = fleet.most_sent(0);
            assert!(
                as_count(most) <= allowed(value),
                "{most} at {value}, lone: {lone}"
            );
        }
    }
}

/// The limit falls, and turns at the old pace lie ahead. They are used within two seconds; after that the endpoint gets
/// what the new limit allows.
#[test]
fn a_limit_that_falls_holds_once_the_turns_ahead_are_used() {
    let mut fleet = Fleet::start(4, 8, USUAL);
    fleet.name_limit(20.0);
    for now in (0..40_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 20_000 {
            fleet.name_limit(2.5);
        }
        if fleet.random.random_bool(0.6) {
            let place = fleet.random.random_range(0..8);
            fleet.want_turn(place, 2_000, now);
        }
        fleet.step(now);
    }
    let most = fleet.most_sent(22_300);
    assert!(as_count(most) <= allowed(2.5), "{most}");
    assert!(fleet.sent_within(25_000, 40_000) >= 34);
}

/// The gateway that asks is cut off from all others: it can't know what they send, and sends the endpoint nothing.
#[test]
fn a_gateway_that_reaches_no_holder_sends_nothing() {
    let mut fleet = Fleet::start(5, 8, USUAL);
    fleet.name_limit(2.5);
    for now in (0..20_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 5_000 {
            fleet.gateways[6].cut_until = u64::MAX;
        }
        if now >= 5_000 && now.is_multiple_of(200) {
            fleet.want_turn(6, 1_000, now);
        }
        fleet.step(now);
    }
    let holds = |part| fleet.gateways[6].tenure.holds(part, at(20_000));
    assert!(
        !PartIndex::all().any(holds),
        "the gateway that is cut off holds no part"
    );
    assert_eq!(fleet.count.sent.len(), 0);
    assert!(fleet.count.turned_away > 50);
}

/// Callers ask one gateway for far more than the endpoint takes, so that its turns lie two seconds ahead; something
/// happens after twenty seconds.
fn busy_gateway(happens: impl Fn(&mut Fleet, u64)) -> Fleet {
    let mut fleet = Fleet::start(6, 8, USUAL);
    fleet.name_limit(9.0);
    for now in (0..40_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 20_000 {
            happens(&mut fleet, now);
        }
        if now.is_multiple_of(30) {
            fleet.want_turn(7, 2_000, now);
        }
        fleet.step(now);
    }
    fleet
}

/// A gateway stands still while its turns pass, and goes on: used then, they would come all at once beside the next ones.
#[test]
fn turns_that_passed_while_a_gateway_stood_still_are_not_used() {
    let fleet = busy_gateway(|fleet, now| fleet.gateways[7].frozen_until = now + 1_900);
    let most = fleet.most_sent(0);
    assert!(as_count(most) <= allowed(9.0), "{most}");
    assert!(fleet.sent_within(30_000, 40_000) >= 81);
}

/// All holders start again, and know nothing of the turns that they gave ahead: given anew, each of the next two seconds
/// would have them twice.
#[test]
fn turns_that_a_holder_gave_before_its_restart_are_not_given_again() {
    let fleet = busy_gateway(|fleet, now| {
        for place in 0..7 {
            let holds = |part| fleet.gateways[place].tenure.holds(part, at(now));
            if PartIndex::all().any(holds) {
                fleet.restart(place, now + 100);
            }
        }
        fleet.name_limit(9.0);
    });
    let most = fleet.most_sent(0);
    assert!(as_count(most) <= allowed(9.0), "{most}");
    assert!(fleet.sent_within(30_000, 40_000) >= 81);
}
