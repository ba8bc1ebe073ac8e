//! Claims of idempotency keys: the roles of the entry, the claimer and the store.

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

use super::inject::daemon;
use super::message::{CALLERS, Message, NodeId, SimEvent};
use super::network::MessageDelivery;
use super::simulation::RequestSimulation;
use crate::run::Bypass;
use crate::step::StepName;

/// Time that an entry waits for the claimer of another entry before it queries its own.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of claimers that are queried for one claim.
const MAX_QUERIES: u32 = 3;
/// Interval at which a settlement is sent again until it is recorded.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct OpenQuery {
    query: ClaimQuery,
    tries: u32,
    retry_at: ClockTime,
}

#[derive(Debug, Clone, Copy)]
struct Settlement {
    key: u64,
    verdict: RunVerdict,
    retry_at: ClockTime,
}

/// The claims of an entry, and the claimer in the same process.
pub struct EntryClaims {
    log: ClaimLog,
    queries: BTreeMap<RequestId, OpenQuery>,
    settlements: BTreeMap<RequestId, Settlement>,
    /// The nodes that queried the claimer in this process, by request.
    queriers: BTreeMap<RequestId, NodeId>,
}

impl EntryClaims {
    pub fn new(node: NodeId, boot: BootId) -> Self {
        let settings = ClaimSettings::default();
        Self {
            log: ClaimLog::new(PartitionId(0), daemon(node), boot, settings),
            queries: BTreeMap::new(),
            settlements: BTreeMap::new(),
            queriers: BTreeMap::new(),
        }
    }

    pub fn next_timer(&self) -> ClockTime {
        let queries = self.queries.values().map(|query| query.retry_at).min();
        self.log
            .next_timer()
            .min(queries.unwrap_or(ClockTime::NEVER))
    }

    /// Returns whether every settlement is recorded in the store.
    pub fn is_settled(&self) -> bool {
        self.settlements.is_empty()
    }
}

/// A modelled store that holds the segments of the claim log.
#[derive(Debug, Default)]
pub struct SegmentStore {
    values: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: Revision,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    pub answers_to_lose: u32,
    /// The entry that the entries currently use as the claimer.
    pub claimer: NodeId,
}

impl SegmentStore {
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

impl RequestSimulation {
    pub fn claim(&mut self, entry: NodeId, request: RequestId, key: u64) {
        if self.run_spec.bypasses(Bypass::Claim) {
            return self.step_request(entry, request, &EntryEvent::ClaimGranted, None);
        }
        let query = ClaimQuery {
            key: KeyHash(key.into()),
            fingerprint: RequestFingerprint(1),
            request,
        };
        let claimer = self.store.claimer;
        self.query(entry, claimer, query, 1);
    }

    fn query(&mut self, entry: NodeId, claimer: NodeId, query: ClaimQuery, tries: u32) {
        let open = OpenQuery {
            query,
            tries,
            retry_at: self.now + QUERY_TIMEOUT,
        };
        self.entries[entry]
            .claims
            .queries
            .insert(query.request, open);
        self.send_to_claimer(StepName::Claim, entry, claimer, Message::ClaimQuery(query));
    }

    /// Sends a message between an entry and a claimer, which may be in the same process.
    fn send_to_claimer(&mut self, step: StepName, from: NodeId, to: NodeId, message: Message) {
        if from != to {
            return self.send(Some(step), from, to, message);
        }
        let delivery = self.inject_at(step, from, to);
        if delivery != MessageDelivery::Dropped && self.nodes[to].up {
            self.post_directly(from, to, message, Duration::from_micros(10));
        }
    }

    pub fn settle(&mut self, entry: NodeId, request: RequestId, key: u64, verdict: RunVerdict) {
        let claims = &mut self.entries[entry].claims;
        claims.queries.remove(&request);
        let settlement = Settlement {
            key,
            verdict,
            retry_at: self.now,
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
        let due = open.filter(|(_, settlement)| settlement.retry_at <= now);
        let due: Vec<(RequestId, Settlement)> = due
            .map(|(request, settlement)| {
                settlement.retry_at = now + SETTLE_RETRY_INTERVAL;
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
            self.send_to_claimer(StepName::SettleClaim, entry, claimer, message);
        }
    }

    pub fn handle_claim_message(&mut self, entry: NodeId, from: NodeId, message: Message) {
        match message {
            Message::ClaimQuery(query) => {
                self.entries[entry]
                    .claims
                    .queriers
                    .insert(query.request, from);
                self.step_log(entry, ClaimEvent::Queried(query));
            }
            Message::ClaimAnswer { request, answer } => {
                self.handle_claim_answer(entry, request, &answer);
            }
            Message::Settle {
                key,
                request,
                verdict,
            } => {
                self.entries[entry].claims.queriers.insert(request, from);
                self.step_log(entry, settle_event(key, request, verdict));
            }
            Message::Recorded(request) => {
                self.entries[entry].claims.settlements.remove(&request);
            }
            _ => {}
        }
    }

    fn handle_claim_answer(&mut self, entry: NodeId, request: RequestId, answer: &ClaimAnswer) {
        let Some(open) = self.entries[entry].claims.queries.remove(&request) else {
            return;
        };
        let event = match answer {
            ClaimAnswer::Granted => EntryEvent::ClaimGranted,
            ClaimAnswer::Denied(denial) => EntryEvent::ClaimRefused {
                earlier: denial.verdict(),
            },
            ClaimAnswer::Moved { owner } if open.tries < MAX_QUERIES => {
                let named = owner
                    .as_ref()
                    .and_then(|owner| (0..CALLERS).find(|node| daemon(*node) == *owner));
                let claimer = named.unwrap_or(entry);
                return self.query(entry, claimer, open.query, open.tries + 1);
            }
            ClaimAnswer::Unavailable { .. } | ClaimAnswer::Moved { .. } => {
                EntryEvent::ClaimUnavailable
            }
        };
        self.step_request(entry, request, &event, None);
    }

    pub fn wake_claims(&mut self, entry: NodeId) {
        let now = self.now;
        if self.entries[entry].claims.log.next_timer() <= now {
            self.step_log(entry, ClaimEvent::Timer);
        }
        let queries = self.entries[entry].claims.queries.iter();
        let overdue = queries.filter(|(_, open)| open.retry_at <= now);
        let overdue: Vec<OpenQuery> = overdue.map(|(_, open)| *open).collect();
        for open in overdue {
            if open.tries < MAX_QUERIES {
                self.query(entry, entry, open.query, open.tries + 1);
            } else {
                self.entries[entry]
                    .claims
                    .queries
                    .remove(&open.query.request);
                let event = EntryEvent::ClaimUnavailable;
                self.step_request(entry, open.query.request, &event, None);
            }
        }
    }

    fn step_log(&mut self, entry: NodeId, event: ClaimEvent) {
        let now = self.now;
        let actions = self.entries[entry].claims.log.step(event, now);
        self.execute_claim_actions(entry, actions);
        self.schedule_entry(entry);
    }

    fn execute_claim_actions(&mut self, entry: NodeId, actions: ClaimActions) {
        for action in actions {
            match action {
                ClaimAction::Answer {
                    request, answer, ..
                } => {
                    let querier = self.entries[entry].claims.queriers.get(&request).copied();
                    let message = Message::ClaimAnswer { request, answer };
                    self.send_to_claimer(StepName::Claim, entry, querier.unwrap_or(entry), message);
                }
                ClaimAction::Recorded { request, .. } => {
                    let querier = self.entries[entry].claims.queriers.get(&request).copied();
                    let message = Message::Recorded(request);
                    self.send_to_claimer(
                        StepName::SettleClaim,
                        entry,
                        querier.unwrap_or(entry),
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
        let latency = if slow {
            self.random_millis(100, 700)
        } else {
            self.random_millis(1, 4)
        };
        let boot = self.nodes[entry].boot;
        let event = SimEvent::StoreCallArrives {
            entry,
            boot,
            call,
            action,
        };
        self.queue.put(self.now + latency, event);
    }

    pub fn call_at_store(
        &mut self,
        entry: NodeId,
        boot: u64,
        call: CallNumber,
        action: &ClaimAction,
    ) {
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
        let latency = self.random_millis(1, if lost { 400 } else { 4 });
        let event = SimEvent::StoreCallEnds {
            entry,
            boot,
            call,
            answer: (!lost).then_some(answer),
        };
        self.queue.put(self.now + latency, event);
    }

    pub fn handle_store_answer(
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
            let event = SimEvent::StoreCallEnds {
                entry,
                boot,
                call,
                answer,
            };
            self.queue.put(state.paused_until, event);
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
