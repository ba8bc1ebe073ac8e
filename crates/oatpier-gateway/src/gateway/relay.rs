//! An answer that goes back as a stream of events.
//!
//! Pieces go on as they come. Where a stream may be resumed, only whole events go on, so that a cut
//! one can be taken up at another endpoint after the last event that the caller has. An end that
//! the framing does not confirm cuts the caller's connection: it never looks like a whole answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oatpier_platform::headers;
use oatpier_serving::directory::EndpointOutcome;
use oatpier_serving::site::RouteKind;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_wire::client::AnswerBody;
use oatpier_wire::reply::{BoxError, Reply};
use oatpier_wire::sse::EventSplitter;
use tokio::time::timeout_at;

use super::attempt::{self, AttemptFailure, AttemptGuard, OpenAnswer};
use super::pauses::PauseWatch;
use super::placement::PlacedSend;
use super::run::RequestRun;

/// A stream that may be resumed is given up after this many of the longest pauses that are in time.
const STALL_PAUSES: u32 = 4;

/// The least stall that is acted upon: an engine reads long prompts between events.
const STALL_LEAST: Duration = Duration::from_millis(500);

/// The end of every event.
const EVENT_END: &[u8] = b"\n\n";

/// A stream on its way.
struct StreamRelay {
    run: RequestRun,
    body: AnswerBody,
    guard: Option<AttemptGuard>,
    /// Cuts the stream into events, where it may be resumed.
    splitter: Option<EventSplitter>,
    last_event: Option<String>,
    /// Whether the last piece ended with an event.
    at_event_end: bool,
    /// The last bytes that went on unchanged.
    tail: Vec<u8>,
    stall: Duration,
    first: Option<Bytes>,
    first_after: Duration,
    pauses: PauseWatch,
}

/// What came next of a stream.
enum StreamStep {
    Piece(Bytes),
    End,
    Failed(AttemptFailure),
    /// Nothing came for longer than a stream that can go on elsewhere should wait.
    Stalled,
    Expired,
}

/// Begins to relay a stream, once its first piece is here: until then another endpoint can still
/// answer.
///
/// # Errors
///
/// The stream broke off before its first piece.
pub(super) async fn relay(run: &RequestRun, answer: OpenAnswer) -> Result<Reply, AttemptFailure> {
    let OpenAnswer {
        status,
        headers,
        body,
        guard,
    } = answer;
    let RouteKind::Stream { resumable, pause } = run.plan.route.kind else {
        return Err(AttemptFailure::Spoilt);
    };
    let mut relay = StreamRelay {
        run: run.clone(),
        body,
        guard: Some(guard),
        splitter: resumable.then(EventSplitter::new),
        last_event: None,
        at_event_end: true,
        tail: Vec::new(),
        stall: (pause * STALL_PAUSES).max(STALL_LEAST),
        first: None,
        first_after: Duration::ZERO,
        pauses: PauseWatch::begin(&run.plan.route, run.core.clock.now()),
    };
    match relay.step_or_move().await {
        StreamStep::Piece(piece) => relay.first = Some(piece),
        StreamStep::End => relay.finish(),
        StreamStep::Failed(failure) => {
            relay.finish_broken();
            return Err(failure);
        }
        StreamStep::Stalled | StreamStep::Expired => return Err(AttemptFailure::Silent),
    }
    if let Some(guard) = &mut relay.guard {
        guard.note_first();
    }
    let now = run.core.clock.now();
    relay.first_after = now.since(run.plan.arrived);
    relay.pauses = PauseWatch::begin(&run.plan.route, now);
    run.log_answered(status);
    let pieces = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(piece)) => Some((Ok(Frame::data(piece)), Some(relay))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let mut reply = Response::new(BodyExt::boxed_unsync(StreamBody::new(pieces)));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    Ok(reply)
}

impl StreamRelay {
    /// The next piece for the caller; none at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BoxError>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        self.guard.as_ref()?;
        loop {
            let failure = match self.step_or_move().await {
                StreamStep::Piece(piece) => {
                    self.note_piece();
                    return Some(Ok(piece));
                }
                StreamStep::End => {
                    self.finish();
                    return None;
                }
                StreamStep::Expired => {
                    if let Some(guard) = self.guard.take() {
                        self.run
                            .log_cut(&guard.endpoint, AttemptFailure::Silent, false);
                    }
                    return Some(Err("the stream's time is over".into()));
                }
                StreamStep::Failed(failure) => failure,
                StreamStep::Stalled => AttemptFailure::Silent,
            };
            let endpoint = self.guard.as_ref()?.endpoint.clone();
            self.finish_broken();
            let resumed = self.resume(failure, &endpoint).await.is_some();
            self.run.log_cut(&endpoint, failure, resumed);
            if !resumed {
                return Some(Err(failure.as_str().into()));
            }
        }
    }

    /// The next step. A stall counts only where the stream can go on elsewhere at once: an
    /// endpoint's silence alone is no reason to end an answer.
    async fn step_or_move(&mut self) -> StreamStep {
        loop {
            let step = self.step().await;
            if !matches!(step, StreamStep::Stalled) {
                return step;
            }
            let Some(guard) = &self.guard else {
                return step;
            };
            let since = guard.sent_at();
            self.run.core.note_silence(&guard.endpoint, since);
            if self.run.may_move_from(&guard.endpoint) {
                return step;
            }
        }
    }

    async fn step(&mut self) -> StreamStep {
        loop {
            let deadline = self.run.core.clock.instant(self.run.plan.deadline);
            let stalled_at = self.stalled_at();
            let until = stalled_at.map_or(deadline, |at| at.min(deadline));
            let frame = match timeout_at(until, self.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if until < deadline => return StreamStep::Stalled,
                Err(_) => return StreamStep::Expired,
            };
            match frame {
                Some(Ok(frame)) => {
                    let piece = frame.into_data().ok().and_then(|data| self.take(data));
                    if let Some(piece) = piece {
                        return StreamStep::Piece(piece);
                    }
                }
                None if self.at_event_end => return StreamStep::End,
                // A stream without a length whose endpoint died ends like a whole one, but in the
                // middle of an event.
                Some(Err(_)) | None => return StreamStep::Failed(AttemptFailure::Cut),
            }
        }
    }

    /// When the endpoint is thought silent; only streams that can go on elsewhere are given up.
    fn stalled_at(&self) -> Option<tokio::time::Instant> {
        let can_move = self.splitter.is_some() && self.run.sends_left() >= 2;
        can_move.then(|| {
            let now: ClockTime = self.run.core.clock.now();
            self.run.core.clock.instant(now + self.stall)
        })
    }

    /// What of a piece goes to the caller now.
    fn take(&mut self, data: Bytes) -> Option<Bytes> {
        let Some(splitter) = &mut self.splitter else {
            self.note_raw(&data);
            return (!data.is_empty()).then_some(data);
        };
        splitter.push(&data);
        let mut whole = BytesMut::new();
        // An event beyond the limit ends the pieces; what is left then never ends with an event.
        while let Ok(Some(event)) = splitter.next_event() {
            if let Some(id) = headers::event_id(&event.bytes) {
                self.last_event = Some(id.to_owned());
            }
            whole.extend_from_slice(&event.bytes);
        }
        self.at_event_end = splitter.rest().is_empty();
        (!whole.is_empty()).then(|| whole.freeze())
    }

    /// Notes whether the stream is at the end of an event, which may come in two pieces.
    fn note_raw(&mut self, data: &[u8]) {
        self.tail.extend_from_slice(data);
        let excess = self.tail.len().saturating_sub(EVENT_END.len());
        self.tail.drain(..excess);
        self.at_event_end = self.tail == EVENT_END;
    }

    fn note_piece(&mut self) {
        if let Some(guard) = &self.guard {
            let now = self.run.core.clock.now();
            self.pauses.note_piece(&self.run.core, &guard.endpoint, now);
        }
    }

    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            let pause = self.pauses.late_by();
            self.run
                .log_lateness(&guard.endpoint, self.first_after, pause);
            guard.finish_whole();
        }
    }

    fn finish_broken(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.finish(EndpointOutcome::Broken);
        }
    }

    /// Takes the stream up at another endpoint, after the last event that the caller has.
    async fn resume(&mut self, failure: AttemptFailure, endpoint: &EndpointName) -> Option<()> {
        self.splitter.as_ref()?;
        let mut failure = failure;
        let mut endpoint = endpoint.clone();
        loop {
            if self.run.after(&endpoint, failure).is_some() {
                return None;
            }
            let deadline = self.run.core.clock.instant(self.run.plan.deadline);
            let mut placed = timeout_at(deadline, self.run.placement())
                .await
                .ok()?
                .ok()?;
            match self.send_on(&mut placed).await {
                Ok(()) => return Some(()),
                Err(next) => {
                    failure = next;
                    endpoint = placed.choice.endpoint;
                }
            }
        }
    }

    async fn send_on(&mut self, placed: &mut PlacedSend) -> Result<(), AttemptFailure> {
        let run = &self.run;
        let after_event = self.last_event.as_deref();
        let sending = attempt::send(&run.core, &run.plan, &run.message, placed, after_event);
        let deadline = run.core.clock.instant(run.plan.deadline);
        let answer = timeout_at(deadline, sending)
            .await
            .map_err(|_| AttemptFailure::Silent)??;
        if !answer.status.is_success() {
            answer.guard.finish(EndpointOutcome::ServerError);
            return Err(AttemptFailure::ServerError);
        }
        self.body = answer.body;
        self.guard = Some(answer.guard);
        self.splitter = Some(EventSplitter::new());
        self.at_event_end = true;
        Ok(())
    }
}
