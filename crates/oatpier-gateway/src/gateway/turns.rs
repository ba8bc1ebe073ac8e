//! Requests and grants turns at endpoints with a rate limit, and shares such limits between gateways.
//!
//! A turn is the time at which one request may be sent to an endpoint that limits the requests of all gateways
//! together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::{InnerMessage, LimitReport, TurnAsk, TurnReply};
use oatpier_serving::notice::NoticeChange;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::turns::{HeldTurn, TurnAnswer, TurnQuery, TurnStep};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use tokio::time::sleep;

use super::core::{CoreState, GatewayCore};
use super::placement_decision::STOP_CHECK_INTERVAL;
use super::quota::ANSWER_TIMEOUT;

/// The outcome of a turn request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TurnVerdict {
    /// The endpoint has no rate limit.
    NotNeeded,
    /// The request has a turn.
    Granted(HeldTurn),
    /// The next turn is later than the request can wait.
    TooLate,
    /// No gateway that grants turns responded.
    NoHolder,
}

/// Requests a turn that starts within `max_wait`.
pub(super) async fn acquire_turn(
    core: &Arc<GatewayCore>,
    endpoint: &EndpointName,
    max_wait: Duration,
) -> TurnVerdict {
    loop {
        let query = match core.turn_step(endpoint, max_wait) {
            None => return TurnVerdict::NotNeeded,
            Some(TurnStep::Later(_)) => return TurnVerdict::TooLate,
            Some(TurnStep::NoHolder) => return TurnVerdict::NoHolder,
            Some(TurnStep::Query(query)) => query,
        };
        if let Some(turn) = core.request_turn(endpoint, &query).await {
            return TurnVerdict::Granted(turn);
        }
    }
}

/// Waits until a turn may be used. Returns false if the endpoint stops accepting requests meanwhile, or if the
/// gateway is being stopped.
pub(super) async fn wait_for_turn(
    core: &GatewayCore,
    endpoint: &EndpointName,
    turn: HeldTurn,
) -> bool {
    loop {
        let remaining = turn.at.since(core.clock.now());
        if remaining.is_zero() {
            return true;
        }
        sleep(remaining.min(STOP_CHECK_INTERVAL)).await;
        if core.is_closed() || !core.is_accepting(endpoint) {
            return false;
        }
    }
}

impl GatewayCore {
    fn turn_step(&self, endpoint: &EndpointName, max_wait: Duration) -> Option<TurnStep> {
        let now = self.clock.now();
        let mut state = self.lock();
        let CoreState {
            directory, grants, ..
        } = &mut *state;
        directory.next_turn_step(endpoint, grants.holders(), max_wait, now)
    }

    async fn request_turn(&self, endpoint: &EndpointName, query: &TurnQuery) -> Option<HeldTurn> {
        let limit = self.limit_report(endpoint, None)?;
        let answer = if query.holder == self.settings.borrow().inner_address() {
            Some(self.grant_turn(query.part, &limit, query.max_wait))
        } else {
            self.request_remote_turn(query, limit).await
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(answer) = answer else {
            state.grants.holders_mut().note_timeout(query.part, now);
            return None;
        };
        let CoreState {
            directory, grants, ..
        } = &mut *state;
        directory.apply_turn_answer(endpoint, grants.holders_mut(), query.part, answer, now)
    }

    async fn request_remote_turn(
        &self,
        query: &TurnQuery,
        limit: LimitReport,
    ) -> Option<TurnAnswer> {
        let send = |id| {
            let ask = TurnAsk {
                id,
                part: query.part,
                most_wait_ms: u32::try_from(query.max_wait.as_millis()).unwrap_or(u32::MAX),
                limit,
            };
            self.outlet.send(query.holder, &InnerMessage::TurnAsk(ask));
        };
        self.turn_asks.ask(ANSWER_TIMEOUT, send).await
    }

    /// Handles the request of another gateway for a turn of a part that this gateway holds.
    pub fn answer_turn_ask(&self, from: SocketAddr, ask: &TurnAsk) {
        let max_wait = Duration::from_millis(u64::from(ask.most_wait_ms));
        let answer = self.grant_turn(ask.part, &ask.limit, max_wait);
        let reply = TurnReply { id: ask.id, answer };
        self.outlet.send(from, &InnerMessage::TurnAnswer(reply));
    }

    /// Handles the answer of the holder of a part to a turn request.
    pub fn complete_turn_ask(&self, reply: TurnReply) {
        self.turn_asks.complete(reply.id, reply.answer);
    }

    /// Grants a turn according to the newest report of the limit, which may come with the request.
    fn grant_turn(&self, part: PartIndex, limit: &LimitReport, max_wait: Duration) -> TurnAnswer {
        let now = self.clock.now();
        self.apply_limit_report(limit);
        let mut state = self.lock();
        let row = state.directory.row(&limit.endpoint);
        let known = row.and_then(EndpointRow::limit).map(|known| known.rate);
        let Some(rate) = known.or(limit.rate) else {
            return TurnAnswer::NotHeld;
        };
        if !state.leases.holds(part, now) {
            return TurnAnswer::NotHeld;
        }
        state
            .holder
            .grant_turn(part, &limit.endpoint, rate, max_wait, now)
    }

    fn limit_report(
        &self,
        endpoint: &EndpointName,
        sent_at: Option<ClockTime>,
    ) -> Option<LimitReport> {
        let now = self.clock.now();
        self.lock().directory.limit_report(endpoint, sent_at, now)
    }

    /// Handles the report of another gateway about the rate limit of an endpoint.
    pub fn apply_limit_report(&self, report: &LimitReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(change) = state.directory.apply_limit_report(report, now) {
            self.log_notice(&state, &report.endpoint, change, None);
        }
    }

    /// Reports a change of an endpoint's rate limit to the other gateways. This gateway found it in the response to
    /// a request that was sent at `sent_at`. A gateway that misses the report learns of the change from a response
    /// of its own.
    pub(super) fn broadcast_limit(
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
        let Some(report) = self.limit_report(endpoint, Some(sent_at)) else {
            return;
        };
        self.broadcast(&InnerMessage::LimitSeen(report));
    }

    /// Returns whether an endpoint has a rate limit.
    pub(super) fn has_rate_limit(&self, endpoint: &EndpointName) -> bool {
        let state = self.lock();
        let row = state.directory.row(endpoint);
        row.is_some_and(|row| row.limit().is_some())
    }

    /// Returns whether an endpoint is neither leaving nor in a rest period.
    fn is_accepting(&self, endpoint: &EndpointName) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let row = state.directory.row(endpoint);
        row.is_some_and(|row| row.is_open(now) && row.allows_request(now))
    }

    /// Returns whether a request with this turn may be sent to an endpoint now, as far as is known.
    pub(super) fn may_send(&self, endpoint: &EndpointName, turn: Option<HeldTurn>) -> bool {
        let now = self.clock.now();
        self.lock().directory.may_send(endpoint, turn, now)
    }
}
