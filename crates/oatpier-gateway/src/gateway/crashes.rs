//! Tracks requests that crash the endpoints that run them, and shares what is known with other gateways.
//!
//! The gateway whose attempt was cut off learns whether the endpoint ended from the endpoint's sidecar, from the
//! registry, or from a different instance that responds at its address. It informs all gateways at once, so that
//! the next repetition of the request is recognized at any of them. It also writes the crash to the store, for
//! gateways that were unreachable, are new, or have lost their state.

use std::net::SocketAddr;

use oatpier_serving::crashes::broken_attempts::BrokenAttempt;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::suspects::{SuspectStatus, SuspectTable, SuspectVerdict};
use oatpier_serving::crashes::{CrashRecord, RequestOrigin};
use oatpier_serving::directory::RequestOutcome;
use oatpier_serving::fingerprint::RequestFingerprint;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::prefill::SentPrompt;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, WorkspaceName};

use super::core::{CoreState, GatewayCore};
use super::placement::RequestContext;
use crate::decisions::{DecisionLine, LinePriority, wall_clock_ms};

/// The number of crashes in one datagram; at about 150 bytes each they fit into a packet.
const CRASHES_PER_MESSAGE: usize = 8;

impl GatewayCore {
    /// Decides whether a request may be sent, based on the liveness of the endpoints that ran it before.
    pub(super) fn suspect_verdict(&self, context: &RequestContext) -> SuspectVerdict {
        let now = self.clock.now();
        let state = self.lock();
        let open = state.broken_attempts.count_unresolved(&context.fingerprint);
        state.suspects.evaluate(&context.fingerprint, open, now)
    }

    /// Records what the end of an attempt reveals about its request, and about others that were cut off at the same
    /// endpoint.
    pub(super) fn record_suspect_end(
        &self,
        context: &RequestContext,
        endpoint: &EndpointName,
        sent: &SentPrompt,
        outcome: RequestOutcome,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.suspects.end_run(&context.fingerprint);
        match outcome {
            RequestOutcome::Broken => {
                record_broken_attempt(&mut state, context, endpoint, sent, now);
            }
            RequestOutcome::Whole { .. } => {
                self.clear_suspect(&mut state, &context.fingerprint, now);
            }
            _ => {}
        }
        drop(state);
        self.resolve_broken();
    }

    /// Checks whether the endpoints of broken attempts have ended, for whole requests and for parts of their prompts.
    pub(super) fn resolve_broken(&self) {
        self.resolve_broken_attempts();
        self.resolve_broken_prompts();
    }

    /// Checks whether the endpoints of broken attempts have ended.
    fn resolve_broken_attempts(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.broken_attempts.is_empty() {
            return;
        }
        let CoreState {
            broken_attempts,
            directory,
            ..
        } = &mut *state;
        let found = broken_attempts.resolve(now, |attempt| {
            directory.liveness(&attempt.site.endpoint, attempt.index, attempt.at, now)
        });
        if found.is_empty() {
            return;
        }
        for record in &found {
            if let Some(status) = state.suspects.note_crash(record, now) {
                self.log_suspect(record, &status, "seen");
            }
            self.queue_store_change(CrashChange::Put(record.clone()));
        }
        self.update_suspect_metrics(&state.suspects, now);
        let peers: Vec<SocketAddr> = state.peers.known(now).collect();
        drop(state);
        for records in found.chunks(CRASHES_PER_MESSAGE) {
            self.send_to_peers(&peers, &InnerMessage::CrashesSeen(records.to_vec()));
        }
    }

    /// Handles a report of another gateway about endpoints that ended while running requests.
    pub fn apply_crashes(&self, records: &[CrashRecord]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for record in records {
            let status = state.suspects.note_crash(record, now);
            // The gateway that saw the crash has logged the suspicion already; every other gateway would log it
            // again.
            if let Some(status) = status.filter(|status| status.is_barred) {
                self.log_suspect(record, &status, "told");
            }
        }
        self.update_suspect_metrics(&state.suspects, now);
    }

    /// Handles a read of the store, which lists these crashes and no others. If `has_returned` is set, the store
    /// came back from an older copy, and the crashes that are missing there are written again.
    pub fn apply_stored_crashes(&self, records: &[CrashRecord], has_returned: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let barred_before = state.suspects.barred(now);
        if has_returned {
            let lost = state.suspects.apply_restored(records, now);
            for record in lost {
                self.queue_store_change(CrashChange::Put(record));
            }
        } else {
            state.suspects.apply_stored(records, now);
        }
        let barred = state.suspects.barred(now);
        if barred != barred_before {
            let line = DecisionLine::new(LinePriority::Notable, "crashes read")
                .with("suspects", state.suspects.suspects())
                .with("barred", barred);
            self.log.write(line);
        }
        self.update_suspect_metrics(&state.suspects, now);
    }

    /// Handles a report of another gateway that these requests completed.
    pub fn apply_cleared(&self, fingerprints: &[RequestFingerprint]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for fingerprint in fingerprints {
            state.suspects.clear(fingerprint);
        }
        self.update_suspect_metrics(&state.suspects, now);
    }

    /// Expires old suspicions, here and in the store. The gateway that runs the planner expires them for all
    /// gateways.
    pub(super) fn expire_suspects(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let evicted = state.suspects.take_evicted();
        if !evicted.is_empty() {
            let line = DecisionLine::new(LinePriority::Notable, "suspects pushed out")
                .with("crashes", evicted.len());
            self.log.write(line);
        }
        if !state.peers.is_planner(now) {
            return;
        }
        let expired = state.suspects.expire(now);
        self.update_suspect_metrics(&state.suspects, now);
        for record in expired.into_iter().chain(evicted) {
            self.queue_store_change(CrashChange::Remove(record));
        }
    }

    fn clear_suspect(
        &self,
        state: &mut CoreState,
        fingerprint: &RequestFingerprint,
        now: ClockTime,
    ) {
        let records = state.suspects.clear(fingerprint);
        if records.is_empty() {
            return;
        }
        let line = DecisionLine::new(LinePriority::Notable, "request cleared")
            .with("fingerprint", fingerprint.to_string())
            .with("crashes", records.len());
        self.log.write(line);
        for record in records {
            self.queue_store_change(CrashChange::Remove(record));
        }
        self.update_suspect_metrics(&state.suspects, now);
        let peers: Vec<SocketAddr> = state.peers.known(now).collect();
        self.send_to_peers(&peers, &InnerMessage::CrashesCleared(vec![*fingerprint]));
    }

    fn log_suspect(&self, record: &CrashRecord, status: &SuspectStatus, source: &'static str) {
        let decision = if status.is_barred {
            "request barred"
        } else {
            "request suspected"
        };
        let line = DecisionLine::new(LinePriority::Notable, decision)
            .with("fingerprint", record.fingerprint.to_string())
            .with("host", &*record.origin.host)
            .with(
                "workspace",
                record.origin.workspace.as_ref().map(WorkspaceName::as_str),
            )
            .with("route", record.origin.route.as_str())
            .with("endpoint", record.site.to_string())
            .with("crashes", status.crashes)
            .with("source", source);
        self.log.write(line);
    }

    fn update_suspect_metrics(&self, table: &SuspectTable, now: ClockTime) {
        self.metrics
            .note_suspects(table.suspects(), table.barred(now));
    }

    pub(super) fn queue_store_change(&self, change: CrashChange) {
        // A full ring counts what it drops. Running gateways were informed already; only gateways that start later
        // will not know of the change.
        let _ = self.crash_changes.try_send(change);
    }

    pub(super) fn send_to_peers(&self, peers: &[SocketAddr], message: &InnerMessage) {
        for peer in peers {
            self.outlet.send(*peer, message);
        }
    }
}

/// Records an attempt that was cut off at an endpoint that was not about to leave.
fn record_broken_attempt(
    state: &mut CoreState,
    context: &RequestContext,
    endpoint: &EndpointName,
    sent: &SentPrompt,
    now: ClockTime,
) {
    let Some((site, index)) = state
        .directory
        .staying_incarnation(endpoint, sent.start, now)
    else {
        return;
    };
    state.broken_attempts.add(BrokenAttempt {
        fingerprint: context.fingerprint,
        origin: RequestOrigin {
            host: context.route.host.clone(),
            workspace: context.identity.workspace_name().cloned(),
            route: context.route.name.clone(),
        },
        site,
        index,
        at: now,
        seen_ms: wall_clock_ms(),
    });
}
