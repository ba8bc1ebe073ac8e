//! A fleet of gateways before one workspace's limit, with losses, cuts, kills, freezes and a store that comes back
//! from older copies.

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

/// From one step of the fleet to the next.
const STEP_MS: u64 = 10;

/// A request without an answer asks another holder after this.
const ANSWER_WAIT_MS: u64 = 40;

/// Hardly more than the limit itself is allowed, so that a part that is given twice is seen.
const TIGHT: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 600.0,
};

/// An allowance of several times the largest request, as on the platform.
const USUAL: QuotaBounds = QuotaBounds {
    slack: 3_000.0,
    ..TIGHT
};

const RULE: QuotaRule = QuotaRule {
    rate: 2_000.0,
    burst: 2_000.0,
    unit: QuotaUnit::Requests,
};

fn workspace() -> WorkspaceName {
    WorkspaceName::try_from("one").unwrap()
}

/// A request on its way to its units.
#[derive(Debug, Clone)]
struct OpenRequest {
    units: u64,
    asked: AskedParts,
    ask: Option<OpenAsk>,
}

#[derive(Debug, Clone)]
struct OpenAsk {
    id: u64,
    ask: PartAsk,
    sent_ms: u64,
}

struct FleetGateway {
    number: u8,
    tenure: PartTenure,
    holder: PartHolder,
    grants: GrantBook,
    bounds: QuotaBounds,
    requests: Vec<OpenRequest>,
    inbox: VecDeque<FleetWord>,
    /// Until when it stands still, is off, and can't reach the store.
    frozen_until: u64,
    off_until: u64,
    store_cut_until: u64,
    cut_until: u64,
    read_at: u64,
}

#[derive(Debug, Clone)]
enum FleetWord {
    Ask(u8, QuotaAsk),
    Answer(QuotaAnswer),
}

/// A word that arrives later.
struct WordOnWay {
    to: u8,
    from: u8,
    at_ms: u64,
    word: FleetWord,
}

/// What became of requests.
#[derive(Debug, Default)]
struct FleetCount {
    /// Units that were taken, and when.
    taken: Vec<(u64, u64)>,
    spent: u64,
    nobody: u64,
}

struct Fleet {
    random: ChaCha8Rng,
    store: PartStore,
    copies: VecDeque<(u64, PartStore)>,
    gateways: Vec<FleetGateway>,
    words: Vec<WordOnWay>,
    loss: f64,
    count: FleetCount,
}

impl FleetGateway {
    fn start(
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
            inbox: VecDeque::new(),
            frozen_until: 0,
            off_until: 0,
            store_cut_until: 0,
            cut_until: 0,
            read_at: 0,
        }
    }

    fn note(&mut self, changes: impl IntoIterator<Item = TenureChange>) {
        for change in changes {
            match change {
                TenureChange::Begun(begin) => {
                    self.holder.begin(begin.part, begin.start, begin.free_since);
                }
                TenureChange::Ended(part) => self.holder.end(part),
            }
        }
        self.grants.set_holders(self.tenure.holders());
    }

    fn hand_out(&mut self, ask: &PartAsk, now: u64) -> PartAnswer {
        if !self.tenure.holds(ask.part, at(now)) {
            return PartAnswer::NotHeld;
        }
        let terms = self.bounds.part(&RULE);
        self.holder
            .hand_out(ask.part, &workspace(), &terms, ask.wanted, at(now))
    }
}

impl Fleet {
    fn start(seed: u64, gateways: u8, bounds: QuotaBounds) -> Self {
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

    fn send(&mut self, from: u8, to: u8, word: &FleetWord, now: u64) {
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

    fn deliver(&mut self, now: u64) {
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

    fn step(&mut self, now: u64) {
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

    fn act(&mut self, place: usize, now: u64) {
        self.meet_store(place, now);
        while let Some(word) = self.gateways[place].inbox.pop_front() {
            self.hear(place, word, now);
        }
        let requests = std::mem::take(&mut self.gateways[place].requests);
        for request in requests {
            if let Some(open) = self.advance(place, request, now) {
                self.gateways[place].requests.push(open);
            }
        }
    }

    fn meet_store(&mut self, place: usize, now: u64) {
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
    fn write(&mut self, claim: &PartClaim) -> ClaimOutcome {
        if self.random.random_bool(self.loss) {
            return ClaimOutcome::Failed;
        }
        let outcome = self.store.write(claim);
        if self.random.random_bool(self.loss) {
            return ClaimOutcome::Failed;
        }
        outcome
    }

    fn hear(&mut self, place: usize, word: FleetWord, now: u64) {
        let number = self.gateways[place].number;
        match word {
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
    fn advance(&mut self, place: usize, mut request: OpenRequest, now: u64) -> Option<OpenRequest> {
        if let Some(open) = &request.ask {
            if now < open.sent_ms + ANSWER_WAIT_MS {
                return Some(request);
            }
            let part = open.ask.part;
            self.gateways[place].grants.note_silence(part, at(now));
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

    fn ask_remote(&mut self, place: usize, request: &mut OpenRequest, ask: PartAsk, now: u64) {
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

    fn request(&mut self, place: usize, units: u64) {
        self.gateways[place].requests.push(OpenRequest {
            units,
            asked: AskedParts::default(),
            ask: None,
        });
    }

    /// Something goes wrong somewhere.
    fn disturb(&mut self, now: u64) {
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
                let number = self.gateways[place].number;
                let boot = self.random.random();
                let bounds = self.gateways[place].bounds;
                let starts_at = now + self.random.random_range(100..4_000);
                let mut restarted = FleetGateway::start(number, boot, false, starts_at, bounds);
                restarted.off_until = starts_at;
                restarted.store_cut_until = self.gateways[place].store_cut_until;
                self.gateways[place] = restarted;
            }
            5 => self.return_store(now),
            _ => {
                for place in 0..self.gateways.len() / 2 {
                    self.gateways[place].cut_until = until;
                }
            }
        }
    }

    fn return_store(&mut self, now: u64) {
        let age = self.random.random_range(500..6_000);
        let copies = self.copies.iter().rev();
        let copy = copies.clone().find(|(at, _)| at + age <= now);
        if let Some((_, copy)) = copy.cloned() {
            self.store.come_back(&copy);
        }
    }

    fn used_in_windows(&self) -> u64 {
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

/// What the platform allows in a window.
fn allowed() -> f64 {
    let limit = RULE.rate * TIGHT.window.as_secs_f64() + RULE.burst;
    limit * (1.0 + TIGHT.overage) + TIGHT.slack
}

/// Callers of one workspace ask for four times their limit at all gateways, while datagrams are lost, doubled and
/// late, gateways are killed, frozen and cut off, and the store comes back from older copies. The engines see more
/// than the limit in some window where two gateways hand out the same part, or where one is given twice.
#[test]
fn no_window_is_over_the_limit_whatever_goes_wrong() {
    for seed in 0..60 {
        let mut fleet = Fleet::start(seed, 7, TIGHT);
        for now in (0..90_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now == 5_000 {
                fleet.loss = 0.05;
            }
            if now > 5_000 && fleet.random.random_bool(0.004) {
                fleet.disturb(now);
            }
            for place in 0..fleet.gateways.len() {
                if fleet.random.random_bool(0.05) {
                    let units = fleet.random.random_range(20..500);
                    fleet.request(place, units);
                }
            }
            fleet.step(now);
        }
        let most = fleet.used_in_windows();
        assert!(
            f64::from(u32::try_from(most).unwrap()) <= allowed(),
            "seed {seed}: {most}"
        );
        assert!(most > 10_000, "seed {seed}: only {most} units were given");
    }
}

/// All callers of a workspace come to one gateway, below the limit, and nothing is wrong. A limit that is divided
/// evenly among gateways refuses most of them.
#[test]
fn a_lone_gateway_gets_the_whole_limit_while_nothing_is_cut() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(seed, 7, USUAL);
        let mut saved = RULE.burst;
        let mut refused_least = u64::MAX;
        for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            saved = (saved + RULE.rate * 0.01).min(RULE.burst);
            let units = fleet.random.random_range(50..500);
            let is_busy = (now / 4_000).is_multiple_of(2);
            let wants = now > 5_000 && fleet.random.random_bool(if is_busy { 0.2 } else { 0.04 });
            if wants && f64::from(u32::try_from(units).unwrap()) <= saved {
                saved -= f64::from(u32::try_from(units).unwrap());
                fleet.request(3, units);
            }
            fleet.step(now);
            if fleet.count.spent > 0 {
                refused_least = refused_least.min(now);
            }
        }
        assert_eq!(
            fleet.count.spent, 0,
            "seed {seed}, first at {refused_least}"
        );
        assert_eq!(fleet.count.nobody, 0, "seed {seed}");
        assert!(fleet.count.taken.len() > 100);
    }
}

/// A holder is killed and not replaced. The other parts still give two thirds of the limit at once, and the whole of
/// it once the holder's tenure has ended.
#[test]
fn a_holder_that_is_gone_costs_its_part_and_no_more() {
    let mut fleet = Fleet::start(1, 5, USUAL);
    for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 10_000 {
            fleet.gateways[0].off_until = u64::MAX;
        }
        if now >= 5_000 && now % 100 == 0 {
            fleet.request(2, 200);
        }
        fleet.step(now);
    }
    let given = |from: u64, to: u64| -> u64 {
        let taken = fleet.count.taken.iter();
        let within = taken.filter(|(now, _)| (from..to).contains(now));
        within.map(|(_, units)| units).sum()
    };
    let whole = 10 * 2_000;
    assert!(
        given(20_000, 30_000) * 100 >= whole * 60,
        "{}",
        given(20_000, 30_000)
    );
    assert!(
        given(50_000, 60_000) * 100 >= whole * 95,
        "{}",
        given(50_000, 60_000)
    );
}
