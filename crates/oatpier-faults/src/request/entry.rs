//! The simulated entry: executes the actions of the entry policy.

use std::collections::BTreeMap;

use oatpier_policy::action::{CancelMode, EntryAction, EntryActions};
use oatpier_policy::entry::{EntryPolicy, EntrySettings};
use oatpier_policy::event::EntryEvent;
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::AttemptSpec;
use oatpier_types::status::{AdmissionTicket, QueueReport};
use oatpier_types::verdict::Repeat;
use std::time::Duration;

use super::claims::EntryClaims;
use super::fleet;
use super::message::{AnswerFrame, Message, NodeId};
use super::network::MessageDelivery;
use super::simulation::{Connection, RequestSimulation};
use crate::run::Bypass;
use crate::step::StepName;

/// The state of an entry since its last start.
pub struct EntryNode {
    pub policy: EntryPolicy,
    pub claims: EntryClaims,
    pub stopping: bool,
    tickets: BTreeMap<NodeId, AdmissionTicket>,
    sent: BTreeMap<AttemptId, AdmissionTicket>,
}

impl EntryNode {
    pub fn new(node: NodeId, boot: u64) -> Self {
        let settings = EntrySettings::default();
        let seed = boot * 16 + node as u64;
        let mut policy = EntryPolicy::new(settings, fleet::zone(node), seed);
        policy.apply_config(&fleet::config());
        Self {
            policy,
            claims: EntryClaims::new(node, BootId(u128::from(seed))),
            stopping: false,
            tickets: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    fn note_queue_report(&mut self, agent: NodeId, report: &QueueReport) {
        let ticket = AdmissionTicket::of(report);
        let known = self.tickets.entry(agent).or_insert(ticket);
        let newer = known.boot != ticket.boot || known.sequence < ticket.sequence;
        if newer && known.boot <= ticket.boot {
            *known = ticket;
        }
    }
}

/// The piece that an event of a request may relay, with the request that it belongs to.
type RelayPiece = Option<(u32, RequestId)>;

impl RequestSimulation {
    pub fn handle_entry_message(&mut self, entry: NodeId, from: NodeId, message: Message) {
        match message {
            Message::Submit(request) => self.start_request(entry, request),
            Message::Frame {
                request,
                attempt,
                frame,
            } => self.handle_frame(entry, from, request, attempt, frame),
            Message::CancelAnswer {
                request,
                attempt,
                verdict,
            } => {
                let event = EntryEvent::CancelAnswered { attempt, verdict };
                self.step_request(entry, request, &event, None);
            }
            Message::Status(status) => {
                let node = &mut self.entries[entry];
                let agent = fleet::agent_of(&status.endpoint);
                node.policy.on_status(&status, self.now);
                node.note_queue_report(agent, &status.queue);
            }
            Message::Leave => self.handle_leave(entry),
            other => self.handle_claim_message(entry, from, other),
        }
        self.schedule_entry(entry);
    }

    pub fn wake_entry(&mut self, entry: NodeId) {
        let mut fired = Vec::new();
        self.entries[entry].policy.fire_timers(self.now, &mut fired);
        for (request, actions) in fired {
            self.execute_entry_actions(entry, request, actions, None);
        }
        self.wake_claims(entry);
        self.schedule_entry(entry);
    }

    pub fn schedule_entry(&mut self, entry: NodeId) {
        let policy = self.entries[entry].policy.next_timer();
        let at = policy
            .unwrap_or(ClockTime::NEVER)
            .min(self.entries[entry].claims.next_timer());
        self.wake_at(entry, at);
    }

    fn start_request(&mut self, entry: NodeId, request: RequestId) {
        let Some(submission) = self.submissions.get(&request).copied() else {
            return;
        };
        if submission.is_answered {
            return;
        }
        let job = self.jobs[submission.job];
        let intake = fleet::intake(job.kind, request, job.key);
        let actions = self.entries[entry].policy.start(intake, self.now);
        self.execute_entry_actions(entry, request, actions, None);
    }

    fn handle_frame(
        &mut self,
        entry: NodeId,
        from: NodeId,
        request: RequestId,
        attempt: AttemptId,
        frame: AnswerFrame,
    ) {
        let mut attempt = attempt;
        if self.run_spec.bypasses(Bypass::AttemptMatch)
            && let Some(live) = self.entries[entry].policy.live_attempt(request)
        {
            attempt = live;
        }
        let piece = match &frame {
            AnswerFrame::Piece { position, content } => Some((*position, *content)),
            _ => None,
        };
        let event = event_of(attempt, frame);
        if let Some(report) = event.queue_report() {
            self.entries[entry].note_queue_report(from, report);
        }
        self.step_request(entry, request, &event, piece);
    }

    pub fn step_request(
        &mut self,
        entry: NodeId,
        request: RequestId,
        event: &EntryEvent,
        piece: RelayPiece,
    ) {
        let actions = self.entries[entry].policy.handle(request, event, self.now);
        self.execute_entry_actions(entry, request, actions, piece);
        self.schedule_entry(entry);
    }

    fn execute_entry_actions(
        &mut self,
        entry: NodeId,
        request: RequestId,
        actions: EntryActions,
        piece: RelayPiece,
    ) {
        for action in actions {
            if !self.nodes[entry].up {
                return;
            }
            match action {
                EntryAction::Claim { key } => self.claim(entry, request, key),
                EntryAction::SettleClaim { key, verdict } => {
                    self.settle(entry, request, key, verdict);
                }
                EntryAction::Send { endpoint, spec } | EntryAction::Resume { endpoint, spec } => {
                    self.send_attempt(entry, &endpoint, spec);
                }
                EntryAction::Cancel {
                    endpoint,
                    attempt,
                    mode,
                } => self.send_cancel(entry, request, &endpoint, attempt, mode),
                EntryAction::Relay { .. } => {
                    if let Some((position, content)) = piece {
                        self.record_piece(request, position, content);
                    }
                }
                EntryAction::Answer(answer) => self.end_request(entry, request, &answer),
            }
        }
    }

    fn end_request(&mut self, entry: NodeId, request: RequestId, answer: &FinalAnswer) {
        self.final_answer(request, answer);
        if self.entries[entry].stopping
            && answer.cause == FinalCause::Refused(RefusalCause::Leaving)
        {
            self.inject_at(StepName::StopRefuse, entry, super::message::CALLERS);
        }
        if self.run_spec.bypasses(Bypass::Drain) && self.entries[entry].stopping {
            self.check_stop();
        }
    }

    fn send_attempt(&mut self, entry: NodeId, endpoint: &EndpointName, spec: Box<AttemptSpec>) {
        let agent = fleet::agent_of(endpoint);
        self.inject_at(StepName::Choose, entry, agent);
        if !self.nodes[entry].up {
            return;
        }
        let Some(ticket) = self.entries[entry].tickets.get(&agent).copied() else {
            return;
        };
        self.entries[entry].sent.insert(spec.attempt, ticket);
        let connection = Connection {
            request: spec.request,
            entry,
            agent,
            earliest_arrival: self.now,
            is_broken: false,
        };
        self.connections.insert(spec.attempt, connection);
        let key = self.key_of(spec.request, spec.repeat);
        let is_delayed = self.is_delayed(spec.repeat);
        let message = Message::Attempt { spec, ticket, key };
        if is_delayed {
            // The cancel of the unanswered attempt overtakes the attempt.
            let delay = self.random_millis(700, 2_200);
            let delivery = self.inject_at(StepName::Send, entry, agent);
            debug_assert_eq!(delivery, MessageDelivery::Normal);
            self.post_directly(entry, agent, message, delay);
        } else {
            self.send(Some(StepName::Send), entry, agent, message);
        }
    }

    /// Returns whether to delay an attempt. Runs with faults at the cancel step delay some early changes, so that they are
    /// sealed.
    fn is_delayed(&mut self, repeat: Repeat) -> bool {
        let early = self.now < ClockTime::from_millis(2_500);
        let wanted = self.targets(StepName::Cancel) && !self.targets(StepName::Send);
        wanted
            && early
            && repeat == Repeat::AtMostOnce
            && self.random_millis(0, 1) == Duration::ZERO
    }

    fn key_of(&self, request: RequestId, repeat: Repeat) -> Option<u64> {
        let submission = self.submissions.get(&request)?;
        (repeat == Repeat::AtMostOnce).then(|| self.jobs[submission.job].key)
    }

    fn send_cancel(
        &mut self,
        entry: NodeId,
        request: RequestId,
        endpoint: &EndpointName,
        attempt: AttemptId,
        mode: CancelMode,
    ) {
        let Some(ticket) = self.entries[entry].sent.get(&attempt).copied() else {
            return;
        };
        let connection = self.connections.get(&attempt);
        let agent = connection.map_or(fleet::agent_of(endpoint), |connection| connection.agent);
        let message = Message::Cancel {
            request,
            attempt,
            ticket,
            seal_only: mode == CancelMode::SealOnly,
        };
        self.send(Some(StepName::Cancel), entry, agent, message);
    }
}

fn event_of(attempt: AttemptId, frame: AnswerFrame) -> EntryEvent {
    match frame {
        AnswerFrame::Head(report) => EntryEvent::FirstFrame {
            attempt,
            report: Some(report),
        },
        AnswerFrame::Piece { position, .. } => EntryEvent::Piece {
            attempt,
            // Services answer in bytes rather than tokens, in a single piece.
            tokens: u32::from(position < fleet::STREAM_PIECES),
        },
        AnswerFrame::End(report) => EntryEvent::Ended {
            attempt,
            report: Some(report),
        },
        AnswerFrame::Refused(refusal, report) => EntryEvent::Refused {
            attempt,
            refusal,
            report: Some(report),
        },
        AnswerFrame::Failed(verdict) => EntryEvent::Failed { attempt, verdict },
        AnswerFrame::Cut => EntryEvent::ConnectionLost { attempt },
        AnswerFrame::NotConnected => EntryEvent::ConnectFailed { attempt },
    }
}

/// Returns the refusal of a duplicate attempt.
pub fn copy_refusal() -> Refusal {
    Refusal {
        cause: RefusalCause::Duplicate,
        retry_after: None,
    }
}
