//! A fleet of gateways that hold and ask for parts of limits, with losses, cuts, kills, freezes and a store that comes
//! back from older copies.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_serving::message::{QuotaAnswer, QuotaAsk};
use oatpier_serving::quota::bounds::QuotaBounds;
use oatpier_serving::quota::grants::{AskedParts, GrantBook, GrantStep, PartAsk};
use oatpier_serving::quota::holder::{PartAnswer, PartHolder};
use oatpier_serving::quota::tenure::{
    ClaimOutcome, ClaimStanding, PartClaim, PartTenure, TenureChange, TenureIdentity,
};
use oatpier_serving::workspace::quota::{QuotaRule, QuotaUnit};
use oatpier_types::names::WorkspaceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::part_store::PartStore;
use crate::support::{address, at};
use crate::turn_fleet::{TurnDesk, TurnWord};

/// From one step of the fleet to the next.
pub const STEP_MS: u64 = 10;

/// A request without an answer asks another holder after this.
pub const ANSWER_WAIT_MS: u64 = 40;

/// Hardly more than the limit itself is allowed, so that a part that is given twice is seen.
pub const TIGHT: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 600.0,
};

/// An allowance of several times the largest request, as on the platform.
pub const USUAL: QuotaBounds = QuotaBounds {
    slack: 3_000.0,
    ..TIGHT
};

pub const RULE: QuotaRule = QuotaRule {
    rate: 2_000.0,
    burst: 2_000.0,
    unit: QuotaUnit::Requests,
};

pub fn workspace() -> WorkspaceName {
    WorkspaceName::try_from("one").unwrap()
}

/// A request on its way to its units.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    pub units: u64,
    pub asked: AskedParts,
    pub ask: Option<OpenAsk>,
}

#[derive(Debug, Clone)]
pub struct OpenAsk {
    pub id: u64,
    pub ask: PartAsk,
    pub sent_ms: u64,
}

pub struct FleetGateway {
    pub number: u8,
    pub tenure: PartTenure,
    pub holder: PartHolder,
    pub grants: GrantBook,
    pub bounds: QuotaBounds,
    pub requests: Vec<OpenRequest>,
    pub turns: TurnDesk,
    pub inbox: VecDeque<FleetWord>,
    /// Until when it stands still, is off, and can't reach the store.
    pub frozen_until: u64,
    pub off_until: u64,
    pub store_cut_until: u64,
    pub cut_until: u64,
    pub read_at: u64,
}

#[derive(Debug, Clone)]
pub enum FleetWord {
    Ask(u8, QuotaAsk),
    Answer(QuotaAnswer),
    Turn(TurnWord),
}

/// A word that arrives later.
pub struct WordOnWay {
    pub to: u8,
    pub from: u8,
    pub at_ms: u64,
    pub word: FleetWord,
}

/// What became of requests.
#[derive(Debug, Default)]
pub struct FleetCount {
    /// Units that were taken, and when.
    pub taken: Vec<(u64, u64)>,
    pub spent: u64,
    pub nobody: u64,
    /// When requests were sent to the endpoint that names a limit.
    pub sent: Vec<u64>,
    /// Requests that got no turn.
    pub turned_away: u64,
}

pub struct Fleet {
    pub random: ChaCha8Rng,
    pub store: PartStore,
    pub copies: VecDeque<(u64, PartStore)>,
    pub gateways: Vec<FleetGateway>,
    pub words: Vec<WordOnWay>,
    pub loss: f64,
    pub count: FleetCount,
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
            tenure: PartTenure::new(TenureIdentity {
                address: address(number),
                boot,
                started_at: at(started_ms),
                first_start,
            }),
            holder: PartHolder::default(),
            grants: GrantBook::default(),
            requests: Vec::new(),
            turns: TurnDesk::default(),
            inbox: VecDeque::new(),
            frozen_until: 0,
            off_until: 0,
            store_cut_until: 0,
            cut_until: 0,
            read_at: 0,
        }
    }

    pub fn note(&mut self, changes: impl IntoIterator<Item = TenureChange>) {
        for change in changes {
            match change {
                TenureChange::Begun(begin) => {
                    self.holder.begin(begin.part, begin.start, begin.free_since);
                }
                TenureChange::Ended(part) => self.holder.end(part),
            }
        }
        self.grants.holders_mut().set(self.tenure.holders());
    }

    pub fn hand_out(&mut self, ask: &PartAsk, now: u64) -> PartAnswer {
        if !self.tenure.holds(ask.part, at(now)) {
            return PartAnswer::NotHeld;
        }
        let terms = self.bounds.part(&RULE);
        self.holder
            .hand_out(ask.part, &workspace(), &terms, ask.wanted, at(now))
    }
}

impl Fleet {
    pub fn start(seed: u64, gateways: u8, bounds: QuotaBounds) -> Self {
        let start = |number| FleetGateway::start(number, u64::from(number), true, 0, bounds);
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: PartStore::default(),
            copies: VecDeque::new(),
            gateways: (1..=gateways).map(start).collect(),
            words: Vec::new(),
            loss: 0.0,
            count: FleetCount::default(),
        }
    }

    pub fn send(&mut self, from: u8, to: u8, word: &FleetWord, now: u64) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u64::from(self.random.random_bool(self.loss));
        for _ in 0..copies {
            let late = if self.random.random_bool(self.loss) {
                900
            } else {
                12
            };
            self.words.push(WordOnWay {
                to,
                from,
                at_ms: now + self.random.random_range(0..late),
                word: word.clone(),
            });
        }
    }

    pub fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.words)
            .into_iter()
            .partition(|word| word.at_ms <= now);
        self.words = later;
        let due: Vec<WordOnWay> = due;
        for word in due {
            let is_cut = |number: u8| {
                let gateway = &self.gateways[usize::from(number - 1)];
                now < gateway.cut_until || now < gateway.off_until
            };
            if !is_cut(word.from) && !is_cut(word.to) {
                self.gateways[usize::from(word.to - 1)]
                    .inbox
                    .push_back(word.word);
            }
        }
    }

    pub fn step(&mut self, now: u64) {
        if now.is_multiple_of(500) {
            self.copies.push_back((now, self.store.clone()));
        }
        self.deliver(now);
        for place in 0..self.gateways.len() {
            let gateway = &self.gateways[place];
            if now >= gateway.frozen_until && now >= gateway.off_until {
                self.act(place, now);
            }
        }
    }

    pub fn act(&mut self, place: usize, now: u64) {
        self.meet_store(place, now);
        while let Some(word) = self.gateways[place].inbox.pop_front() {
            self.hear(place, word, now);
        }
        self.advance_turns(place, now);
        let requests = std::mem::take(&mut self.gateways[place].requests);
        for request in requests {
            if let Some(open) = self.advance(place, request, now) {
                self.gateways[place].requests.push(open);
            }
        }
    }

    pub fn meet_store(&mut self, place: usize, now: u64) {
        let gateway = &mut self.gateways[place];
        if now < gateway.store_cut_until {
            return;
        }
        if now >= gateway.read_at {
            gateway.read_at = now + 1_300;
            let changes = gateway
                .tenure
                .take_read(&self.store.entries, self.store.era, at(now));
            gateway.note(changes);
        }
        let standing = ClaimStanding {
            rank: place,
            is_wanted: true,
        };
        if let Some(claim) = gateway.tenure.due(standing, at(now)) {
            let outcome = self.write(&claim);
            let gateway = &mut self.gateways[place];
            let change = gateway
                .tenure
                .take_outcome(&claim, outcome, at(now), at(now));
            gateway.note(change);
        }
    }

    /// Some writes are carried out without an answer, and some are lost.
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

    pub fn hear(&mut self, place: usize, word: FleetWord, now: u64) {
        let number = self.gateways[place].number;
        match word {
            FleetWord::Turn(word) => self.hear_turn(place, word, now),
            FleetWord::Ask(from, ask) => {
                let part_ask = PartAsk {
                    part: ask.part,
                    holder: address(number),
                    wanted: ask.wanted,
                };
                let answer = self.gateways[place].hand_out(&part_ask, now);
                let word = FleetWord::Answer(QuotaAnswer { id: ask.id, answer });
                self.send(number, from, &word, now);
            }
            FleetWord::Answer(answer) => {
                let gateway = &mut self.gateways[place];
                let waiting = gateway
                    .requests
                    .iter_mut()
                    .find(|request| request.ask.as_ref().is_some_and(|ask| ask.id == answer.id));
                let Some(open) = waiting.and_then(|request| request.ask.take()) else {
                    return;
                };
                let life = gateway.bounds.grant_life();
                let asked_at = at(open.sent_ms);
                gateway.grants.take_answer(
                    &workspace(),
                    &open.ask,
                    answer.answer,
                    asked_at,
                    life,
                    at(now),
                );
            }
        }
    }

    /// What a request does now; none when it is over.
    pub fn advance(
        &mut self,
        place: usize,
        mut request: OpenRequest,
        now: u64,
    ) -> Option<OpenRequest> {
        if let Some(open) = &request.ask {
            if now < open.sent_ms + ANSWER_WAIT_MS {
                return Some(request);
            }
            let part = open.ask.part;
            self.gateways[place]
                .grants
                .holders_mut()
                .note_silence(part, at(now));
            request.ask = None;
        }
        loop {
            let gateway = &mut self.gateways[place];
            match gateway
                .grants
                .step(&workspace(), request.units, &request.asked, at(now))
            {
                GrantStep::Taken(_) => {
                    self.count.taken.push((now, request.units));
                    return None;
                }
                GrantStep::Spent(_) => {
                    self.count.spent += 1;
                    return None;
                }
                GrantStep::Nobody => {
                    self.count.nobody += 1;
                    return None;
                }
                GrantStep::Ask(ask) => {
                    request.asked.add(ask.part);
                    if ask.holder == address(gateway.number) {
                        let answer = gateway.hand_out(&ask, now);
                        let life = gateway.bounds.grant_life();
                        gateway.grants.take_answer(
                            &workspace(),
                            &ask,
                            answer,
                            at(now),
                            life,
                            at(now),
                        );
                        continue;
                    }
                    self.ask_remote(place, &mut request, ask, now);
                    return Some(request);
                }
            }
        }
    }

    pub fn ask_remote(&mut self, place: usize, request: &mut OpenRequest, ask: PartAsk, now: u64) {
        let id = self.random.random();
        let number = self.gateways[place].number;
        let holders = (1..).zip(&self.gateways);
        let holder = holders
            .filter(|(number, _)| address(*number) == ask.holder)
            .map(|(number, _)| number)
            .next();
        let word = FleetWord::Ask(
            number,
            QuotaAsk {
                id,
                part: ask.part,
                workspace: workspace(),
                wanted: ask.wanted,
            },
        );
        request.ask = Some(OpenAsk {
            id,
            ask,
            sent_ms: now,
        });
        if let Some(holder) = holder {
            self.send(number, holder, &word, now);
        }
    }

    pub fn request(&mut self, place: usize, units: u64) {
        self.gateways[place].requests.push(OpenRequest {
            units,
            asked: AskedParts::default(),
            ask: None,
        });
    }

    /// Something goes wrong somewhere.
    pub fn disturb(&mut self, now: u64) {
        let place = self.random.random_range(0..self.gateways.len());
        let until = now + self.random.random_range(200..12_000);
        match self.random.random_range(0..7) {
            0 => self.gateways[place].frozen_until = until,
            1 => {
                let long = self.random.random_range(5_000..45_000);
                self.gateways[place].store_cut_until = now + long;
            }
            2 => self.gateways[place].cut_until = until,
            3 | 4 => {
                let starts_at = now + self.random.random_range(100..4_000);
                self.restart(place, starts_at);
            }
            5 => self.return_store(now),
            _ => {
                for place in 0..self.gateways.len() / 2 {
                    self.gateways[place].cut_until = until;
                }
            }
        }
    }

    /// A gateway is killed, and is there again at a later moment.
    pub fn restart(&mut self, place: usize, starts_at: u64) {
        let boot = self.random.random();
        let killed = &self.gateways[place];
        let mut restarted =
            FleetGateway::start(killed.number, boot, false, starts_at, killed.bounds);
        restarted.off_until = starts_at;
        restarted.store_cut_until = killed.store_cut_until;
        self.gateways[place] = restarted;
    }

    pub fn return_store(&mut self, now: u64) {
        let age = self.random.random_range(500..6_000);
        let copies = self.copies.iter().rev();
        let copy = copies.clone().find(|(at, _)| at + age <= now);
        if let Some((_, copy)) = copy.cloned() {
            self.store.come_back(&copy);
        }
    }

    pub fn used_in_windows(&self) -> u64 {
        let window = u64::try_from(TIGHT.window.as_millis()).unwrap();
        let mut first = 0;
        let mut sum = 0;
        let mut most = 0;
        for (now, units) in &self.count.taken {
            sum += units;
            while self.count.taken[first].0 + window < *now {
                sum -= self.count.taken[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}
