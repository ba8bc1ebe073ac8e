//! Tracks prompt parts that crash the endpoints that run requests with them, and shares what is known with other
//! gateways.
//!
//! Crashes and answers are reported to all gateways at once, and written to the store for gateways that were unreachable,
//! are new, or have lost their state.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::RequestOrigin;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::prompt_parts::table::PartStatus;
use oatpier_serving::crashes::prompt_parts::trials::{PartTrial, granting_gateway};
use oatpier_serving::crashes::prompt_parts::watch::BrokenPrompt;
use oatpier_serving::crashes::prompt_parts::{PartAttempt, PartCrash, PartVerdict};
use oatpier_serving::message::{InnerMessage, TrialAnswer, TrialAsk};
use oatpier_serving::prefill::SentPrompt;
use oatpier_types::names::{EndpointName, WorkspaceName};
use smallvec::SmallVec;

use super::core::{CoreState, GatewayCore};
use super::placement::RequestContext;
use crate::decisions::{DecisionLine, LinePriority, wall_clock_ms};

/// The number of records in one datagram; at about 170 bytes each they fit into a packet.
const CRASHES_PER_MESSAGE: usize = 7;

/// Timeout for the answer of the gateway that grants trials.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(60);

/// How a gateway learned of a crash, for log lines.
#[derive(Debug, Clone, Copy)]
enum CrashSource {
    /// It was interrupted here.
    Seen,
    /// Another gateway reported it.
    Told,
}

impl CrashSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Seen => "seen",
            Self::Told => "told",
        }
    }
}

impl GatewayCore {
    /// Decides whether a request may be sent, by the parts of its prompt.
    pub(super) fn part_verdict(&self, context: &RequestContext) -> PartVerdict {
        let now = self.clock.now();
        let parts = &context.request.shared_parts;
        self.lock().part_tracker.evaluate(parts, now)
    }

    /// Records that the response to a request has progressed, which clears the parts of its prompt.
    pub(super) fn record_part_answer(&self, context: &RequestContext, attempt: &PartAttempt) {
        let now = self.clock.now();
        let mut state = self.lock();
        let tracker = &mut state.part_tracker;
        tracker.end_test(attempt);
        let cleared = tracker.note_answer(&context.request.shared_parts, now);
        if cleared.parts.is_empty() {
            return;
        }
        for crash in cleared.crashes {
            self.queue_store_change(CrashChange::RemovePart(crash));
        }
        self.update_part_metrics(&state);
        let peers: Vec<SocketAddr> = state.peers.known(now).collect();
        drop(state);
        let line = DecisionLine::new(LinePriority::Notable, "prompt part cleared")
            .with("parts", texts(&cleared.parts))
            .with("request", context.request.id.as_str());
        self.log.write(line);
        self.changed.notify_waiters();
        self.send_to_peers(&peers, &InnerMessage::PartsAnswered(cleared.parts.to_vec()));
    }

    /// Records the end of an attempt whose response has not progressed.
    pub(super) fn record_part_end(&self, attempt: &PartAttempt) {
        self.lock().part_tracker.end_test(attempt);
    }

    /// Records an attempt that broke before its response progressed, at an endpoint that was not about to leave.
    pub(super) fn record_broken_prompt(
        &self,
        context: &RequestContext,
        endpoint: &EndpointName,
        sent: &SentPrompt,
        attempt: &PartAttempt,
    ) {
        let parts = &context.request.shared_parts;
        if parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let directory = &state.directory;
        let Some((site, index)) = directory.staying_incarnation(endpoint, sent.start, now) else {
            return;
        };
        let prompt = BrokenPrompt {
            parts: SmallVec::new(),
            origin: RequestOrigin {
                host: context.route.host.clone(),
                workspace: context.identity.workspace_name().cloned(),
                route: context.route.name.clone(),
            },
            site,
            index,
            at: now,
            seen_ms: wall_clock_ms(),
        };
        state.part_tracker.note_broken(prompt, parts, attempt, now);
    }

    /// Checks whether the endpoints of broken attempts have crashed.
    pub(super) fn resolve_broken_prompts(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.part_tracker.is_settled() {
            return;
        }
        let CoreState {
            part_tracker,
            directory,
            ..
        } = &mut *state;
        let found = part_tracker.resolve(now, |prompt| {
            directory.liveness(&prompt.site.endpoint, prompt.index, prompt.at, now)
        });
        if found.is_empty() {
            return;
        }
        self.update_part_metrics(&state);
        let peers: Vec<SocketAddr> = state.peers.known(now).collect();
        drop(state);
        for found in &found {
            self.log_part_crash(&found.crash, found.status, CrashSource::Seen);
            self.queue_store_change(CrashChange::PutPart(found.crash.clone()));
        }
        let crashes: Vec<PartCrash> = found.into_iter().map(|found| found.crash).collect();
        for crashes in crashes.chunks(CRASHES_PER_MESSAGE) {
            self.send_to_peers(&peers, &InnerMessage::PartCrashesSeen(crashes.to_vec()));
        }
    }

    /// Handles a report of another gateway about crashes.
    pub fn apply_part_crashes(&self, crashes: &[PartCrash]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for crash in crashes {
            let status = state.part_tracker.note_crash(crash, now);
            // The gateway that saw the crash has logged the suspicion already.
            if let Some(status) = status.filter(|status| status.is_barred) {
                self.log_part_crash(crash, status, CrashSource::Told);
            }
        }
        self.update_part_metrics(&state);
    }

    /// Handles a report of another gateway that requests with these parts were answered.
    pub fn apply_answered_parts(&self, parts: &[PromptPartId]) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.part_tracker.apply_answers(parts, now);
        self.update_part_metrics(&state);
        drop(state);
        for part in parts {
            self.queue_store_change(CrashChange::DropPart(*part));
        }
        self.changed.notify_waiters();
    }

    /// Handles a read of the store, which lists these crashes and no others. If `has_returned` is set, the store came back
    /// from an older copy, and the crashes that are missing there are written again.
    pub fn apply_stored_part_crashes(&self, crashes: &[PartCrash], has_returned: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let table = state.part_tracker.table_mut();
        let barred_before = table.barred();
        if has_returned {
            for crash in table.apply_restored(crashes, now) {
                self.queue_store_change(CrashChange::PutPart(crash));
            }
        } else {
            table.apply_stored(crashes, now);
        }
        if table.barred() != barred_before {
            let line = DecisionLine::new(LinePriority::Notable, "prompt parts read")
                .with("suspects", table.len())
                .with("barred", table.barred());
            self.log.write(line);
        }
        self.update_part_metrics(&state);
    }

    /// Expires old suspicions, here and in the store. The gateway that runs the planner expires them for all gateways.
    pub(super) fn expire_part_suspects(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let evicted = state.part_tracker.table_mut().take_evicted();
        if !evicted.is_empty() {
            let line = DecisionLine::new(LinePriority::Notable, "prompt parts pushed out")
                .with("crashes", evicted.len());
            self.log.write(line);
        }
        if !state.peers.is_planner(now) {
            return;
        }
        let expired = state.part_tracker.table_mut().expire(now);
        self.update_part_metrics(&state);
        for crash in expired.into_iter().chain(evicted) {
            self.queue_store_change(CrashChange::RemovePart(crash));
        }
    }

    /// Asks the gateway that grants trials for one. Without its answer there is no trial.
    pub(super) async fn acquire_trial(&self, trial: &PartTrial) -> bool {
        let is_granted = match self.granting_peer() {
            None => self.grant_trial(trial),
            Some(granter) => {
                let send = |id| {
                    let trial = trial.clone();
                    let ask = InnerMessage::TrialAsk(TrialAsk { id, trial });
                    self.outlet.send(granter, &ask);
                };
                let answer = self.trial_asks.ask(TRIAL_TIMEOUT, send).await;
                answer.unwrap_or(false)
            }
        };
        if is_granted {
            let line = DecisionLine::new(LinePriority::Notable, "prompt part tried")
                .with("parts", texts(&trial.parts))
                .with("contested", trial.is_contested);
            self.log.write(line);
        }
        is_granted
    }

    /// Returns the gateway that grants trials, or `None` if it is this one.
    fn granting_peer(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let own = state.peers.own().address;
        let granter = granting_gateway(state.peers.known(now).chain([own]));
        granter.filter(|granter| *granter != own)
    }

    fn grant_trial(&self, trial: &PartTrial) -> bool {
        let now = self.clock.now();
        self.lock().part_tracker.grant_trial(trial, now)
    }

    /// Answers the request of another gateway for a trial.
    pub fn answer_trial_ask(&self, from: SocketAddr, ask: &TrialAsk) {
        let answer = TrialAnswer {
            id: ask.id,
            is_granted: self.grant_trial(&ask.trial),
        };
        self.outlet.send(from, &InnerMessage::TrialAnswer(answer));
    }

    /// Handles the answer to a request for a trial.
    pub fn complete_trial_ask(&self, answer: TrialAnswer) {
        self.trial_asks.complete(answer.id, answer.is_granted);
    }

    fn log_part_crash(&self, crash: &PartCrash, status: PartStatus, source: CrashSource) {
        let decision = if status.is_barred {
            "prompt part barred"
        } else {
            "prompt part suspected"
        };
        let workspace = crash.origin.workspace.as_ref();
        let line = DecisionLine::new(LinePriority::Notable, decision)
            .with("part", crash.part.to_string())
            .with("host", &*crash.origin.host)
            .with("workspace", workspace.map(WorkspaceName::as_str))
            .with("route", crash.origin.route.as_str())
            .with("endpoint", crash.site.to_string())
            .with("generation", crash.generation)
            .with("crashes", status.crashes)
            .with("trial", crash.is_trial)
            .with("source", source.as_str());
        self.log.write(line);
    }

    fn update_part_metrics(&self, state: &CoreState) {
        let table = state.part_tracker.table();
        self.metrics
            .note_suspected_parts(table.len(), table.barred());
    }
}

/// Records that a request is sent, and the trial that it was granted.
pub(super) fn begin_attempt(
    state: &mut CoreState,
    context: &RequestContext,
    trial: Option<&PartTrial>,
) -> PartAttempt {
    let parts = &context.request.shared_parts;
    state.part_tracker.begin_attempt(parts, trial)
}

fn texts(parts: &[PromptPartId]) -> Vec<String> {
    parts.iter().map(ToString::to_string).collect()
}
