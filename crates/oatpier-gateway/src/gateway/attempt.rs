//! One attempt to send a request to one endpoint.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body;
use oatpier_platform::headers::{self, ForwardOptions, ResponseHead, ResponseKind};
use oatpier_serving::crashes::prompt_parts::PartAttempt;
use oatpier_serving::crashes::prompt_parts::trials::PartTrial;
use oatpier_serving::directory::{ReceivedNotice, RequestOutcome};
use oatpier_serving::notice::EndpointNotice;
use oatpier_serving::prefill::SentPrompt;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_wire::client::{ResponseBody, SendError, SendStage};

use super::attempt_failure::AttemptFailure;
use super::buffers::{BufferLease, MemoryShort, SMALL_RESPONSE_BYTES};
use super::core::GatewayCore;
use super::permits::HeldPermit;
use super::placement::{PlacedSend, RequestContext};
use super::received::ReceivedHead;

/// The maximum size of a buffered response, in bytes. Larger ones would have to be relayed before they are known to
/// be complete; the services respond with a few kilobytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// The maximum number of pieces in which a buffered response may arrive. Each costs processor time, whatever its size.
const MAX_RESPONSE_PIECES: u32 = 16 << 10;

/// The request as the caller sent it.
#[derive(Debug, Clone)]
pub struct CallerMessage {
    /// The method, path and headers.
    pub head: Arc<Parts>,
    /// The body.
    pub body: Bytes,
}

/// A response whose head was received and accepted; the body follows.
pub struct OpenResponse {
    /// The status.
    pub status: StatusCode,
    /// The response headers for the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
    /// Whether the body has a length or comes in chunks. Otherwise it ends with its connection.
    pub is_framed: bool,
    /// Records the end of the attempt.
    pub guard: AttemptGuard,
}

/// Records the end of an attempt exactly once, even if its task is dropped because the caller disconnected.
pub struct AttemptGuard {
    core: Arc<GatewayCore>,
    context: Arc<RequestContext>,
    /// The endpoint.
    pub endpoint: EndpointName,
    sent_at: ClockTime,
    sent: SentPrompt,
    /// Whether the prefill of the prompt has not finished yet.
    is_prefill_pending: bool,
    permit: Option<HeldPermit>,
    /// The suspected parts of the prompt.
    parts: PartAttempt,
    /// Whether the response is beyond its beginning.
    has_progressed: bool,
    /// Whether a response that looks complete is. One that ends with its connection may have ended with its endpoint.
    is_end_certain: bool,
    outcome: RequestOutcome,
}

impl AttemptGuard {
    /// Starts an attempt now.
    #[must_use]
    pub fn begin(
        core: &Arc<GatewayCore>,
        context: &Arc<RequestContext>,
        endpoint: &EndpointName,
        permit: Option<HeldPermit>,
        trial: Option<&PartTrial>,
    ) -> Self {
        let (sent, parts) = core.record_sent(context, endpoint, trial);
        Self {
            core: Arc::clone(core),
            context: Arc::clone(context),
            endpoint: endpoint.clone(),
            sent_at: core.clock.now(),
            sent,
            is_prefill_pending: context.request.weights.is_some(),
            permit,
            parts,
            has_progressed: false,
            is_end_certain: true,
            outcome: RequestOutcome::Abandoned,
        }
    }

    /// Returns the time at which the request was sent.
    #[must_use]
    pub fn sent_at(&self) -> ClockTime {
        self.sent_at
    }

    /// Records what the response head reports about the endpoint.
    fn record_notice(&self, notice: EndpointNotice, was_taken: bool) {
        let received = ReceivedNotice {
            notice,
            was_accepted: was_taken,
            sent: &self.sent,
            sent_at: self.sent_at,
        };
        let request = &self.context.request.id;
        self.core.record_notice(&self.endpoint, &received, request);
    }

    /// Records that the first chunk of the response was received.
    pub fn record_first_chunk(&mut self) {
        let now = self.core.clock.now();
        let elapsed = now.since(self.sent_at);
        self.core
            .record_first_chunk(&self.context, &self.endpoint, &self.sent, elapsed);
        self.end_prefill();
        let route = self.context.route.name.as_str();
        self.core
            .metrics
            .observe_first_chunk(route, now.since(self.context.arrived));
    }

    /// Records that the response is beyond its beginning, so that the prompt does not crash the endpoint.
    pub fn record_progress(&mut self) {
        if !std::mem::replace(&mut self.has_progressed, true) {
            self.core.record_part_answer(&self.context, &self.parts);
        }
    }

    fn end_prefill(&mut self) {
        if std::mem::take(&mut self.is_prefill_pending) {
            self.core.record_prefill_end(&self.endpoint, &self.sent);
        }
        self.permit = None;
    }

    /// Ends the attempt with a complete response.
    pub fn finish_whole(mut self) {
        let held = self.core.clock.now().since(self.sent_at);
        self.outcome = RequestOutcome::Whole { held };
    }

    /// Ends the attempt with another outcome.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end_prefill();
        if matches!(self.outcome, RequestOutcome::Whole { .. }) && self.is_end_certain {
            self.record_progress();
        }
        if !self.has_progressed {
            self.core.record_part_end(&self.parts);
            if self.outcome == RequestOutcome::Broken {
                self.core.record_broken_prompt(
                    &self.context,
                    &self.endpoint,
                    &self.sent,
                    &self.parts,
                );
            }
        }
        self.core
            .record_end(&self.context, &self.endpoint, &self.sent, self.outcome);
    }
}

/// Sends a request to an endpoint and waits for the response head.
///
/// # Errors
///
/// Returns the cause of the failure, which tells whether the request may have run.
pub async fn send(
    core: &Arc<GatewayCore>,
    context: &Arc<RequestContext>,
    message: &CallerMessage,
    placed: &mut PlacedSend,
    after_event: Option<&str>,
) -> Result<OpenResponse, AttemptFailure> {
    let endpoint = placed.choice.endpoint.clone();
    if !core.may_send(&endpoint, placed.turn.take()) {
        return Err(AttemptFailure::HeldBack);
    }
    let remaining = context.deadline.since(core.clock.now());
    let options = ForwardOptions {
        instance: &endpoint,
        remaining,
        last_event_id: after_event,
        workspace: context.identity.workspace_name(),
        removes_key: context.identity.keeps_key(),
    };
    let request = build_request(message, options);
    let trial = placed.trial.take();
    let guard = AttemptGuard::begin(
        core,
        context,
        &endpoint,
        placed.permit.take(),
        trial.as_ref(),
    );
    let sending = core
        .client
        .send_on(placed.address, request, placed.connection);
    match sending.await {
        Ok(response) => check_head(core, context, response, guard, &mut placed.received),
        Err(error) => Err(finish_failed_send(&error, guard)),
    }
}

fn build_request(message: &CallerMessage, options: ForwardOptions<'_>) -> Request<Bytes> {
    let mut request = Request::new(message.body.clone());
    *request.method_mut() = message.head.method.clone();
    *request.uri_mut() = message
        .head
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_default();
    *request.headers_mut() = headers::build_request_headers(&message.head.headers, options);
    request
}

fn finish_failed_send(error: &SendError, guard: AttemptGuard) -> AttemptFailure {
    let (failure, outcome) = match error.stage {
        SendStage::Connect if error.timed_out => {
            (AttemptFailure::Unreachable, RequestOutcome::Unreachable)
        }
        SendStage::Connect => (
            AttemptFailure::Unreachable,
            RequestOutcome::ConnectionRefused,
        ),
        SendStage::Queue => (AttemptFailure::Unsent, RequestOutcome::Abandoned),
        SendStage::Response if error.is_malformed => {
            (AttemptFailure::Spoilt, RequestOutcome::Untrusted)
        }
        SendStage::Response => (AttemptFailure::Cut, RequestOutcome::Broken),
    };
    guard.finish(outcome);
    failure
}

/// Checks whether a response head belongs to this request and is complete, and acts on what it reports.
fn check_head(
    core: &Arc<GatewayCore>,
    context: &RequestContext,
    response: Response<ResponseBody>,
    guard: AttemptGuard,
    received: &mut Option<ReceivedHead>,
) -> Result<OpenResponse, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let head = headers::decode_response(parts.status.as_u16(), &parts.headers, &context.request.id);
    *received = Some(core.record_received(&head, parts.status, body.is_reused()));
    if is_from_endpoint(&head, &guard.endpoint) {
        if let Some(load) = head.load {
            core.record_load(&guard.endpoint, load);
        }
        if let Some(pace) = head.host_pace {
            core.record_host_pace(&guard.endpoint, pace);
        }
        guard.record_notice(head.notice, head.kind == ResponseKind::Matching);
    }
    match head.kind {
        ResponseKind::NotRun => Err(finish_refused(core, parts.status, &head, guard)),
        ResponseKind::Untrusted => {
            body.close_connection();
            guard.finish(RequestOutcome::Untrusted);
            Err(AttemptFailure::Spoilt)
        }
        ResponseKind::Matching if headers::promises_not_run(parts.status) => {
            guard.finish(RequestOutcome::ServerError);
            Err(AttemptFailure::Unstated)
        }
        ResponseKind::Matching => {
            let is_framed = is_framed(&parts.headers);
            let mut guard = guard;
            guard.is_end_certain = is_framed;
            Ok(OpenResponse {
                status: parts.status,
                headers: headers::build_response_headers(&parts.headers),
                body,
                is_framed,
                guard,
            })
        }
    }
}

/// Returns whether the end of a body can be told from the end of its connection.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a response comes from the endpoint itself, so that its statements about the endpoint can be
/// trusted.
fn is_from_endpoint(head: &ResponseHead, endpoint: &EndpointName) -> bool {
    let is_other = head.instance.as_ref().is_some_and(|name| name != endpoint);
    head.kind != ResponseKind::Untrusted && !is_other
}

fn finish_refused(
    core: &GatewayCore,
    status: StatusCode,
    head: &ResponseHead,
    guard: AttemptGuard,
) -> AttemptFailure {
    if status != StatusCode::MISDIRECTED_REQUEST {
        guard.finish(RequestOutcome::Refused);
        return AttemptFailure::Refused;
    }
    let is_other = head
        .instance
        .as_ref()
        .is_some_and(|name| *name != guard.endpoint);
    if is_other {
        core.record_replaced(&guard.endpoint, head.instance.as_ref());
        guard.finish(RequestOutcome::Abandoned);
        return AttemptFailure::Replaced;
    }
    guard.finish(RequestOutcome::Abandoned);
    AttemptFailure::WeightsMissing
}

/// A response that was read to its end.
pub struct WholeResponse {
    /// The response for the caller.
    pub response: Response<Bytes>,
    /// The memory that its body takes.
    pub lease: BufferLease,
}

/// Reads a response body to its end.
///
/// # Errors
///
/// Returns an error if the response was cut off or is too large; the request may have run then.
pub async fn read_response(
    core: &GatewayCore,
    response: OpenResponse,
) -> Result<WholeResponse, AttemptFailure> {
    let OpenResponse {
        status,
        headers,
        body,
        is_framed: _,
        mut guard,
    } = response;
    guard.record_first_chunk();
    let (body, lease) = match read_body(core, body).await {
        Ok(read) => read,
        Err(failure) => {
            guard.finish(failure.outcome_after_head());
            return Err(failure);
        }
    };
    if status.is_server_error() {
        guard.finish(RequestOutcome::ServerError);
    } else {
        guard.finish_whole();
    }
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(WholeResponse { response, lease })
}

/// Reads a body into memory, which is counted as it is taken.
async fn read_body(
    core: &GatewayCore,
    mut body: ResponseBody,
) -> Result<(Bytes, BufferLease), AttemptFailure> {
    let stated_length = body.size_hint().exact();
    let stated_length = stated_length.and_then(|length| usize::try_from(length).ok());
    if stated_length.is_some_and(|length| length > MAX_BUFFERED_RESPONSE_BYTES) {
        return Err(AttemptFailure::Spoilt);
    }
    let mut bytes = Vec::new();
    let mut lease = core.begin_response();
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| AttemptFailure::of_body(&error))?;
        let data = frame.into_data().unwrap_or_default();
        let length = bytes.len() + data.len();
        pieces += 1;
        let is_endless = length > MAX_BUFFERED_RESPONSE_BYTES || pieces > MAX_RESPONSE_PIECES;
        let is_large = length > SMALL_RESPONSE_BYTES;
        if is_endless || (is_large && core.is_memory_critical()) {
            return Err(AttemptFailure::Spoilt);
        }
        if length > bytes.capacity() {
            let capacity = stated_length.unwrap_or(length.next_power_of_two());
            let capacity = capacity.clamp(length, MAX_BUFFERED_RESPONSE_BYTES);
            let room = lease.resize(capacity);
            room.map_err(|MemoryShort| AttemptFailure::Spoilt)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    let lease = lease.complete(bytes.len());
    Ok((Bytes::from(bytes), lease))
}
