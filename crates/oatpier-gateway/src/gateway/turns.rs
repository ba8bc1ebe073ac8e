//! Turns at endpoints that limit the requests of all gateways: asked for, given, and told of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::{InnerMessage, LimitWord, TurnAsk, TurnReply};
use oatpier_serving::notice::NoticeChange;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::turns::{HeldTurn, TurnAnswer, TurnQuery, TurnStep};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use tokio::time::sleep;

use super::core::{CoreState, GatewayCore};
use super::placing::LONGEST_PAUSE;
use super::quota::ANSWER_WAIT;

/// How a request gets on at an endpoint that may name a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TurnVerdict {
    /// The endpoint names no limit.
    Free,
    /// It has a turn.
    Given(HeldTurn),
    /// The next turn is further ahead than it waits.
    Later,
    /// No gateway that gives turns answers.
    Nobody,
}

/// Asks for a turn that is at most `most_wait` ahead.
pub(super) async fn take_turn(
    core: &Arc<GatewayCore>,
    endpoint: &EndpointName,
    most_wait: Duration,
) -> TurnVerdict {
    loop {
        let query = match core.turn_step(endpoint, most_wait) {
            None => return TurnVerdict::Free,
            Some(TurnStep::Later(_)) => return TurnVerdict::Later,
            Some(TurnStep::Nobody) => return TurnVerdict::Nobody,
            Some(TurnStep::Ask(query)) => query,
        };
        if let Some(turn) = core.ask_for_turn(endpoint, &query).await {
            return TurnVerdict::Given(turn);
        }
    }
}

/// Waits until a turn may be used; false if meanwhile its endpoint has said that it wants nothing, or the gateway is
/// being stopped.
pub(super) async fn wait_for_turn(
    core: &GatewayCore,
    endpoint: &EndpointName,
    turn: HeldTurn,
) -> bool {
    loop {
        let left = turn.at.since(core.clock.now());
        if left.is_zero() {
            return true;
        }
        sleep(left.min(LONGEST_PAUSE)).await;
        if core.is_closed() || !core.takes_requests(endpoint) {
            return false;
        }
    }
}

impl GatewayCore {
    fn turn_step(&self, endpoint: &EndpointName, most_wait: Duration) -> Option<TurnStep> {
        let now = self.clock.now();
        let mut state = self.lock();
        let CoreState {
            directory, grants, ..
        } = &mut *state;
        directory.turn_step(endpoint, grants.holders(), most_wait, now)
    }

    async fn ask_for_turn(&self, endpoint: &EndpointName, query: &TurnQuery) -> Option<HeldTurn> {
        let limit = self.limit_word(endpoint, None)?;
        let answer = if query.holder == self.settings.borrow().inner_address() {
            Some(self.give_turn(query.part, &limit, query.most_wait))
        } else {
            self.remote_turn(query, limit).await
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(answer) = answer else {
            state.grants.holders_mut().note_silence(query.part, now);
            return None;
        };
        let CoreState {
            directory, grants, ..
        } = &mut *state;
        directory.take_turn_answer(endpoint, grants.holders_mut(), query.part, answer, now)
    }

    async fn remote_turn(&self, query: &TurnQuery, limit: LimitWord) -> Option<TurnAnswer> {
        let send = |id| {
            let ask = TurnAsk {
                id,
                part: query.part,
                most_wait_ms: u32::try_from(query.most_wait.as_millis()).unwrap_or(u32::MAX),
                limit,
            };
            self.outlet.send(query.holder, &InnerMessage::TurnAsk(ask));
        };
        self.turn_asks.ask(ANSWER_WAIT, send).await
    }

    /// Another gateway asks for a turn of a part that this one holds.
    pub fn take_turn_ask(&self, from: SocketAddr, ask: &TurnAsk) {
        let most_wait = Duration::from_millis(u64::from(ask.most_wait_ms));
        let answer = self.give_turn(ask.part, &ask.limit, most_wait);
        let reply = TurnReply { id: ask.id, answer };
        self.outlet.send(from, &InnerMessage::TurnAnswer(reply));
    }

    /// A holder answered.
    pub fn take_turn_reply(&self, reply: TurnReply) {
        self.turn_asks.take(reply.id, reply.answer);
    }

    /// Gives a turn by the newest word on the limit, which may be the asker's.
    fn give_turn(&self, part: PartIndex, limit: &LimitWord, most_wait: Duration) -> TurnAnswer {
        let now = self.clock.now();
        self.take_limit_word(limit);
        let mut state = self.lock();
        let row = state.directory.row(&limit.endpoint);
        let known = row.and_then(EndpointRow::limit).map(|known| known.rate);
        let Some(rate) = known.or(limit.rate) else {
            return TurnAnswer::NotHeld;
        };
        if !state.tenure.holds(part, now) {
            return TurnAnswer::NotHeld;
        }
        state
            .holder
            .give_turn(part, &limit.endpoint, rate, most_wait, now)
    }

    fn limit_word(&self, endpoint: &EndpointName, sent_at: Option<ClockTime>) -> Option<LimitWord> {
        let now = self.clock.now();
        self.lock().directory.limit_word(endpoint, sent_at, now)
    }

    /// Another gateway told what an endpoint's answer said of its limit.
    pub fn take_limit_word(&self, word: &LimitWord) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(change) = state.directory.take_limit_word(word, now) {
            self.log_notice(&state, &word.endpoint, change, None);
        }
    }

    /// Tells the other gateways of a change of an endpoint's limit, which this one saw in the answer to a request that
    /// was sent at `sent_at`. One that misses it learns of it by an answer of its own.
    pub(super) fn tell_limit(
        &self,
        endpoint: &EndpointName,
        changes: &[NoticeChange],
        sent_at: ClockTime,
    ) {
        let is_of_limit = |change: &NoticeChange| {
            matches!(change, NoticeChange::RateNamed(_) | NoticeChange::RateEnded)
        };
        if !changes.iter().any(is_of_limit) {
            return;
        }
        let Some(word) = self.limit_word(endpoint, Some(sent_at)) else {
            return;
        };
        self.tell_gateways(&InnerMessage::LimitSeen(word));
    }

    /// Whether an endpoint names a limit.
    pub(super) fn names_limit(&self, endpoint: &EndpointName) -> bool {
        let state = self.lock();
        let row = state.directory.row(endpoint);
        row.is_some_and(|row| row.limit().is_some())
    }

    /// Whether an endpoint neither leaves nor rests.
    fn takes_requests(&self, endpoint: &EndpointName) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let row = state.directory.row(endpoint);
        row.is_some_and(|row| row.is_open(now) && row.is_rested(now))
    }

    /// Whether an endpoint may be sent a request that has this turn, by what is known now.
    pub(super) fn may_send(&self, endpoint: &EndpointName, turn: Option<HeldTurn>) -> bool {
        let now = self.clock.now();
        self.lock().directory.may_send(endpoint, turn, now)
    }
}
