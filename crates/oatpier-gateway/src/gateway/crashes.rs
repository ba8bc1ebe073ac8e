//! Requests that end the endpoints that run them: what this gateway sees of them, hears and tells.
//!
//! The gateway whose attempt was cut learns whether the endpoint ended, from its sidecar, the registry, or what
//! answers at its address. It tells all gateways at once, so that the next return is known wherever it comes, and
//! writes it to the store, which tells those that were cut off, are new, or have lost everything.

use std::net::SocketAddr;

use oatpier_serving::crashes::book::{CrashBook, SuspectStanding, SuspectVerdict};
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::cuts::CutAttempt;
use oatpier_serving::crashes::{CrashRecord, RequestOrigin};
use oatpier_serving::directory::EndpointOutcome;
use oatpier_serving::fingerprint::RequestFingerprint;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::reading::SentPrompt;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, WorkspaceName};

use super::core::{CoreState, GatewayCore};
use super::placement::RequestPlan;
use crate::decisions::{DecisionLine, LineWeight, wall_clock_ms};

/// Crashes that one datagram tells of: some 150 bytes each, within a packet.
const CRASHES_PER_MESSAGE: usize = 8;

impl GatewayCore {
    /// Whether a request may be sent, by what became of the endpoints that it was at.
    pub(super) fn judge_suspect(&self, plan: &RequestPlan) -> SuspectVerdict {
        let now = self.clock.now();
        let state = self.lock();
        let open = state.cuts.open(&plan.fingerprint);
        state.crashes.judge(&plan.fingerprint, open, now)
    }

    /// What an attempt's end says of the request and, with it, of others that were cut there.
    pub(super) fn note_suspect_end(
        &self,
        plan: &RequestPlan,
        endpoint: &EndpointName,
        sent: &SentPrompt,
        outcome: EndpointOutcome,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.crashes.end(&plan.fingerprint);
        match outcome {
            EndpointOutcome::Broken => note_cut(&mut state, plan, endpoint, sent, now),
            EndpointOutcome::Whole { .. } => self.clear_suspect(&mut state, &plan.fingerprint, now),
            _ => {}
        }
        drop(state);
        self.settle_cuts();
    }

    /// Looks what became of the endpoints that cut attempts off.
    pub(super) fn settle_cuts(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.cuts.is_empty() {
            return;
        }
        let CoreState {
            cuts, directory, ..
        } = &mut *state;
        let found = cuts.settle(now, |cut| {
            directory.fate(&cut.site.endpoint, cut.index, cut.at, now)
        });
        if found.is_empty() {
            return;
        }
        for record in &found {
            if let Some(standing) = state.crashes.note_crash(record, now) {
                self.log_crash(record, &standing, "seen");
            }
            self.offer_change(CrashChange::Put(record.clone()));
        }
        self.count_suspects(&state.crashes, now);
        let peers: Vec<SocketAddr> = state.peers.known(now).collect();
        drop(state);
        for records in found.chunks(CRASHES_PER_MESSAGE) {
            self.tell(&peers, &InnerMessage::CrashesSeen(records.to_vec()));
        }
    }

    /// Another gateway saw endpoints end under requests.
    pub fn take_crashes(&self, records: &[CrashRecord]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for record in records {
            let standing = state.crashes.note_crash(record, now);
            // The gateway that saw it has logged each suspicion; each of the others would log it once more.
            if let Some(standing) = standing.filter(|standing| standing.is_barred) {
                self.log_crash(record, &standing, "told");
            }
        }
        self.count_suspects(&state.crashes, now);
    }

    /// The store lists these crashes, and no others; `has_returned` if it came back from an older copy.
    pub fn take_stored_crashes(&self, records: &[CrashRecord], has_returned: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let barred_before = state.crashes.barred(now);
        if has_returned {
            let lost = state.crashes.take_returned(records, now);
            for record in lost {
                self.offer_change(CrashChange::Put(record));
            }
        } else {
            state.crashes.take_stored(records, now);
        }
        let barred = state.crashes.barred(now);
        if barred != barred_before {
            let line = DecisionLine::new(LineWeight::Notable, "crashes read")
                .with("suspects", state.crashes.suspects())
                .with("barred", barred);
            self.log.write(line);
        }
        self.count_suspects(&state.crashes, now);
    }

    /// Another gateway answered these requests whole.
    pub fn take_cleared(&self, fingerprints: &[RequestFingerprint]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for fingerprint in fingerprints {
            state.crashes.clear(fingerprint);
        }
        self.count_suspects(&state.crashes, now);
    }

    /// Drops suspicions that are old, here and in the store; the gateway that plans does it for all.
    pub(super) fn expire_suspects(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let pushed_out = state.crashes.take_pushed_out();
        if !pushed_out.is_empty() {
            let line = DecisionLine::new(LineWeight::Notable, "suspects pushed out")
                .with("crashes", pushed_out.len());
            self.log.write(line);
        }
        if !state.peers.is_planner(now) {
            return;
        }
        let expired = state.crashes.expire(now);
        self.count_suspects(&state.crashes, now);
        for record in expired.into_iter().chain(pushed_out) {
            self.offer_change(CrashChange::Remove(record));
        }
    }

    fn clear_suspect(
        &self,
        state: &mut CoreState,
        fingerprint: &RequestFingerprint,
        now: ClockTime,
    ) {
        let records = state.crashes.clear(fingerprint);
        if records.is_empty() {
            return;
        }
        let line = DecisionLine::new(LineWeight::Notable, "request cleared")
            .with("fingerprint", fingerprint.to_string())
            .with("crashes", records.len());
        self.log.write(line);
        for record in records {
            self.offer_change(CrashChange::Remove(record));
        }
        self.count_suspects(&state.crashes, now);
        let peers: Vec<SocketAddr> = state.peers.known(now).collect();
        self.tell(&peers, &InnerMessage::CrashesCleared(vec![*fingerprint]));
    }

    fn log_crash(&self, record: &CrashRecord, standing: &SuspectStanding, source: &'static str) {
        let decision = if standing.is_barred {
            "request barred"
        } else {
            "request suspected"
        };
        let line = DecisionLine::new(LineWeight::Notable, decision)
            .with("fingerprint", record.fingerprint.to_string())
            .with("host", &*record.origin.host)
            .with(
                "workspace",
                record.origin.workspace.as_ref().map(WorkspaceName::as_str),
            )
            .with("route", record.origin.route.as_str())
            .with("endpoint", record.site.to_string())
            .with("crashes", standing.crashes)
            .with("source", source);
        self.log.write(line);
    }

    fn count_suspects(&self, book: &CrashBook, now: ClockTime) {
        self.metrics
            .note_suspects(book.suspects(), book.barred(now));
    }

    fn offer_change(&self, change: CrashChange) {
        // A full ring counts what it drops. The gateways that are there were told; only ones that come later
        // will not know of it.
        let _ = self.crash_changes.offer(change);
    }

    fn tell(&self, peers: &[SocketAddr], message: &InnerMessage) {
        for peer in peers {
            self.outlet.send(*peer, message);
        }
    }
}

/// Notes an attempt that was cut off at an endpoint that was to stay.
fn note_cut(
    state: &mut CoreState,
    plan: &RequestPlan,
    endpoint: &EndpointName,
    sent: &SentPrompt,
    now: ClockTime,
) {
    let Some((site, index)) = state.directory.staying_start(endpoint, sent.start, now) else {
        return;
    };
    state.cuts.note(CutAttempt {
        fingerprint: plan.fingerprint,
        origin: RequestOrigin {
            host: plan.route.host.clone(),
            workspace: plan.identity.name().cloned(),
            route: plan.route.name.clone(),
        },
        site,
        index,
        at: now,
        seen_ms: wall_clock_ms(),
    });
}
