//! Gateways that send requests to the engines.

use std::collections::BTreeMap;

use oatpier_policy::index::EndpointIndex;
use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::broken_attempts::EndpointOutcome;
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use oatpier_serving::crashes::prompt_parts::tracker::PartTracker;
use oatpier_serving::crashes::prompt_parts::trials::PartTrial;
use oatpier_serving::crashes::prompt_parts::watch::BrokenPrompt;
use oatpier_serving::crashes::prompt_parts::{PartCrash, PartVerdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::{SmallVec, smallvec};

use super::plan::{FleetFault, FleetPlan};
use super::world::{CrashTimes, EngineRun, SimEngine, SimRequest, SimStore, draw_ms, origin, site};
use crate::support::at;

const STEP_MS: u64 = 5;
const RUN_MS: u64 = 40_000;

/// Time without outages and restarts after which a gateway's sends count.
const STABLE_MS: u64 = 3_000;

/// When requests with a crashing part come.
const CRASHING_FROM_MS: u64 = 6_000;
const CRASHING_UNTIL_MS: u64 = 36_000;

/// Number of crashes under a part after which it must be barred.
const CRASHES_ALLOWED: usize = 5;

/// Longest wait for the outcome of another request with a suspected part.
const MAX_TEST_WAIT_MS: u64 = 100;

const READ_EVERY_MS: u64 = 900;

/// The first part of all requests.
const FIRST_PART: PromptPartId = PromptPartId(0xF1);

/// Ids of the crashing parts, and of the parts of subjects, begin here.
const CRASHING_PARTS: u64 = 0xD0;
const SUBJECT_PARTS: u64 = 0x1000;

/// A message to a gateway.
#[derive(Debug, Clone)]
enum SimMessage {
    Crashed(Vec<PartCrash>),
    Answered(Vec<PromptPartId>),
}

#[derive(Debug, Default)]
struct SimGateway {
    boot: u32,
    tracker: PartTracker,
    queue: ChangeQueue,
    reads_at: u64,
    has_read: bool,
    started_at: u64,
    waiting: Vec<SimRequest>,
}

/// Sound requests and how many of them were served at the first attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServedCount {
    sent: u32,
    served: u32,
}

impl ServedCount {
    pub fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }

    pub fn is_enough(self) -> bool {
        self.sent >= 20
    }
}

/// What a run has shown.
#[derive(Debug, Clone, Default)]
pub struct FleetReport {
    /// Sends of requests with each crashing part that were too late.
    pub late_sends: BTreeMap<PromptPartId, usize>,
    /// Engines that crashed under each crashing part.
    pub crashed: BTreeMap<PromptPartId, usize>,
    /// Before requests with a crashing part came.
    pub before: ServedCount,
    /// While they came, once they must be barred.
    pub meanwhile: ServedCount,
    /// Time for which sound parts were barred at gateways, summed up.
    pub sound_barred_ms: u64,
    /// Parts that are suspected at the end, at all gateways.
    pub suspects: usize,
}

pub struct PartFleet<'a> {
    plan: &'a FleetPlan,
    random: ChaCha8Rng,
    now: u64,
    gateways: Vec<SimGateway>,
    engines: Vec<SimEngine>,
    store: SimStore,
    crash_times: CrashTimes,
    in_flight: BTreeMap<u64, Vec<(usize, SimMessage)>>,
    /// Times of the crashes under each crashing part.
    crashes: BTreeMap<PromptPartId, Vec<u64>>,
    fresh_parts: u64,
    report: FleetReport,
}

impl<'a> PartFleet<'a> {
    pub fn run(plan: &'a FleetPlan, seed: u64) -> FleetReport {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut store = SimStore::default();
        if plan.trouble.outages {
            for _ in 0..random.random_range(0..3) {
                let from = random.random_range(0..RUN_MS);
                let length = random.random_range(100..9_000);
                store.outages.push((from, from + length));
            }
        }
        let mut fleet = Self {
            plan,
            random,
            now: 0,
            gateways: (0..plan.gateways).map(|_| SimGateway::default()).collect(),
            engines: (0..plan.engines).map(|_| SimEngine::default()).collect(),
            store,
            crash_times: CrashTimes::default(),
            in_flight: BTreeMap::new(),
            crashes: BTreeMap::new(),
            fresh_parts: 0xFFFF_0000,
            report: FleetReport::default(),
        };
        while fleet.now < RUN_MS {
            fleet.step();
            fleet.now += STEP_MS;
        }
        fleet.finish()
    }

    fn finish(mut self) -> FleetReport {
        let suspects = self.gateways.iter();
        self.report.suspects = suspects.map(|gateway| gateway.tracker.table().len()).sum();
        let crashes = std::mem::take(&mut self.crashes);
        self.report.crashed = crashes
            .into_iter()
            .map(|(part, times)| (part, times.len()))
            .collect();
        self.report
    }

    fn step(&mut self) {
        self.restart_gateways();
        self.crash_engines();
        self.run_engines();
        self.deliver();
        for index in 0..self.gateways.len() {
            self.resolve(index);
            self.write(index);
            self.read(index);
            for request in std::mem::take(&mut self.gateways[index].waiting) {
                self.take(index, request);
            }
        }
        self.arrive();
        if self.now.is_multiple_of(50) {
            self.note_barred();
        }
    }

    /// Returns whether an event with this mean interval happens now.
    fn happens(&mut self, every_ms: u64) -> bool {
        self.random.random_ratio(
            u32::try_from(STEP_MS).unwrap(),
            u32::try_from(every_ms.max(STEP_MS)).unwrap(),
        )
    }

    fn restart_gateways(&mut self) {
        if self.plan.trouble.restarts && self.happens(4_000) {
            let index = self.random.random_range(0..self.gateways.len());
            self.gateways[index] = SimGateway {
                boot: self.gateways[index].boot + 1,
                started_at: self.now,
                reads_at: self.now,
                ..SimGateway::default()
            };
        }
    }

    fn crash_engines(&mut self) {
        if let Some(every_s) = self.plan.crash_every_s
            && self.happens(every_s * 1_000)
        {
            let index = self.random.random_range(0..self.engines.len());
            self.crash(index);
        }
        let is_mass_crash = self.plan.trouble.mass_crash && self.now.is_multiple_of(9_000);
        for index in 0..self.engines.len() {
            if is_mass_crash && self.random.random_bool(0.33) {
                self.crash(index);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        if !engine.is_up(now) {
            return;
        }
        let name = engine.name(index);
        let runs = engine.crash(now);
        let known_at = now + draw_ms(&mut self.random, self.plan.detection_ms);
        self.crash_times.note(name.clone(), known_at);
        for run in runs {
            self.interrupt(run, &name);
        }
    }

    /// Handles an attempt that an engine's crash interrupts.
    fn interrupt(&mut self, run: EngineRun, name: &oatpier_types::names::EndpointName) {
        let now = self.now;
        let fault = self.plan.fault;
        let gateway = &mut self.gateways[run.gateway];
        if gateway.boot != run.boot {
            return;
        }
        gateway.tracker.end_test(&run.attempt);
        if run.has_progressed && fault != Some(FleetFault::EveryInterrupted) {
            return;
        }
        let parts = counted_parts(&run.request, fault, &mut self.fresh_parts);
        if fault == Some(FleetFault::CrashClears) {
            gateway.tracker.note_answer(&parts, at(now));
            return;
        }
        let prompt = BrokenPrompt {
            parts: SmallVec::new(),
            origin: origin(),
            site: site(name.clone()),
            index: EndpointIndex(1),
            at: at(now),
            seen_ms: now,
        };
        gateway
            .tracker
            .note_broken(prompt, &parts, &run.attempt, at(now));
        if self.plan.resends && !run.request.is_resent && !run.has_progressed {
            let request = SimRequest {
                is_resent: true,
                ..run.request
            };
            self.take(run.gateway, request);
        }
    }

    fn run_engines(&mut self) {
        for index in 0..self.engines.len() {
            let now = self.now;
            let is_begun = |run: &EngineRun| run.request.is_crashing && run.begins_at <= now;
            if self.engines[index].runs.iter().any(is_begun) {
                self.note_caused_crash(index);
                self.crash(index);
                continue;
            }
            let mut runs = std::mem::take(&mut self.engines[index].runs);
            for run in &mut runs {
                if !run.has_progressed && run.progresses_at <= now {
                    run.has_progressed = true;
                    self.progress(run);
                }
            }
            runs.retain(|run| run.ends_at > now);
            self.engines[index].runs = runs;
        }
    }

    fn note_caused_crash(&mut self, index: usize) {
        let runs = &self.engines[index].runs;
        let crashing = runs
            .iter()
            .find(|run| run.request.is_crashing && run.begins_at <= self.now);
        let parts = crashing
            .into_iter()
            .flat_map(|run| run.request.parts.clone());
        for part in parts.filter(|part| is_crashing_part(*part)) {
            self.crashes.entry(part).or_default().push(self.now);
        }
    }

    fn progress(&mut self, run: &EngineRun) {
        let now = self.now;
        if !run.request.is_resent {
            self.count_sound(&run.request, true);
        }
        let gateway = &mut self.gateways[run.gateway];
        if gateway.boot != run.boot {
            return;
        }
        gateway.tracker.end_test(&run.attempt);
        if self.plan.fault == Some(FleetFault::EveryInterrupted) {
            return;
        }
        let cleared = gateway.tracker.note_answer(&run.request.parts, at(now));
        if cleared.parts.is_empty() {
            return;
        }
        for crash in cleared.crashes {
            gateway.queue.push(CrashChange::RemovePart(crash));
        }
        self.broadcast(run.gateway, &SimMessage::Answered(cleared.parts.to_vec()));
    }

    fn broadcast(&mut self, from: usize, message: &SimMessage) {
        if self.plan.fault == Some(FleetFault::LocalBars) {
            return;
        }
        for to in 0..self.gateways.len() {
            if to == from || self.random.random_bool(self.plan.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.random.random_bool(self.plan.loss));
            for _ in 0..copies {
                let is_late = self.random.random_bool(self.plan.loss);
                let delay = if is_late { 400 } else { STEP_MS };
                let arrival = self.in_flight.entry(self.now + delay).or_default();
                arrival.push((to, message.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (to, message) in due.into_values().flatten() {
            let now = at(self.now);
            let gateway = &mut self.gateways[to];
            match message {
                SimMessage::Crashed(crashes) => {
                    for crash in &crashes {
                        gateway.tracker.note_crash(crash, now);
                    }
                }
                SimMessage::Answered(parts) => {
                    gateway.tracker.apply_answers(&parts, now);
                    for part in parts {
                        gateway.queue.push(CrashChange::DropPart(part));
                    }
                }
            }
        }
    }

    fn resolve(&mut self, index: usize) {
        let now = self.now;
        let crash_times = &self.crash_times;
        let gateway = &mut self.gateways[index];
        let found = gateway.tracker.resolve(at(now), |prompt| {
            if crash_times.is_known(&prompt.site.endpoint, now) {
                EndpointOutcome::Ended
            } else {
                EndpointOutcome::Unknown
            }
        });
        if found.is_empty() {
            return;
        }
        let crashes: Vec<PartCrash> = found.into_iter().map(|found| found.crash).collect();
        for crash in &crashes {
            gateway.queue.push(CrashChange::PutPart(crash.clone()));
        }
        self.broadcast(index, &SimMessage::Crashed(crashes));
    }

    fn write(&mut self, index: usize) {
        let batch = self.gateways[index].queue.batch(32);
        let keeps_nothing = matches!(
            self.plan.fault,
            Some(FleetFault::LocalBars | FleetFault::RestartForgets)
        );
        if batch.is_empty() || keeps_nothing || self.store.is_down(self.now) {
            return;
        }
        self.store.write(&batch);
        if !(self.plan.trouble.outages && self.random.random_bool(0.3)) {
            self.gateways[index].queue.remove_written(&batch);
        }
    }

    fn read(&mut self, index: usize) {
        let is_down = self.store.is_down(self.now);
        let gateway = &mut self.gateways[index];
        if self.now < gateway.reads_at || is_down {
            return;
        }
        gateway.reads_at = self.now + READ_EVERY_MS;
        gateway.has_read = true;
        let table = gateway.tracker.table_mut();
        table.apply_stored(&self.store.crashes, at(self.now));
    }

    fn arrive(&mut self) {
        let per_step = self.plan.per_100_ms * STEP_MS;
        let count = per_step / 100
            + u64::from(
                self.random
                    .random_ratio(u32::try_from(per_step % 100).unwrap(), 100),
            );
        for _ in 0..count {
            let request = self.draw_request();
            if !request.is_crashing {
                self.count_sound(&request, false);
            }
            let index = self.random.random_range(0..self.gateways.len());
            self.take(index, request);
        }
    }

    fn draw_request(&mut self) -> SimRequest {
        let subject = SUBJECT_PARTS + self.random.random_range(0..self.plan.subjects as u64);
        let subject = PromptPartId(subject);
        let comes = (CRASHING_FROM_MS..CRASHING_UNTIL_MS).contains(&self.now);
        let is_crashing = comes && self.random.random_bool(self.plan.crashing_share);
        let mut parts: SmallVec<[PromptPartId; 4]> = smallvec![FIRST_PART];
        if !is_crashing || self.plan.with_subject {
            parts.push(subject);
        }
        if is_crashing {
            let number = self.random.random_range(0..self.plan.crashing as u64);
            parts.push(PromptPartId(CRASHING_PARTS + number));
        }
        SimRequest {
            parts,
            is_crashing,
            arrived: self.now,
            is_resent: false,
        }
    }

    /// Handles a request at a gateway: sends, refuses or keeps it for a moment.
    fn take(&mut self, index: usize, request: SimRequest) {
        let gateway = &mut self.gateways[index];
        if !gateway.has_read {
            return;
        }
        let waits = self.now - request.arrived < MAX_TEST_WAIT_MS;
        match gateway.tracker.evaluate(&request.parts, at(self.now)) {
            PartVerdict::Testing if waits => gateway.waiting.push(request),
            PartVerdict::Allowed | PartVerdict::Testing => self.send(index, request, None),
            PartVerdict::Deferred(_) => {}
            PartVerdict::Contested(trial) => {
                if self.grant_trial(&trial) {
                    self.send(index, request, Some(&trial));
                } else if waits {
                    self.gateways[index].waiting.push(request);
                }
            }
            PartVerdict::Barred(barred) => {
                if let Some(trial) = barred.trial
                    && self.grant_trial(&trial)
                {
                    self.send(index, request, Some(&trial));
                }
            }
        }
    }

    /// Asks the gateway that grants trials. It is the first one here.
    fn grant_trial(&mut self, trial: &PartTrial) -> bool {
        let is_up = self.engines.iter().any(|engine| engine.is_up(self.now));
        if !is_up || self.random.random_bool(self.plan.loss) {
            return false;
        }
        let now = at(self.now);
        self.gateways[0].tracker.grant_trial(trial, now)
    }

    fn send(&mut self, index: usize, request: SimRequest, trial: Option<&PartTrial>) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].is_up(self.now))
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.random_range(0..up.len())];
        for part in self.late_parts(index, &request) {
            *self.report.late_sends.entry(part).or_default() += 1;
        }
        let gateway = &mut self.gateways[index];
        let attempt = gateway.tracker.begin_attempt(&request.parts, trial);
        let begins_at = self.now + draw_ms(&mut self.random, self.plan.first_ms);
        let progresses_at = begins_at + 25;
        let ends_at = progresses_at + draw_ms(&mut self.random, 1_500);
        self.engines[target].runs.push(EngineRun {
            gateway: index,
            boot: gateway.boot,
            request,
            attempt,
            begins_at,
            progresses_at,
            ends_at,
            has_progressed: false,
        });
    }

    /// Returns the crashing parts of a request, if a stable gateway should know of them.
    fn late_parts(&self, index: usize, request: &SimRequest) -> SmallVec<[PromptPartId; 4]> {
        let now = self.now;
        let stable_since = self.gateways[index]
            .started_at
            .max(self.store.stable_since(now));
        if stable_since > 0 && now <= stable_since + STABLE_MS {
            return SmallVec::new();
        }
        let is_late = |part: &PromptPartId| {
            let crashes = self.crashes.get(part);
            let fifth = crashes.and_then(|times| times.get(CRASHES_ALLOWED - 1));
            fifth.is_some_and(|fifth| now > fifth + STABLE_MS)
        };
        request.parts.iter().copied().filter(is_late).collect()
    }

    fn count_sound(&mut self, request: &SimRequest, is_served: bool) {
        let report = &mut self.report;
        let from = CRASHING_FROM_MS + 2 * STABLE_MS;
        let count = match request.arrived {
            2_000..CRASHING_FROM_MS => &mut report.before,
            at if (from..CRASHING_UNTIL_MS).contains(&at) => &mut report.meanwhile,
            _ => return,
        };
        if request.is_crashing {
            return;
        }
        if is_served {
            count.served += 1;
        } else {
            count.sent += 1;
        }
    }

    fn note_barred(&mut self) {
        for gateway in &self.gateways {
            for number in 0..self.plan.subjects as u64 {
                let parts = [FIRST_PART, PromptPartId(SUBJECT_PARTS + number)];
                let verdict = gateway.tracker.evaluate(&parts, at(self.now));
                if matches!(verdict, PartVerdict::Barred(_)) {
                    self.report.sound_barred_ms += 50;
                }
            }
        }
    }
}

fn is_crashing_part(part: PromptPartId) -> bool {
    (CRASHING_PARTS..SUBJECT_PARTS).contains(&part.0) && part != FIRST_PART
}

/// Returns the parts that count for the crash of a request.
fn counted_parts(
    request: &SimRequest,
    fault: Option<FleetFault>,
    fresh_parts: &mut u64,
) -> SmallVec<[PromptPartId; 4]> {
    if fault != Some(FleetFault::EvidenceByRequest) {
        return request.parts.clone();
    }
    *fresh_parts += 1;
    smallvec![PromptPartId(*fresh_parts)]
}
