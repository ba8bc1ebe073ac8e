//! Claims of idempotency keys: an entry's part, the claimer's, and the store's.

use std::collections::BTreeMap;
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
use oatpier_policy::event::EntryEvent;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, RequestId, Revision};
use oatpier_types::verdict::RunVerdict;

use super::inflict::daemon;
use super::message::{CALLERS, Happening, Message, NodeId};
use super::network::Treatment;
use super::world::RequestWorld;
use crate::run::Bypass;
use crate::step::StepName;

/// How long an entry waits for another's claimer before it asks its own.
const ASK_AGAIN: Duration = Duration::from_millis(800);
/// Claimers that are asked for one claim.
const MOST_ASKS: u32 = 3;
/// How often a settlement that is not recorded is sent again.
const SETTLE_AGAIN: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct OpenAsk {
    ask: ClaimQuery,
    tries: u32,
    again_at: ClockTime,
}

#[derive(Debug, Clone, Copy)]
struct Settlement {
    key: u64,
    verdict: RunVerdict,
    again_at: ClockTime,
}

/// An entry's claims, its claimer among them.
pub struct EntryClaims {
    log: ClaimLog,
    asks: BTreeMap<RequestId, OpenAsk>,
    settlements: BTreeMap<RequestId, Settlement>,
    /// Who asked the claimer here.
    askers: BTreeMap<RequestId, NodeId>,
}

impl EntryClaims {
    pub fn new(node: NodeId, boot: BootId) -> Self {
        let settings = ClaimSettings::default();
        Self {
            log: ClaimLog::new(PartitionId(0), daemon(node), boot, settings),
            asks: BTreeMap::new(),
            settlements: BTreeMap::new(),
            askers: BTreeMap::new(),
        }
    }

    pub fn next_timer(&self) -> ClockTime {
        let asks = self.asks.values().map(|ask| ask.again_at).min();
        self.log.next_timer().min(asks.unwrap_or(ClockTime::NEVER))
    }

    /// Whether every settlement is in the store.
    pub fn is_settled(&self) -> bool {
        self.settlements.is_empty()
    }
}

/// The store, as far as claims go.
#[derive(Debug, Default)]
pub struct ModelStore {
    values: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: Revision,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    pub answers_to_lose: u32,
    /// The entry that is the claimer, as the entries believe.
    pub claimer: NodeId,
}

impl ModelStore {
    fn take(&mut self, action: &ClaimAction) -> StoreAnswer {
        match action {
            ClaimAction::WriteSegment {
                key,
                value,
                expected,
                ..
            } => self.write(key, value, *expected),
            ClaimAction::ReadSegment { key, .. } => {
                StoreAnswer::Read(self.list(key).into_iter().find(|found| found.key == *key))
            }
            ClaimAction::ListSegments { prefix, .. } => StoreAnswer::Listed(self.list(prefix)),
            ClaimAction::DeleteSegment { key, .. } => {
                self.values.remove(key);
                StoreAnswer::Deleted
            }
            ClaimAction::Answer { .. } | ClaimAction::Recorded { .. } => StoreAnswer::Unavailable,
        }
    }

    fn write(&mut self, key: &str, value: &[u8], expected: ExpectedSegment) -> StoreAnswer {
        let found = self.values.get(key).map(|(_, revision)| *revision);
        let wanted = match expected {
            ExpectedSegment::Absent => None,
            ExpectedSegment::At(revision) => Some(revision),
        };
        if found != wanted {
            return StoreAnswer::Conflict;
        }
        self.revision = self.revision.next();
        self.values
            .insert(key.to_owned(), (value.to_vec(), self.revision));
        StoreAnswer::Written(self.revision)
    }

    fn list(&self, prefix: &str) -> Vec<SegmentValue> {
        let values = self.values.iter();
        let values = values.filter(|(key, _)| key.starts_with(prefix));
        values
            .map(|(key, (value, revision))| SegmentValue {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
    }
}

impl RequestWorld {
    pub fn claim(&mut self, entry: NodeId, request: RequestId, key: u64) {
        if self.order.omits(Bypass::Claim) {
            return self.tell_request(entry, request, &EntryEvent::ClaimGranted, None);
        }
        let ask = ClaimQuery {
            key: KeyHash(key.into()),
            fingerprint: RequestFingerprint(1),
            request,
        };
        let claimer = self.store.claimer;
        self.ask(entry, claimer, ask, 1);
    }

    fn ask(&mut self, entry: NodeId, claimer: NodeId, ask: ClaimQuery, tries: u32) {
        let open = OpenAsk {
            ask,
            tries,
            again_at: self.now + ASK_AGAIN,
        };
        self.entries[entry].claims.asks.insert(ask.request, open);
        self.say(StepName::Claim, entry, claimer, Message::Ask(ask));
    }

    /// Says something to a claimer, which may be in the same process.
    fn say(&mut self, step: StepName, from: NodeId, to: NodeId, message: Message) {
        if from != to {
            return self.send(Some(step), from, to, message);
        }
        let treatment = self.pass(step, from, to);
        if treatment != Treatment::Lose && self.nodes[to].up {
            self.put_directly(from, to, message, Duration::from_micros(10));
        }
    }

    pub fn settle(&mut self, entry: NodeId, request: RequestId, key: u64, verdict: RunVerdict) {
        let claims = &mut self.entries[entry].claims;
        claims.asks.remove(&request);
        let settlement = Settlement {
            key,
            verdict,
            again_at: self.now,
        };
        claims.settlements.insert(request, settlement);
        self.send_settlements(entry);
    }

    pub fn send_settlements(&mut self, entry: NodeId) {
        let state = self.nodes[entry];
        if !state.up || state.paused_until > self.now {
            return;
        }
        let now = self.now;
        let open = self.entries[entry].claims.settlements.iter_mut();
        let due = open.filter(|(_, settlement)| settlement.again_at <= now);
        let due: Vec<(RequestId, Settlement)> = due
            .map(|(request, settlement)| {
                settlement.again_at = now + SETTLE_AGAIN;
                (*request, *settlement)
            })
            .collect();
        let claimer = self.store.claimer;
        let claimer = if self.nodes[claimer].up {
            claimer
        } else {
            entry
        };
        for (request, Settlement { key, verdict, .. }) in due {
            let message = Message::Settle {
                key,
                request,
                verdict,
            };
            self.say(StepName::SettleClaim, entry, claimer, message);
        }
    }

    pub fn claims_take(&mut self, entry: NodeId, from: NodeId, message: Message) {
        match message {
            Message::Ask(ask) => {
                self.entries[entry].claims.askers.insert(ask.request, from);
                self.step_log(entry, ClaimEvent::Queried(ask));
            }
            Message::AskAnswer { request, answer } => self.ask_answered(entry, request, &answer),
            Message::Settle {
                key,
                request,
                verdict,
            } => {
                self.entries[entry].claims.askers.insert(request, from);
                self.step_log(entry, settle_event(key, request, verdict));
            }
            Message::Recorded(request) => {
                self.entries[entry].claims.settlements.remove(&request);
            }
            _ => {}
        }
    }

    fn ask_answered(&mut self, entry: NodeId, request: RequestId, answer: &ClaimAnswer) {
        let Some(open) = self.entries[entry].claims.asks.remove(&request) else {
            return;
        };
        let event = match answer {
            ClaimAnswer::Granted => EntryEvent::ClaimGranted,
            ClaimAnswer::Denied(denial) => EntryEvent::ClaimRefused {
                earlier: denial.verdict(),
            },
            ClaimAnswer::Moved { owner } if open.tries < MOST_ASKS => {
                let named = owner
                    .as_ref()
                    .and_then(|owner| (0..CALLERS).find(|node| daemon(*node) == *owner));
                let claimer = named.unwrap_or(entry);
                return self.ask(entry, claimer, open.ask, open.tries + 1);
            }
            ClaimAnswer::Unavailable { .. } | ClaimAnswer::Moved { .. } => {
                EntryEvent::ClaimUnavailable
            }
        };
        self.tell_request(entry, request, &event, None);
    }

    pub fn wake_claims(&mut self, entry: NodeId) {
        let now = self.now;
        if self.entries[entry].claims.log.next_timer() <= now {
            self.step_log(entry, ClaimEvent::Timer);
        }
        let asks = self.entries[entry].claims.asks.iter();
        let overdue = asks.filter(|(_, open)| open.again_at <= now);
        let overdue: Vec<OpenAsk> = overdue.map(|(_, open)| *open).collect();
        for open in overdue {
            if open.tries < MOST_ASKS {
                self.ask(entry, entry, open.ask, open.tries + 1);
            } else {
                self.entries[entry].claims.asks.remove(&open.ask.request);
                let event = EntryEvent::ClaimUnavailable;
                self.tell_request(entry, open.ask.request, &event, None);
            }
        }
    }

    fn step_log(&mut self, entry: NodeId, event: ClaimEvent) {
        let now = self.now;
        let actions = self.entries[entry].claims.log.step(event, now);
        self.carry_claims(entry, actions);
        self.schedule_entry(entry);
    }

    fn carry_claims(&mut self, entry: NodeId, actions: ClaimActions) {
        for action in actions {
            match action {
                ClaimAction::Answer {
                    request, answer, ..
                } => {
                    let asker = self.entries[entry].claims.askers.get(&request).copied();
                    let message = Message::AskAnswer { request, answer };
                    self.say(StepName::Claim, entry, asker.unwrap_or(entry), message);
                }
                ClaimAction::Recorded { request, .. } => {
                    let asker = self.entries[entry].claims.askers.get(&request).copied();
                    let message = Message::Recorded(request);
                    self.say(
                        StepName::SettleClaim,
                        entry,
                        asker.unwrap_or(entry),
                        message,
                    );
                }
                ClaimAction::WriteSegment { call, .. }
                | ClaimAction::ReadSegment { call, .. }
                | ClaimAction::ListSegments { call, .. }
                | ClaimAction::DeleteSegment { call, .. } => {
                    self.call_store(entry, call, action);
                }
            }
        }
    }

    fn call_store(&mut self, entry: NodeId, call: CallNumber, action: ClaimAction) {
        let slow = self.store.slow_until > self.now;
        let takes = if slow {
            self.draw_millis(100, 700)
        } else {
            self.draw_millis(1, 4)
        };
        let boot = self.nodes[entry].boot;
        let happening = Happening::StoreSees {
            entry,
            boot,
            call,
            action,
        };
        self.queue.put(self.now + takes, happening);
    }

    pub fn store_sees(&mut self, entry: NodeId, boot: u64, call: CallNumber, action: &ClaimAction) {
        let is_write = matches!(action, ClaimAction::WriteSegment { .. });
        let answer = if self.store.down_until > self.now {
            StoreAnswer::Unavailable
        } else {
            self.store.take(action)
        };
        let written = matches!(answer, StoreAnswer::Written(_));
        let lost = is_write && written && self.store.answers_to_lose > 0;
        if lost {
            self.store.answers_to_lose -= 1;
        }
        let takes = self.draw_millis(1, if lost { 400 } else { 4 });
        let happening = Happening::StoreAnswers {
            entry,
            boot,
            call,
            answer: (!lost).then_some(answer),
        };
        self.queue.put(self.now + takes, happening);
    }

    pub fn store_answers(
        &mut self,
        entry: NodeId,
        boot: u64,
        call: CallNumber,
        answer: Option<StoreAnswer>,
    ) {
        let state = self.nodes[entry];
        if !state.up || state.boot != boot {
            return;
        }
        if state.paused_until > self.now {
            let happening = Happening::StoreAnswers {
                entry,
                boot,
                call,
                answer,
            };
            self.queue.put(state.paused_until, happening);
            return;
        }
        let event = match answer {
            Some(answer) => ClaimEvent::StoreAnswered { call, answer },
            None => ClaimEvent::StoreLost { call },
        };
        self.step_log(entry, event);
    }
}

fn settle_event(key: u64, request: RequestId, verdict: RunVerdict) -> ClaimEvent {
    let key = KeyHash(key.into());
    match verdict {
        RunVerdict::NotRun => ClaimEvent::Released(ClaimRelease { key, request }),
        RunVerdict::MayHaveRun | RunVerdict::Ran => ClaimEvent::Finished(ClaimFinish {
            key,
            request,
            verdict,
        }),
    }
}
