//! State machine of one request at its entry.
//!
//! ```text
//! claim -> choose -> attempt -> relay -> answer
//!             ^         |
//!             +- retry -+   if the verdict and the retry budget permit
//! ```
//!
//! An at-most-once request has one live attempt at a time. Another one is sent only after the
//! verdict on the previous one is "not run". An idempotent request without a response is sent to
//! another endpoint at once, and the previous attempt is cancelled. Events of an attempt that isn't
//! the live one are dropped and counted. A request whose deadline has passed gets its final answer
//! at once.

mod attempt;
mod context;
mod dispatch;
mod finish;
mod handlers;
mod settings;

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::Refusal;
use oatpier_types::verdict::{Repeat, RunVerdict};
use smallvec::SmallVec;

use crate::action::{CancelMode, EntryAction, EntryActions};
use crate::event::{EntryEvent, RequestIntake};
use crate::index::{ClassIndex, EndpointIndex, GoalIndex};

use attempt::LiveAttempt;

pub use context::AttemptContext;
pub use settings::MachineSettings;

/// The phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestPhase {
    Claiming,
    Attempting,
    Done,
}

/// The indices and the class's target that the façade looks up for a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLookup {
    /// The class of the request.
    pub class: ClassIndex,
    /// The target of the class.
    pub target: ClassTarget,
    /// The goal (model, adapter or service) of the request.
    pub goal: GoalIndex,
}

/// State machine of one request.
#[derive(Debug)]
pub struct RequestMachine {
    intake: RequestIntake,
    lookup: RequestLookup,
    settings: MachineSettings,
    phase: RequestPhase,
    arrived_at: ClockTime,
    due_at: ClockTime,
    give_up_at: ClockTime,
    live: Option<LiveAttempt>,
    tried_endpoints: SmallVec<[EndpointIndex; 4]>,
    attempts: u32,
    /// Cancelled attempts whose verdict is not known yet.
    pending_cancels: SmallVec<[AttemptId; 2]>,
    /// The combined verdict on all attempts whose verdict is known.
    known_verdict: RunVerdict,
    has_claim: bool,
    first_piece: Option<ClockTime>,
    relayed_tokens: u32,
    blocked_since: Option<ClockTime>,
    last_refusal: Option<Refusal>,
    pending_seal: Option<PendingSeal>,
    dropped: u32,
}

/// A requested seal of an attempt with a claimed key, not yet answered when the request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingSeal {
    /// The hashed idempotency key that was claimed.
    pub key: u64,
    /// The attempt to be sealed.
    pub attempt: AttemptId,
}

/// The context in which one event is handled, and the resulting actions.
struct EventTurn<'a> {
    context: &'a mut dyn AttemptContext,
    now: ClockTime,
    actions: EntryActions,
}

impl RequestMachine {
    /// Creates the state machine of a request that arrived at `now`. [`Self::start`] must be called
    /// once.
    #[must_use]
    pub fn new(
        settings: MachineSettings,
        intake: RequestIntake,
        lookup: RequestLookup,
        now: ClockTime,
    ) -> Self {
        let span = lookup.target.first_due();
        Self {
            intake,
            lookup,
            settings,
            phase: RequestPhase::Claiming,
            arrived_at: now,
            due_at: now + span,
            give_up_at: now + span * settings.give_up_percent / 100,
            live: None,
            tried_endpoints: SmallVec::new(),
            attempts: 0,
            pending_cancels: SmallVec::new(),
            known_verdict: RunVerdict::NotRun,
            has_claim: false,
            first_piece: None,
            relayed_tokens: 0,
            blocked_since: None,
            last_refusal: None,
            pending_seal: None,
            dropped: 0,
        }
    }

    /// Starts the request: claims its key, or sends its first attempt.
    pub fn start(&mut self, context: &mut dyn AttemptContext, now: ClockTime) -> EntryActions {
        let mut turn = EventTurn::new(context, now);
        match self.key_to_claim() {
            Some(key) => {
                self.has_claim = true;
                turn.actions.push(EntryAction::Claim { key });
            }
            None => self.send_first(&mut turn),
        }
        turn.actions
    }

    /// Handles an event.
    pub fn handle(
        &mut self,
        event: &EntryEvent,
        context: &mut dyn AttemptContext,
        now: ClockTime,
    ) -> EntryActions {
        let mut turn = EventTurn::new(context, now);
        match self.phase {
            RequestPhase::Done => self.dropped += 1,
            RequestPhase::Claiming | RequestPhase::Attempting => self.apply_event(event, &mut turn),
        }
        turn.actions
    }

    /// Returns the time at which `Timer` must be delivered next; `NEVER` after the end of the
    /// request.
    #[must_use]
    pub fn timer(&self) -> ClockTime {
        if self.phase == RequestPhase::Done {
            return ClockTime::NEVER;
        }
        if let Some(since) = self.blocked_since {
            return since + self.settings.caller_hold;
        }
        let attempt = self.live.map_or(ClockTime::NEVER, |live| live.timer());
        attempt.min(self.deadline())
    }

    /// Returns whether the final answer was given.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == RequestPhase::Done
    }

    /// Returns the number of late, reordered or contradictory events that were dropped.
    #[must_use]
    pub fn dropped(&self) -> u32 {
        self.dropped
    }

    /// Returns the unanswered seal that may still free the request's key, after the end of the
    /// request.
    #[must_use]
    pub fn pending_seal(&self) -> Option<PendingSeal> {
        self.pending_seal
    }

    /// Returns the request.
    #[must_use]
    pub fn intake(&self) -> &RequestIntake {
        &self.intake
    }

    /// Returns the class of the request.
    #[must_use]
    pub fn class(&self) -> ClassIndex {
        self.lookup.class
    }

    /// Returns the time of arrival.
    #[must_use]
    pub fn arrived_at(&self) -> ClockTime {
        self.arrived_at
    }

    /// Returns the endpoint of the live attempt.
    #[must_use]
    pub fn endpoint(&self) -> Option<EndpointIndex> {
        self.live.map(|live| live.endpoint)
    }

    /// Returns the id of the live attempt.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        self.live.map(|live| live.attempt)
    }

    /// Returns the number of attempts that were sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether the request may have run, as far as known.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        if self.live.is_none() && self.pending_cancels.is_empty() {
            return self.known_verdict;
        }
        self.known_verdict.and(RunVerdict::MayHaveRun)
    }

    fn apply_event(&mut self, event: &EntryEvent, turn: &mut EventTurn<'_>) {
        match event {
            EntryEvent::Timer => self.on_timer(turn),
            EntryEvent::CallerGone => self.on_caller_gone(turn),
            EntryEvent::CallerBlocked => self.on_caller_blocked(turn),
            EntryEvent::CallerReady => self.on_caller_ready(turn),
            EntryEvent::ClaimGranted
            | EntryEvent::ClaimRefused { .. }
            | EntryEvent::ClaimUnavailable => self.on_claim(event, turn),
            EntryEvent::CancelAnswered { attempt, verdict } => {
                self.on_cancel_answered(*attempt, *verdict, turn);
            }
            _ => self.on_attempt_event(event, turn),
        }
    }

    /// Handles an event of an attempt.
    ///
    /// An event of any attempt but the live one arrived late or out of order and is dropped:
    /// relaying its data would mix two answers, and its outcome would be attributed to the wrong
    /// attempt.
    fn on_attempt_event(&mut self, event: &EntryEvent, turn: &mut EventTurn<'_>) {
        let live = self
            .live
            .filter(|live| Some(live.attempt) == event.attempt());
        let Some(live) = live else {
            self.dropped += 1;
            return;
        };
        match event {
            EntryEvent::FirstFrame { .. } => self.on_first_frame(turn),
            EntryEvent::Piece { tokens, .. } => self.on_piece(*tokens, turn),
            EntryEvent::Ended { .. } => self.on_ended(live, turn),
            EntryEvent::Refused { refusal, .. } => self.on_refused(live, *refusal, turn),
            EntryEvent::Failed { verdict, .. } => self.on_failed(live, *verdict, turn),
            EntryEvent::ConnectionLost { .. } => self.on_failed(live, RunVerdict::MayHaveRun, turn),
            EntryEvent::ConnectFailed { .. } => self.on_connect_failed(live, turn),
            _ => self.dropped += 1,
        }
    }

    fn key_to_claim(&self) -> Option<u64> {
        let at_most_once = self.intake.repeat == Repeat::AtMostOnce;
        self.intake.key.filter(|_| at_most_once)
    }

    fn has_begun(&self) -> bool {
        self.first_piece.is_some()
    }

    /// Returns the deadline of the request.
    ///
    /// Before the first piece, the class's target determines it. After the first piece, the caller
    /// has a part of its answer, and only a stall ends the request.
    fn deadline(&self) -> ClockTime {
        if self.has_begun() {
            ClockTime::NEVER
        } else {
            self.give_up_at
        }
    }

    fn stall_timeout(&self) -> Duration {
        let steps = match self.lookup.target {
            ClassTarget::Stream { between_tokens, .. } => {
                between_tokens * self.settings.stall_steps
            }
            ClassTarget::Whole { answer } => answer / 2,
        };
        steps.max(self.settings.stall_floor)
    }
}

impl<'a> EventTurn<'a> {
    fn new(context: &'a mut dyn AttemptContext, now: ClockTime) -> Self {
        Self {
            context,
            now,
            actions: EntryActions::new(),
        }
    }
    fn cancel(&mut self, live: &LiveAttempt, mode: CancelMode) {
        self.actions.push(EntryAction::Cancel {
            endpoint: self.context.endpoint_name(live.endpoint),
            attempt: live.attempt,
            mode,
        });
    }
}
