//! Test harness: several claimers of one partition on a model of the store. Each call and each
//! answer is delivered separately.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use oatpier_claims::event::{
    CallNumber, ClaimAction, ClaimActions, ClaimEvent, ClaimSettings, ExpectedSegment,
    SegmentValue, StoreAnswer,
};
use oatpier_claims::log::ClaimLog;
use oatpier_claims::message::{
    ClaimAnswer, ClaimFinish, ClaimQuery, ClaimRelease, KeyHash, RequestFingerprint,
};
use oatpier_claims::partition::PartitionId;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, RequestId, Revision};
use oatpier_types::names::DaemonName;
use oatpier_types::verdict::RunVerdict;

pub struct ModelStore {
    pub values: BTreeMap<String, (Vec<u8>, Revision)>,
    pub up: bool,
    /// If false, writes ignore their precondition, which every grant relies on.
    pub checks_preconditions: bool,
    pub largest_value: usize,
    revision: Revision,
}

impl ModelStore {
    fn execute(&mut self, action: &ClaimAction) -> StoreAnswer {
        if !self.up {
            return StoreAnswer::Unavailable;
        }
        match action {
            ClaimAction::WriteSegment {
                key,
                value,
                expected,
                ..
            } => self.write(key, value, *expected),
            ClaimAction::ReadSegment { key, .. } => {
                StoreAnswer::Read(self.list(key).into_iter().next())
            }
            ClaimAction::ListSegments { prefix, .. } => StoreAnswer::Listed(self.list(prefix)),
            ClaimAction::DeleteSegment { key, .. } => {
                self.values.remove(key);
                StoreAnswer::Deleted
            }
            ClaimAction::Answer { .. } | ClaimAction::Recorded { .. } => {
                unreachable!("not a store call")
            }
        }
    }

    fn write(&mut self, key: &str, value: &[u8], expected: ExpectedSegment) -> StoreAnswer {
        let found = self.values.get(key).map(|(_, revision)| *revision);
        let wanted = match expected {
            ExpectedSegment::Absent => None,
            ExpectedSegment::At(revision) => Some(revision),
        };
        if self.checks_preconditions && found != wanted {
            return StoreAnswer::Conflict;
        }
        self.revision = self.revision.next();
        self.largest_value = self.largest_value.max(value.len());
        self.values
            .insert(key.to_owned(), (value.to_vec(), self.revision));
        StoreAnswer::Written(self.revision)
    }

    fn list(&self, prefix: &str) -> Vec<SegmentValue> {
        self.values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, revision))| SegmentValue {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
    }
}

/// A call in flight to the store, or its answer in flight to the claimer.
struct Call {
    claimer: usize,
    boot: BootId,
    number: CallNumber,
    action: ClaimAction,
    answer: Option<StoreAnswer>,
}

struct Claimer {
    log: ClaimLog,
    boot: BootId,
    started: ClockTime,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AskedRequest {
    pub query: ClaimQuery,
    pub granted_at: Option<ClockTime>,
    pub released: bool,
}

pub struct ClaimFleet {
    pub now: ClockTime,
    pub store: ModelStore,
    pub requests: Vec<AskedRequest>,
    pub answers: HashMap<RequestId, ClaimAnswer>,
    pub recorded: HashSet<RequestId>,
    pub double_grants: usize,
    pub settings: ClaimSettings,
    claimers: Vec<Claimer>,
    calls: Vec<Call>,
    boots: u128,
}

/// Short segments, so that closing, listing and removing them happens often.
pub fn short_settings() -> ClaimSettings {
    ClaimSettings {
        head_bytes: 150,
        ..ClaimSettings::default()
    }
}

pub fn key(number: u8) -> KeyHash {
    KeyHash(u128::from(number))
}

impl ClaimFleet {
    pub fn new(claimers: usize, settings: ClaimSettings) -> Self {
        let mut fleet = Self {
            now: ClockTime::from_millis(1),
            store: ModelStore {
                values: BTreeMap::new(),
                up: true,
                checks_preconditions: true,
                largest_value: 0,
                revision: Revision(0),
            },
            requests: Vec::new(),
            answers: HashMap::new(),
            recorded: HashSet::new(),
            double_grants: 0,
            settings,
            claimers: Vec::new(),
            calls: Vec::new(),
            boots: 0,
        };
        fleet.claimers = (0..claimers).map(|index| fleet.boot(index)).collect();
        fleet
    }

    fn boot(&mut self, index: usize) -> Claimer {
        self.boots += 1;
        let boot = BootId(self.boots);
        let name = DaemonName::try_from(format!("entry-{index}")).unwrap();
        Claimer {
            log: ClaimLog::new(PartitionId(0), name, boot, self.settings.clone()),
            boot,
            started: self.now,
        }
    }

    pub fn log(&self, claimer: usize) -> &ClaimLog {
        &self.claimers[claimer].log
    }

    /// Kills and restarts a claimer. Its calls may still take effect.
    pub fn restart(&mut self, claimer: usize) {
        self.claimers[claimer] = self.boot(claimer);
    }

    pub fn step(&mut self, claimer: usize, event: ClaimEvent) {
        let target = &mut self.claimers[claimer];
        let since_start = self.now.since(target.started);
        let actions = target.log.step(event, ClockTime::from_start(since_start));
        self.apply_actions(claimer, actions);
    }

    fn apply_actions(&mut self, claimer: usize, actions: ClaimActions) {
        let boot = self.claimers[claimer].boot;
        for action in actions {
            match action {
                ClaimAction::Answer {
                    request, answer, ..
                } => self.record_answer(request, answer),
                ClaimAction::Recorded { request, .. } => {
                    self.recorded.insert(request);
                }
                ClaimAction::WriteSegment { call, .. }
                | ClaimAction::ReadSegment { call, .. }
                | ClaimAction::ListSegments { call, .. }
                | ClaimAction::DeleteSegment { call, .. } => self.calls.push(Call {
                    claimer,
                    boot,
                    number: call,
                    action,
                    answer: None,
                }),
            }
        }
    }

    /// Records an answer. An entry that has a grant runs the request, unless it gave it up before.
    fn record_answer(&mut self, request: RequestId, answer: ClaimAnswer) {
        let granted = answer == ClaimAnswer::Granted;
        self.answers.insert(request, answer);
        let index = usize::try_from(request.0).unwrap();
        let asked = self.requests[index];
        if !granted || asked.released || asked.granted_at.is_some() {
            return;
        }
        self.requests[index].granted_at = Some(self.now);
        let retained_for = self
            .settings
            .retention
            .saturating_sub(self.settings.answer_timeout);
        let is_concurrent_grant = |other: &AskedRequest| {
            other.query.key == asked.query.key
                && !other.released
                && other.query.request != request
                && other
                    .granted_at
                    .is_some_and(|at| self.now.since(at) < retained_for)
        };
        self.double_grants += self
            .requests
            .iter()
            .filter(|other| is_concurrent_grant(other))
            .count();
    }

    pub fn ask(&mut self, claimer: usize, key: KeyHash) -> RequestId {
        let request = RequestId(self.requests.len() as u128);
        let query = ClaimQuery {
            key,
            fingerprint: RequestFingerprint(0),
            request,
        };
        self.requests.push(AskedRequest {
            query,
            granted_at: None,
            released: false,
        });
        self.step(claimer, ClaimEvent::Queried(query));
        request
    }

    pub fn ask_again(&mut self, claimer: usize, request: RequestId) {
        let query = self.asked(request).query;
        self.step(claimer, ClaimEvent::Queried(query));
    }

    pub fn asked(&self, request: RequestId) -> AskedRequest {
        self.requests[usize::try_from(request.0).unwrap()]
    }

    /// Releases a request: its entry knows that it has not run, and gives it up.
    pub fn release(&mut self, claimer: usize, request: RequestId) {
        let index = usize::try_from(request.0).unwrap();
        self.requests[index].released = true;
        let key = self.requests[index].query.key;
        self.step(claimer, ClaimEvent::Released(ClaimRelease { key, request }));
    }

    pub fn finish(&mut self, claimer: usize, request: RequestId, verdict: RunVerdict) {
        let key = self.asked(request).query.key;
        let finish = ClaimFinish {
            key,
            request,
            verdict,
        };
        self.step(claimer, ClaimEvent::Finished(finish));
    }

    /// Returns the calls of a claimer, or of all, that the store has not executed.
    pub fn unexecuted(&self, claimer: Option<usize>) -> Vec<usize> {
        self.calls_where(claimer, |call| call.answer.is_none())
    }

    /// Returns the answers that are in flight to a claimer, or to any.
    pub fn undelivered(&self, claimer: Option<usize>) -> Vec<usize> {
        self.calls_where(claimer, |call| call.answer.is_some())
    }

    fn calls_where(&self, claimer: Option<usize>, wanted: fn(&Call) -> bool) -> Vec<usize> {
        let of_claimer = |call: &Call| claimer.is_none_or(|claimer| call.claimer == claimer);
        (0..self.calls.len())
            .filter(|index| wanted(&self.calls[*index]) && of_claimer(&self.calls[*index]))
            .collect()
    }

    /// Executes a call at the store.
    pub fn execute_call(&mut self, index: usize) {
        let answer = self.store.execute(&self.calls[index].action);
        self.calls[index].answer = Some(answer);
    }

    /// Delivers an answer to its claimer.
    pub fn deliver(&mut self, index: usize) {
        let call = self.calls.remove(index);
        let Some(answer) = call.answer else {
            return;
        };
        let event = ClaimEvent::StoreAnswered {
            call: call.number,
            answer,
        };
        self.step_boot(call.claimer, call.boot, event);
    }

    /// Reports to a claimer that it will get no answer. The call may still take effect if the store
    /// has not executed it.
    pub fn lose_answer(&mut self, index: usize) {
        let call = &self.calls[index];
        let (claimer, boot, number) = (call.claimer, call.boot, call.number);
        if call.answer.is_some() {
            self.calls.remove(index);
        }
        self.step_boot(claimer, boot, ClaimEvent::StoreLost { call: number });
    }

    fn step_boot(&mut self, claimer: usize, boot: BootId, event: ClaimEvent) {
        if self.claimers[claimer].boot == boot {
            self.step(claimer, event);
        }
    }

    pub fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Delivers all answers of a claimer, and its timers, for a period of time.
    pub fn run(&mut self, claimer: usize, span: Duration) {
        let end = self.now + span;
        loop {
            while let Some(index) = self.unexecuted(Some(claimer)).first().copied() {
                self.execute_call(index);
                self.deliver(index);
            }
            while let Some(index) = self.undelivered(Some(claimer)).first().copied() {
                self.deliver(index);
            }
            if self.now >= end {
                return;
            }
            let started = self.claimers[claimer].started;
            let due = self.log(claimer).next_timer().as_micros();
            let due = due.saturating_add(started.as_micros());
            self.now = end.min(ClockTime::from_micros(due)).max(self.now);
            self.step(claimer, ClaimEvent::Timer);
        }
    }

    pub fn answer(&self, request: RequestId) -> Option<&ClaimAnswer> {
        self.answers.get(&request)
    }

    pub fn keys(&self) -> Vec<&str> {
        self.store.values.keys().map(String::as_str).collect()
    }
}
