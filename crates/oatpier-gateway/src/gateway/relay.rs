//! Relays a response as a stream of events.
//!
//! Chunks are forwarded as they arrive. If the stream is resumable, only complete events are forwarded, so that a
//! broken stream can be resumed at another endpoint after the last event that the caller received. If the framing
//! does not confirm the end of a stream, the caller's connection is cut, so that a truncated response never looks
//! complete.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oatpier_platform::headers;
use oatpier_serving::choice::VersionPin;
use oatpier_serving::directory::RequestOutcome;
use oatpier_serving::site::RouteKind;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_wire::client::ResponseBody;
use oatpier_wire::reply::{BoxError, Reply};
use oatpier_wire::sse::{EventSplitter, EventTooLong};
use tokio::time::{timeout, timeout_at};

use super::attempt::{self, AttemptGuard, OpenResponse};
use super::attempt_failure::AttemptFailure;
use super::buffers::{IncomingLease, MemoryShort};
use super::pauses::PauseTracker;
use super::placement::PlacedSend;
use super::run::RequestRun;
use super::run_log::StreamEnd;

/// The stall timeout of a resumable stream, as a multiple of the longest allowed pause between chunks.
const STALL_TIMEOUT_PAUSES: u32 = 4;

/// The shortest stall timeout: an engine processes long prompts between events.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a stalled stream waits for a place at another endpoint. Meanwhile nothing is forwarded.
const MAX_MOVE_WAIT: Duration = Duration::from_millis(200);

/// Number of events that show that an endpoint is beyond the beginning of its response. One that crashes there may have
/// sent the first event.
const PROGRESS_EVENTS: u32 = 2;

/// The bytes that end events: an empty line after the end of a line.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// The length of the longest of them.
const MAX_EVENT_END: usize = 3;

/// A stream that is being relayed.
struct StreamRelay {
    run: RequestRun,
    /// The endpoint that the stream comes from.
    endpoint: EndpointName,
    body: ResponseBody,
    guard: Option<AttemptGuard>,
    /// Splits a resumable stream into events.
    splitter: Option<EventSplitter>,
    /// The memory of the event that has not arrived completely.
    rest: IncomingLease,
    last_event: Option<String>,
    /// Whether the stream may end here: at the end of an event or, if its framing tells its end, before the first one.
    is_at_event_end: bool,
    /// Number of complete events from the present endpoint, as far as they are told apart.
    events: u32,
    /// The last bytes that were forwarded unchanged.
    tail: Vec<u8>,
    stall_timeout: Duration,
    /// Whether it is recorded at which version the stream began.
    is_recorded: bool,
    first_chunk: Option<Bytes>,
    first_chunk_latency: Duration,
    pauses: PauseTracker,
}

/// The next step of a stream.
enum StreamStep {
    Chunk(Bytes),
    End,
    Failed(AttemptFailure),
    /// Nothing arrived within the stall timeout of a stream that can be resumed elsewhere.
    Stalled,
    Expired,
}

/// Starts to relay a stream once its first chunk has arrived; until then another endpoint can still serve the
/// request.
///
/// # Errors
///
/// Returns an error if the stream broke off before its first chunk.
pub(super) async fn relay(
    run: &RequestRun,
    response: OpenResponse,
) -> Result<Reply, AttemptFailure> {
    let OpenResponse {
        status,
        headers,
        body,
        is_framed,
        guard,
    } = response;
    let RouteKind::Stream { resumable, pause } = run.context.route.kind else {
        return Err(AttemptFailure::Spoilt);
    };
    let mut relay = StreamRelay {
        run: run.clone(),
        endpoint: guard.endpoint.clone(),
        body,
        guard: Some(guard),
        splitter: resumable.then(EventSplitter::new),
        rest: run.core.begin_response(),
        last_event: None,
        is_at_event_end: is_framed,
        events: 0,
        tail: Vec::new(),
        stall_timeout: (pause * STALL_TIMEOUT_PAUSES).max(MIN_STALL_TIMEOUT),
        is_recorded: false,
        first_chunk: None,
        first_chunk_latency: Duration::ZERO,
        pauses: PauseTracker::begin(&run.context.route, run.core.clock.now()),
    };
    match relay.step_with_failover().await {
        StreamStep::Chunk(chunk) => relay.first_chunk = Some(chunk),
        StreamStep::End => relay.finish(),
        StreamStep::Failed(failure) => {
            relay.finish_failed(failure);
            return Err(failure);
        }
        StreamStep::Stalled | StreamStep::Expired => return Err(AttemptFailure::Silent),
    }
    if let Some(guard) = &mut relay.guard {
        guard.record_first_chunk();
    }
    let now = run.core.clock.now();
    relay.first_chunk_latency = now.since(run.context.arrived);
    relay.pauses = PauseTracker::begin(&run.context.route, now);
    if resumable {
        relay.run.pin = VersionPin::of(run.version.as_ref());
        relay.is_recorded = run.core.record_stream(&run.context, run.version.as_ref());
    }
    run.log_response(status);
    let chunks = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(chunk)) => Some((Ok(Frame::data(chunk)), Some(relay))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let mut reply = Response::new(BodyExt::boxed_unsync(StreamBody::new(chunks)));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    Ok(reply)
}

impl StreamRelay {
    /// Returns the next chunk for the caller, or `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BoxError>> {
        if let Some(first) = self.first_chunk.take() {
            return Some(Ok(first));
        }
        self.guard.as_ref()?;
        loop {
            let failure = match self.step_with_failover().await {
                StreamStep::Chunk(chunk) => {
                    self.record_chunk();
                    return Some(Ok(chunk));
                }
                StreamStep::End => {
                    self.finish();
                    return None;
                }
                StreamStep::Expired => {
                    if let Some(guard) = self.guard.take() {
                        self.run.log_broken_stream(&StreamEnd {
                            endpoint: &guard.endpoint,
                            version: self.run.version.as_ref(),
                            failure: AttemptFailure::Silent,
                            chunks: self.pauses.chunks(),
                            is_resumed: false,
                        });
                    }
                    return Some(Err("the stream's deadline passed".into()));
                }
                StreamStep::Failed(failure) => failure,
                StreamStep::Stalled => {
                    let Some(placed) = self.place_elsewhere().await else {
                        continue;
                    };
                    match self.move_to(placed).await {
                        Ok(()) => continue,
                        Err(failure) => failure,
                    }
                }
            };
            let endpoint = self.endpoint.clone();
            self.finish_failed(failure);
            let begun_at = self.run.version.clone();
            let is_resumed = self.resume(failure, &endpoint).await.is_some();
            let end = StreamEnd {
                endpoint: &endpoint,
                version: begun_at.as_ref(),
                failure,
                chunks: self.pauses.chunks(),
                is_resumed,
            };
            self.run.log_broken_stream(&end);
            if !is_resumed {
                return Some(Err(failure.as_str().into()));
            }
        }
    }

    /// Returns the next step. A stall counts only if the stream can be resumed elsewhere at once: a silent endpoint
    /// alone is no reason to end a response.
    async fn step_with_failover(&mut self) -> StreamStep {
        loop {
            let step = self.step().await;
            if !matches!(step, StreamStep::Stalled) {
                return step;
            }
            let Some(guard) = &self.guard else {
                return step;
            };
            let since = guard.sent_at();
            self.run.core.record_timeout(&guard.endpoint, since);
            if self.run.try_reserve_failover(&guard.endpoint) {
                return step;
            }
        }
    }

    async fn step(&mut self) -> StreamStep {
        loop {
            let deadline = self.run.core.clock.instant(self.run.context.deadline);
            let stalled_at = self.stalled_at();
            let until = stalled_at.map_or(deadline, |at| at.min(deadline));
            let frame = match timeout_at(until, self.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if until < deadline => return StreamStep::Stalled,
                Err(_) => return StreamStep::Expired,
            };
            match frame {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    let processed = self.process_chunk(data);
                    self.record_progress();
                    match processed {
                        Ok(Some(chunk)) => return StreamStep::Chunk(chunk),
                        Ok(None) => {}
                        Err(EventTooLong) => return StreamStep::Failed(AttemptFailure::Spoilt),
                    }
                }
                Some(Err(error)) => return StreamStep::Failed(AttemptFailure::of_body(&error)),
                None if self.is_at_event_end => return StreamStep::End,
                // If an endpoint dies while it sends a stream without a length, the stream ends like a complete
                // one, but in the middle of an event.
                None => return StreamStep::Failed(AttemptFailure::Cut),
            }
        }
    }

    /// Returns when the stream counts as stalled. Only streams that can be resumed elsewhere are given up.
    fn stalled_at(&self) -> Option<tokio::time::Instant> {
        let can_resume = self.splitter.is_some() && self.run.remaining_sends() >= 2;
        can_resume.then(|| {
            let now: ClockTime = self.run.core.clock.now();
            self.run.core.clock.instant(now + self.stall_timeout)
        })
    }

    /// Takes in a chunk and returns the part that is forwarded to the caller now.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is left to forward before an event that is too long, or for which memory is short.
    fn process_chunk(&mut self, data: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let Some(splitter) = &mut self.splitter else {
            self.track_event_end(&data);
            return Ok((!data.is_empty()).then_some(data));
        };
        splitter.push(&data);
        let mut whole = BytesMut::new();
        let ended = loop {
            let event = match splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            };
            if let Some(id) = headers::event_id(&event.bytes) {
                self.last_event = Some(id.to_owned());
            }
            whole.extend_from_slice(&event.bytes);
            self.events += 1;
        };
        self.is_at_event_end = splitter.rest().is_empty();
        let room = self.rest.resize(splitter.rest().len());
        let ended = ended.and(room.map_err(|MemoryShort| EventTooLong));
        if whole.is_empty() {
            return ended.map(|()| None);
        }
        Ok(Some(whole.freeze()))
    }

    /// Tracks whether the stream is at the end of an event. The end marker may be split over two chunks.
    fn track_event_end(&mut self, data: &[u8]) {
        self.tail.extend_from_slice(data);
        let excess = self.tail.len().saturating_sub(MAX_EVENT_END);
        self.tail.drain(..excess);
        self.is_at_event_end = EVENT_ENDS.iter().any(|end| self.tail.ends_with(end));
        self.events += u32::from(self.is_at_event_end);
    }

    /// Records once that the endpoint is beyond the beginning of its response.
    fn record_progress(&mut self) {
        let has_progressed = self.events >= PROGRESS_EVENTS;
        if let Some(guard) = self.guard.as_mut().filter(|_| has_progressed) {
            guard.record_progress();
        }
    }

    fn record_chunk(&mut self) {
        // A second version may have appeared since the stream began.
        if self.splitter.is_some() && !self.is_recorded {
            let (run, version) = (&self.run, self.run.version.as_ref());
            self.is_recorded = run.core.record_stream(&run.context, version);
        }
        if let Some(guard) = &self.guard {
            let now = self.run.core.clock.now();
            self.pauses
                .record_chunk(&self.run.core, &guard.endpoint, now);
        }
    }

    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            let chunks = self.pauses.chunks();
            self.run.core.record_length(&self.run.context, chunks);
            let pause = self.pauses.longest_late_pause();
            self.run
                .log_late_stream(&guard.endpoint, self.first_chunk_latency, pause);
            guard.finish_whole();
        }
    }

    fn finish_failed(&mut self, failure: AttemptFailure) {
        if let Some(guard) = self.guard.take() {
            guard.finish(failure.outcome_after_head());
        }
    }

    /// Waits for a place for a stalled stream at another endpoint. Until there is one the stream stays where it is: a
    /// silent endpoint alone is no reason to end a response.
    async fn place_elsewhere(&self) -> Option<PlacedSend> {
        let mut run = self.run.clone();
        run.excluded.push(self.endpoint.clone());
        let placing = timeout(MAX_MOVE_WAIT, run.await_placement());
        placing.await.ok()?.ok()
    }

    /// Moves a stalled stream to another endpoint.
    async fn move_to(&mut self, mut placed: PlacedSend) -> Result<(), AttemptFailure> {
        let endpoint = self.endpoint.clone();
        let version = self.run.version.clone();
        let failure = AttemptFailure::Silent;
        self.finish_failed(failure);
        if self.run.handle_failure(&endpoint, failure).is_some() {
            return Err(failure);
        }
        self.endpoint = placed.choice.endpoint.clone();
        self.resume_at(&mut placed).await?;
        self.run.log_broken_stream(&StreamEnd {
            endpoint: &endpoint,
            version: version.as_ref(),
            failure,
            chunks: self.pauses.chunks(),
            is_resumed: true,
        });
        Ok(())
    }

    /// Resumes the stream at another endpoint after the last event that the caller received.
    async fn resume(&mut self, failure: AttemptFailure, endpoint: &EndpointName) -> Option<()> {
        self.splitter.as_ref()?;
        let mut failure = failure;
        let mut endpoint = endpoint.clone();
        loop {
            if self.run.handle_failure(&endpoint, failure).is_some() {
                return None;
            }
            let deadline = self.run.core.clock.instant(self.run.context.deadline);
            let mut placed = timeout_at(deadline, self.run.await_placement())
                .await
                .ok()?
                .ok()?;
            match self.resume_at(&mut placed).await {
                Ok(()) => return Some(()),
                Err(next) => {
                    failure = next;
                    endpoint = placed.choice.endpoint;
                }
            }
        }
    }

    async fn resume_at(&mut self, placed: &mut PlacedSend) -> Result<(), AttemptFailure> {
        self.run.choose_connection(placed);
        let run = &self.run;
        let after_event = self.last_event.as_deref();
        let sending = attempt::send(&run.core, &run.context, &run.message, placed, after_event);
        let deadline = run.core.clock.instant(run.context.deadline);
        let sent = timeout_at(deadline, sending).await;
        self.run.record_response(placed);
        let response = sent.map_err(|_| AttemptFailure::Silent)??;
        self.endpoint = response.guard.endpoint.clone();
        self.run.endpoint = Some(self.endpoint.clone());
        self.run.version.clone_from(&placed.version);
        self.run.prediction = placed.choice.stream;
        if !response.status.is_success() {
            response.guard.finish(RequestOutcome::ServerError);
            return Err(AttemptFailure::Unresumed);
        }
        self.is_at_event_end = response.is_framed;
        self.body = response.body;
        self.guard = Some(response.guard);
        self.splitter = Some(EventSplitter::new());
        self.events = 0;
        Ok(())
    }
}
