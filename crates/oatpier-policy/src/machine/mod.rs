//! The life of one request at its entry.
//!
//! ```text
//! claim -> choose -> attempt -> relay -> answer
//!             ^         |
//!             +- again -+   if the verdict and the retry budget allow
//! ```
//!
//! An at-most-once request has one live attempt at a time, and another one only after the former's
//! verdict is "not run". An idempotent request that hears nothing is sent elsewhere at once, while
//! the former attempt is cancelled. Whatever comes of an attempt that isn't the live one is
//! dropped and counted. A request whose time has passed gets its final answer at once.

mod again;
mod attempt;
mod context;
mod finish;
mod settings;
mod steps;

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

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestStep {
    Claiming,
    Attempting,
    Done,
}

/// What the façade adds to an intake: indices and the class's target.
#[derive(Debug, Clone, Copy)]
pub struct RequestFrame {
    /// Its class.
    pub class: ClassIndex,
    /// The class's target.
    pub target: ClassTarget,
    /// Its goal.
    pub goal: GoalIndex,
}

/// The life of one request.
#[derive(Debug)]
pub struct RequestMachine {
    intake: RequestIntake,
    frame: RequestFrame,
    settings: MachineSettings,
    step: RequestStep,
    arrived: ClockTime,
    due: ClockTime,
    give_up: ClockTime,
    live: Option<LiveAttempt>,
    tried: SmallVec<[EndpointIndex; 4]>,
    attempts: u32,
    /// Attempts that were cancelled, and whose verdict is not known yet.
    unsettled: SmallVec<[AttemptId; 2]>,
    /// The verdict on all settled attempts.
    settled: RunVerdict,
    claimed: bool,
    first_piece: Option<ClockTime>,
    relayed_tokens: u32,
    blocked_since: Option<ClockTime>,
    last_refusal: Option<Refusal>,
    open_seal: Option<OpenSeal>,
    dropped: u32,
}

/// A seal that was asked for a claimed change, and not answered when the request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenSeal {
    /// The claimed key, hashed.
    pub key: u64,
    /// The attempt.
    pub attempt: AttemptId,
}

/// One event's handling: what surrounds it, and the actions that come of it.
struct EventTurn<'a> {
    context: &'a mut dyn AttemptContext,
    now: ClockTime,
    actions: EntryActions,
}

impl RequestMachine {
    /// The life of a request that came in now. [`Self::start`] is to be called once.
    #[must_use]
    pub fn new(
        settings: MachineSettings,
        intake: RequestIntake,
        frame: RequestFrame,
        now: ClockTime,
    ) -> Self {
        let span = frame.target.first_due();
        Self {
            intake,
            frame,
            settings,
            step: RequestStep::Claiming,
            arrived: now,
            due: now + span,
            give_up: now + span * settings.give_up_percent / 100,
            live: None,
            tried: SmallVec::new(),
            attempts: 0,
            unsettled: SmallVec::new(),
            settled: RunVerdict::NotRun,
            claimed: false,
            first_piece: None,
            relayed_tokens: 0,
            blocked_since: None,
            last_refusal: None,
            open_seal: None,
            dropped: 0,
        }
    }

    /// Claims the request's key, or sends its first attempt.
    pub fn start(&mut self, context: &mut dyn AttemptContext, now: ClockTime) -> EntryActions {
        let mut turn = EventTurn::new(context, now);
        match self.key_to_claim() {
            Some(key) => {
                self.claimed = true;
                turn.actions.push(EntryAction::Claim { key });
            }
            None => self.send_first(&mut turn),
        }
        turn.actions
    }

    /// Takes an event over.
    pub fn handle(
        &mut self,
        event: &EntryEvent,
        context: &mut dyn AttemptContext,
        now: ClockTime,
    ) -> EntryActions {
        let mut turn = EventTurn::new(context, now);
        match self.step {
            RequestStep::Done => self.dropped += 1,
            RequestStep::Claiming | RequestStep::Attempting => self.take(event, &mut turn),
        }
        turn.actions
    }

    /// When `Timer` is to be given next; `NEVER` once it is done.
    #[must_use]
    pub fn timer(&self) -> ClockTime {
        if self.step == RequestStep::Done {
            return ClockTime::NEVER;
        }
        if let Some(since) = self.blocked_since {
            return since + self.settings.caller_hold;
        }
        let attempt = self.live.map_or(ClockTime::NEVER, |live| live.timer());
        attempt.min(self.deadline())
    }

    /// Whether its final answer was given.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.step == RequestStep::Done
    }

    /// Late, crossed or contradictory events that were dropped.
    #[must_use]
    pub fn dropped(&self) -> u32 {
        self.dropped
    }

    /// After its end: the seal whose answer may yet free its key.
    #[must_use]
    pub fn open_seal(&self) -> Option<OpenSeal> {
        self.open_seal
    }

    /// The request.
    #[must_use]
    pub fn intake(&self) -> &RequestIntake {
        &self.intake
    }

    /// Its class.
    #[must_use]
    pub fn class(&self) -> ClassIndex {
        self.frame.class
    }

    /// When it came in.
    #[must_use]
    pub fn arrived(&self) -> ClockTime {
        self.arrived
    }

    /// The endpoint of the live attempt.
    #[must_use]
    pub fn endpoint(&self) -> Option<EndpointIndex> {
        self.live.map(|live| live.endpoint)
    }

    /// The live attempt.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        self.live.map(|live| live.attempt)
    }

    /// How many attempts were sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether it may have run, as far as known.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        if self.live.is_none() && self.unsettled.is_empty() {
            return self.settled;
        }
        self.settled.and(RunVerdict::MayHaveRun)
    }

    fn take(&mut self, event: &EntryEvent, turn: &mut EventTurn<'_>) {
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
            _ => self.on_attempt(event, turn),
        }
    }

    /// An event of an attempt that isn't the live one is late or crossed: relaying it would mix
    /// two answers, and judging by it would judge the wrong attempt.
    fn on_attempt(&mut self, event: &EntryEvent, turn: &mut EventTurn<'_>) {
        let live = self
            .live
            .filter(|live| Some(live.attempt) == event.attempt());
        let Some(live) = live else {
            self.dropped += 1;
            return;
        };
        match event {
            EntryEvent::FirstFrame { .. } => self.on_frame(turn),
            EntryEvent::Piece { tokens, .. } => self.on_piece(*tokens, turn),
            EntryEvent::Ended { .. } => self.on_ended(live, turn),
            EntryEvent::Refused { refusal, .. } => self.on_refused(live, *refusal, turn),
            EntryEvent::Failed { verdict, .. } => self.on_failed(live, *verdict, turn),
            EntryEvent::Cut { .. } => self.on_failed(live, RunVerdict::MayHaveRun, turn),
            EntryEvent::ConnectFailed { .. } => self.on_connect_failed(live, turn),
            _ => self.dropped += 1,
        }
    }

    fn key_to_claim(&self) -> Option<u64> {
        let at_most_once = self.intake.repeat == Repeat::AtMostOnce;
        self.intake.key.filter(|_| at_most_once)
    }

    fn begun(&self) -> bool {
        self.first_piece.is_some()
    }

    /// Until the first piece, the class's target gives the deadline. After it, the caller has a
    /// part of its answer, and only a stall ends the request.
    fn deadline(&self) -> ClockTime {
        if self.begun() {
            ClockTime::NEVER
        } else {
            self.give_up
        }
    }

    fn stall_span(&self) -> Duration {
        let steps = match self.frame.target {
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
