//! Runs one request: passes its events to the policy and executes the resulting actions.

mod claiming;
mod late;
mod report;

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use oatpier_policy::action::{CancelMode, EntryAction, EntryActions};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::EndpointName;
use oatpier_types::request::AttemptSpec;
use oatpier_wire::attempt::{AttemptHead, HeaderPair};
use opentelemetry::trace::SpanKind;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use self::claiming::short_key;
use self::late::LateCancels;
use self::report::describe_end;
use crate::attempt::{AttemptRun, AttemptSignal, SignalSender, cancel};
use crate::core::{AgentContact, EntryCore};
use crate::errors::{CallerError, RequestIdentity};
use crate::history::StepLog;
use crate::intake::CallIntake;
use crate::sink::{AnswerHead, CallerSink, SinkChange, SinkState};
use oatpier_duty::observe::trace::{HopSpan, TRACEPARENT};

/// Capacity of the channel from a request's attempts to its task.
const SIGNAL_CAPACITY: usize = 8;

/// A request in progress.
pub struct RequestRun {
    core: Arc<EntryCore>,
    identity: RequestIdentity,
    call: CallIntake,
    sink: CallerSink,
    span: HopSpan,
    relay_span: Option<HopSpan>,
    started: ClockTime,
    /// Head of the answer, held until the first piece is relayed.
    head: Option<AnswerHead>,
    signals: SignalSender,
    signal_receiver: mpsc::Receiver<AttemptSignal>,
    event_sender: mpsc::UnboundedSender<EntryEvent>,
    event_receiver: mpsc::UnboundedReceiver<EntryEvent>,
    attempts: JoinSet<()>,
    sent: smallvec::SmallVec<[SentAttempt; 2]>,
    steps: StepLog,
    is_caller_gone: bool,
}

/// An attempt that was sent, with the contact whose ticket it carries.
struct SentAttempt {
    attempt: AttemptId,
    contact: AgentContact,
    /// Ends with the attempt's last signal.
    _span: HopSpan,
}

/// Reason for which the request's task woke up.
enum WakeCause {
    Signal(AttemptSignal),
    Event(EntryEvent),
    Timer(EntryActions),
}

impl RequestRun {
    /// Creates the run of a request whose answer goes to `sink`.
    #[must_use]
    pub fn new(
        core: Arc<EntryCore>,
        identity: RequestIdentity,
        call: CallIntake,
        sink: CallerSink,
        span: HopSpan,
    ) -> Self {
        let (signals, signal_receiver) = mpsc::channel(SIGNAL_CAPACITY);
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        let started = core.clock.now();
        Self {
            core,
            identity,
            call,
            sink,
            span,
            relay_span: None,
            started,
            head: None,
            signals,
            signal_receiver,
            event_sender,
            event_receiver,
            attempts: JoinSet::new(),
            sent: smallvec::SmallVec::new(),
            steps: StepLog::new(started),
            is_caller_gone: false,
        }
    }

    /// Runs the request until its caller has the final answer and no pending cancellation can still
    /// release its key.
    pub async fn run(mut self) {
        self.core.metrics.in_flight.inc();
        let (timers, mut fired) = mpsc::unbounded_channel();
        let actions = {
            let choose = self.start_span("entry.choose");
            let actions = self.core.start(self.intake(), timers);
            choose.set_attribute("actions", i64::try_from(actions.len()).unwrap_or(i64::MAX));
            actions
        };
        let mut answer = self.execute(actions, &Bytes::new());
        let answer = loop {
            if let Some(answer) = answer {
                break answer;
            }
            let wake = self.wake(&mut fired).await;
            answer = self.handle_wake(wake);
        };
        if let Some(late) = self.finish(&answer).await {
            late.run().await;
        }
    }

    fn intake(&self) -> RequestIntake {
        RequestIntake {
            request: self.identity.request,
            goal: self.call.goal.clone(),
            class: self.call.class.clone(),
            caller: self.call.caller.clone(),
            repeat: self.call.repeat,
            key: self.call.key.map(short_key),
            tokens: self.call.tokens,
            prefixes: self.call.prefixes.clone(),
            resumable: self.call.stream,
        }
    }

    /// Waits for the next event of the request. Stops reading the answer while the caller is not
    /// reading.
    async fn wake(&mut self, fired: &mut mpsc::UnboundedReceiver<EntryActions>) -> WakeCause {
        let blocked = self.sink.is_blocked();
        let is_caller_gone = self.is_caller_gone;
        tokio::select! {
            biased;
            change = self.sink.changed(), if !is_caller_gone => {
                self.is_caller_gone = change == SinkChange::Gone;
                WakeCause::Event(match change {
                    SinkChange::Ready => EntryEvent::CallerReady,
                    SinkChange::Gone => EntryEvent::CallerGone,
                })
            }
            Some(actions) = fired.recv() => WakeCause::Timer(actions),
            Some(event) = self.event_receiver.recv() => WakeCause::Event(event),
            Some(signal) = self.signal_receiver.recv(), if !blocked => WakeCause::Signal(signal),
        }
    }

    fn handle_wake(&mut self, wake: WakeCause) -> Option<FinalAnswer> {
        match wake {
            WakeCause::Timer(actions) => self.execute(actions, &Bytes::new()),
            WakeCause::Event(event) => {
                let actions = self.core.handle(self.identity.request, None, &event);
                self.execute(actions, &Bytes::new())
            }
            WakeCause::Signal(signal) => self.take_signal(signal),
        }
    }

    fn take_signal(&mut self, signal: AttemptSignal) -> Option<FinalAnswer> {
        if let (Some(head), None) = (signal.head, &self.relay_span) {
            self.head = Some(head);
        }
        let endpoint = Some(&signal.endpoint);
        let request = self.identity.request;
        let actions = self.core.handle(request, endpoint, &signal.event);
        let is_piece = matches!(signal.event, EntryEvent::Piece { .. });
        let is_relayed = actions
            .iter()
            .any(|action| matches!(action, EntryAction::Relay { .. }));
        if is_piece && !is_relayed {
            self.core.metrics.crossed.inc();
        }
        if let Some(attempt) = ended_attempt(&signal.event) {
            self.sent.retain(|sent| sent.attempt != attempt);
            self.add_step(
                "attempt",
                Some(&signal.endpoint),
                describe_end(&signal.event),
            );
        }
        self.execute(actions, &signal.bytes)
    }

    /// Executes the actions in order; `piece` holds the bytes that a `Relay` sends.
    fn execute(&mut self, actions: EntryActions, piece: &Bytes) -> Option<FinalAnswer> {
        let mut answer = None;
        for action in actions {
            match action {
                EntryAction::Send { endpoint, spec } | EntryAction::Resume { endpoint, spec } => {
                    self.send(endpoint, *spec);
                }
                EntryAction::Cancel {
                    endpoint,
                    attempt,
                    mode,
                } => self.cancel(&endpoint, attempt, mode),
                EntryAction::Relay { .. } => self.relay(piece.clone()),
                EntryAction::Claim { .. } => self.claim(),
                EntryAction::SettleClaim { verdict, .. } => self.settle_claim(verdict),
                EntryAction::Answer(last) => answer = Some(last),
            }
        }
        answer
    }

    fn send(&mut self, endpoint: EndpointName, spec: AttemptSpec) {
        let attempt = spec.attempt;
        let Some(contact) = self.core.contact(&endpoint) else {
            let _ = self
                .event_sender
                .send(EntryEvent::ConnectFailed { attempt });
            return;
        };
        let span = self.start_span("entry.attempt");
        span.set_attribute("endpoint", endpoint.to_string());
        span.set_attribute("attempt", attempt.to_string());
        self.add_step("attempt", Some(&endpoint), format!("attempt {attempt}"));
        let run = AttemptRun {
            address: contact.address,
            head: self.attempt_head(spec, &contact, &span),
            endpoint,
            body: self.call.call.body.clone(),
            signals: self.signals.clone(),
        };
        self.attempts.spawn(run.run(self.core.peers.clone()));
        self.sent.push(SentAttempt {
            attempt,
            contact,
            _span: span,
        });
    }

    fn attempt_head(
        &self,
        spec: AttemptSpec,
        contact: &AgentContact,
        span: &HopSpan,
    ) -> AttemptHead {
        let mut trace = HeaderMap::new();
        span.inject(&mut trace);
        let traceparent = trace
            .get(TRACEPARENT)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        AttemptHead {
            spec,
            ticket: contact.ticket,
            method: self.call.call.method.as_str().to_owned(),
            path: self.call.call.path.clone(),
            headers: self.call.call.headers.iter().map(header_pair).collect(),
            key: self.call.key.map(|key| key.0),
            traceparent,
        }
    }

    /// Cancels an attempt in a separate task, because the request may end before the agent has
    /// answered.
    fn cancel(&self, endpoint: &EndpointName, attempt: AttemptId, mode: CancelMode) {
        let sent = self.sent.iter().find(|sent| sent.attempt == attempt);
        let contact = sent
            .map(|sent| sent.contact.clone())
            .or_else(|| self.core.contact(endpoint));
        let peers = self.core.peers.clone();
        let request = self.identity.request;
        let events = self.event_sender.clone();
        tokio::spawn(async move {
            let verdict = cancel(&peers, contact, request, attempt, mode).await;
            let _ = events.send(EntryEvent::CancelAnswered { attempt, verdict });
        });
    }

    fn relay(&mut self, piece: Bytes) {
        if self.relay_span.is_none() {
            self.relay_span = Some(self.start_span("entry.relay"));
            let waited = self.core.clock.now().since(self.started);
            let class = self.call.class.as_str();
            self.core.metrics.observe_first_due(class, waited);
        }
        if self.sink.relay(self.head.take(), piece) == SinkState::Blocked {
            let request = self.identity.request;
            let event = EntryEvent::CallerBlocked;
            let actions = self.core.handle(request, None, &event);
            debug_assert!(actions.is_empty(), "a blocked caller triggers no action");
        }
    }

    async fn finish(mut self, answer: &FinalAnswer) -> Option<LateCancels> {
        if answer.cause == FinalCause::Complete {
            self.sink.finish(self.head.take());
        } else {
            self.sink.fail(&CallerError::of_answer(answer)).await;
        }
        self.core.finish(self.identity.request);
        self.core.metrics.in_flight.dec();
        self.record_outcome(answer);
        self.count(answer);
        self.log(answer);
        self.span.set_attribute("cause", answer.cause.as_str());
        self.span.set_attribute("verdict", answer.verdict.as_str());
        Some(LateCancels {
            core: Arc::clone(&self.core),
            request: self.identity.request,
            key: self.call.key?,
            events: self.event_receiver,
        })
    }

    fn start_span(&self, name: &'static str) -> HopSpan {
        let kind = SpanKind::Internal;
        self.core.tracer.start(name, kind, self.span.context())
    }
}

fn header_pair((name, value): (&http::HeaderName, &http::HeaderValue)) -> HeaderPair {
    HeaderPair {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

/// Returns the attempt that ends with this event.
fn ended_attempt(event: &EntryEvent) -> Option<AttemptId> {
    match event {
        EntryEvent::FirstFrame { .. } | EntryEvent::Piece { .. } => None,
        event => event.attempt(),
    }
}
