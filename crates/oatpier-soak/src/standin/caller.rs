//! Callers, each of which sends one request at a time over persistent connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use oatpier_wire::client::{ClientLimits, HttpClient, ResponseBody};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::responses::EVENTS;
use super::settings::{
    ENGINE_SERVICE, FREE_KEY, HOST, LIMITED_KEY, PLAIN_SERVICE, STREAM_TOKENS, TIMEOUT_MS,
    UNKNOWN_KEY,
};
use crate::history::{CallEnd, CallKind, EventHistory, ObservedEvent, ResumedCall, SentCall};

/// Time after which a caller without a complete response gives up: the route's timeout plus 12 s, because a paused
/// gateway responds only after the pause.
const CALLER_TIMEOUT: Duration = Duration::from_millis(TIMEOUT_MS + 12_000);

/// The number of times that a caller returns for the rest of a stream.
const MAX_RETURNS: u32 = 3;

/// The share of requests that go to the gateway at which callers crowd.
const CROWD_SHARE: f64 = 0.9;

/// The longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Draws keys with a random generator of its own, so that the other draws of a seed don't depend on them.
#[derive(Debug)]
struct KeyDraw(ChaCha8Rng);

impl KeyDraw {
    fn next_key(&mut self) -> &'static str {
        match self.0.random_range(0..20) {
            0 => UNKNOWN_KEY,
            1..8 => LIMITED_KEY,
            _ => FREE_KEY,
        }
    }
}

/// Draws whether a request goes to the gateway at which callers crowd, with a random generator of its own.
#[derive(Debug)]
struct CrowdDraw {
    rng: ChaCha8Rng,
    gateway: watch::Receiver<Option<usize>>,
}

impl CrowdDraw {
    fn draw_gateway(&mut self) -> Option<usize> {
        let gateway = *self.gateway.borrow();
        gateway.filter(|_| self.rng.random_bool(CROWD_SHARE))
    }
}

/// A caller that sends drawn requests to drawn gateways.
#[derive(Debug)]
pub struct SoakCaller {
    number: usize,
    sent: u64,
    rng: ChaCha8Rng,
    keys: KeyDraw,
    /// Draws the gateways that the caller returns to, so that the other draws of a seed don't depend on them.
    returns: ChaCha8Rng,
    gateways: Vec<SocketAddr>,
    models: Vec<String>,
    crowd: CrowdDraw,
    history: EventHistory,
}

impl SoakCaller {
    /// Creates a caller of all gateways.
    #[must_use]
    pub fn new(
        number: usize,
        seed: u64,
        gateways: Vec<SocketAddr>,
        models: Vec<String>,
        crowd: watch::Receiver<Option<usize>>,
        history: EventHistory,
    ) -> Self {
        Self {
            number,
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys: KeyDraw(ChaCha8Rng::seed_from_u64(!seed)),
            returns: ChaCha8Rng::seed_from_u64(seed.rotate_left(13)),
            gateways,
            models,
            crowd: CrowdDraw {
                rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(29)),
                gateway: crowd,
            },
            history,
        }
    }

    /// Sends requests until it is dropped or `stop` is set. A request in progress is completed first.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        let client = new_client();
        while !*stop.borrow() {
            let call = self.draw_call();
            let drawn = self.rng.random_range(0..self.gateways.len());
            let gateway = self.crowd.draw_gateway().unwrap_or(drawn);
            let id = call.id.clone();
            self.history.record(ObservedEvent::Routed { id, gateway });
            let gateway = self.gateways[gateway];
            let cancel_after = self.rng.random_bool(0.05).then(|| {
                let after = self.rng.random_range(1..200);
                Duration::from_millis(after)
            });
            let outcome = send(&client, gateway, &call, cancel_after, &self.history).await;
            self.take_up(&client, call, outcome).await;
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Returns to drawn gateways for the rest of an interrupted stream.
    async fn take_up(&mut self, client: &HttpClient, call: SentCall, outcome: CallOutcome) {
        let (mut call, mut outcome) = (call, outcome);
        for number in 1..=MAX_RETURNS {
            let Some(returning) = returning_call(&call, &outcome, number) else {
                return;
            };
            let gateway = self.returns.random_range(0..self.gateways.len());
            let id = returning.id.clone();
            self.history.record(ObservedEvent::Routed { id, gateway });
            let gateway = self.gateways[gateway];
            outcome = send(client, gateway, &returning, None, &self.history).await;
            call = returning;
        }
    }

    fn draw_call(&mut self) -> SentCall {
        self.sent += 1;
        let id = format!("{:04x}{:08x}", self.number, self.sent);
        let kind = match self.rng.random_range(0..6) {
            0 => CallKind::Safe,
            1 | 2 => CallKind::Unsafe,
            3 | 4 => CallKind::Stream,
            _ => CallKind::ResumableStream,
        };
        // Uses the lower of two draws, so that the first models get most of the requests.
        let index = self
            .rng
            .random_range(0..self.models.len())
            .min(self.rng.random_range(0..self.models.len()));
        let adapter = self
            .rng
            .random_bool(0.3)
            .then(|| self.rng.random_range(1..5));
        let call = build_call(&id, kind, &self.models[index], adapter);
        SentCall {
            key: self.keys.next_key(),
            ..call
        }
    }
}

/// Returns a request of a kind, with the key of the workspace without a limit.
#[must_use]
pub fn build_call(id: &str, kind: CallKind, model: &str, adapter: Option<u32>) -> SentCall {
    let (method, prefix, service) = match kind {
        CallKind::Safe => ("GET", "/safe/", PLAIN_SERVICE),
        CallKind::Unsafe => ("POST", "/unsafe/", PLAIN_SERVICE),
        CallKind::Stream => ("POST", "/stream/", ENGINE_SERVICE),
        CallKind::ResumableStream => ("POST", "/stream-resume/", ENGINE_SERVICE),
    };
    let weights = match adapter {
        Some(adapter) => format!("{model}/a{adapter}"),
        None => model.to_owned(),
    };
    SentCall {
        id: id.to_owned(),
        kind,
        service,
        target: format!("{method} {prefix}{id}?x=1"),
        body: if method == "GET" {
            String::new()
        } else {
            format!("body of {id}")
        },
        model: (service == ENGINE_SERVICE).then_some(weights),
        key: FREE_KEY,
        resumed: None,
    }
}

/// How a request ended, and the last event of a stream that its caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// How it ended.
    pub end: CallEnd,
    /// The number of the last complete event; 0 for none.
    pub last_event: u32,
}

/// Returns the request for the rest of a stream, if it was interrupted after an event.
fn returning_call(call: &SentCall, outcome: &CallOutcome, number: u32) -> Option<SentCall> {
    let is_interrupted = call.kind == CallKind::ResumableStream
        && outcome.end == CallEnd::Interrupted
        && (1..EVENTS).contains(&outcome.last_event);
    let earlier = call.resumed.as_ref();
    let first = earlier.map_or(&call.id, |resumed| &resumed.first).clone();
    is_interrupted.then(|| SentCall {
        id: format!("{first}-{number}"),
        resumed: Some(ResumedCall {
            first,
            after: outcome.last_event,
        }),
        ..call.clone()
    })
}

/// The end of the paths of crashing requests.
pub const CRASH_PATH: &str = "/crash";

/// The prefix of the ids of crashing requests. The number of the gateway follows it.
const CRASH_ID_PREFIX: &str = "dead";

/// Returns a request that crashes the endpoints that run it, as sent to a gateway for the `number`th time. Only its id
/// differs between sends.
#[must_use]
pub fn crashing_call(kind: CallKind, gateway: usize, number: u64, model: &str) -> SentCall {
    let plain = build_call("", kind, model, None);
    let id = format!("{CRASH_ID_PREFIX}{gateway:04x}{number:08x}");
    SentCall {
        id,
        target: plain.target.replacen("/?", &format!("{CRASH_PATH}?"), 1),
        ..plain
    }
}

/// Returns the gateway that a crashing request was sent to, or `None` for any other request.
#[must_use]
pub fn crash_gateway(id: &str) -> Option<usize> {
    let rest = id.strip_prefix(CRASH_ID_PREFIX)?;
    usize::from_str_radix(rest.get(..4)?, 16).ok()
}

/// Creates a client with connections of its own.
#[must_use]
pub fn new_client() -> HttpClient {
    HttpClient::new(ClientLimits {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(10),
        max_idle_per_address: 2,
        ..ClientLimits::default()
    })
}

/// Sends a request and records how it ended. A caller that cancels drops its connection.
pub async fn send(
    client: &HttpClient,
    gateway: SocketAddr,
    call: &SentCall,
    cancel_after: Option<Duration>,
    history: &EventHistory,
) -> CallOutcome {
    let mut last_event = call.resumed.as_ref().map_or(0, |resumed| resumed.after);
    history.record(ObservedEvent::Sent(call.clone()));
    let exchange = exchange(client, gateway, call, &mut last_event);
    let end = match cancel_after {
        Some(after) => timeout(after, exchange).await.unwrap_or(CallEnd::Cancelled),
        None => timeout(CALLER_TIMEOUT, exchange)
            .await
            .unwrap_or(CallEnd::TimedOut),
    };
    history.record(ObservedEvent::Ended {
        id: call.id.clone(),
        end: end.clone(),
    });
    CallOutcome { end, last_event }
}

async fn exchange(
    client: &HttpClient,
    gateway: SocketAddr,
    call: &SentCall,
    last_event: &mut u32,
) -> CallEnd {
    let Some(request) = build_request(call) else {
        return CallEnd::Interrupted;
    };
    let Ok(response) = client.send(gateway, request).await else {
        return CallEnd::Interrupted;
    };
    let (parts, body) = response.into_parts();
    let stamp = parts.headers.get("x-oatpier-response-stamp");
    let stamp = stamp
        .and_then(|stamp| stamp.to_str().ok())
        .map(str::to_owned);
    match read_body(body, last_event).await {
        Some(body) => CallEnd::Complete {
            status: parts.status.as_u16(),
            stamp,
            body,
        },
        None => CallEnd::Interrupted,
    }
}

/// Reads a body and counts the events that arrive. Returns `None` if it breaks off.
async fn read_body(mut body: ResponseBody, last_event: &mut u32) -> Option<String> {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            text.push_str(&String::from_utf8_lossy(&data));
            let last = text.rsplit("id: ").find_map(event_number);
            *last_event = last.unwrap_or(*last_event);
        }
    }
    Some(text)
}

/// Returns the number of an event, if its text is complete.
fn event_number(event: &str) -> Option<u32> {
    let (number, rest) = event.split_once('\n')?;
    rest.ends_with("\n\n").then(|| number.parse().ok())?
}

fn build_request(call: &SentCall) -> Option<Request<Bytes>> {
    let (method, target) = call.target.split_once(' ')?;
    let mut builder = Request::builder()
        .method(method)
        .uri(target)
        .header("host", HOST)
        .header("x-oatpier-request-id", &call.id)
        .header("x-oatpier-deadline-ms", TIMEOUT_MS.to_string())
        .header("authorization", format!("Bearer {}", call.key))
        // Only the system may set these headers, so gateways must remove or replace them.
        .header("x-oatpier-tenant", "someone-else")
        .header("x-oatpier-hold", "h1")
        .header("kv-from", "10.0.0.1:1/x");
    if let Some(resumed) = &call.resumed {
        builder = builder
            .header("resumes", &resumed.first)
            .header("last-event-id", resumed.after.to_string());
    }
    if let Some(model) = &call.model {
        builder = builder
            .header("x-oatpier-model", model)
            .header(
                "x-oatpier-token-usage",
                format!("{},{}", STREAM_TOKENS.0, STREAM_TOKENS.1),
            )
            .header("x-oatpier-prompt-prefix", "5c1e:150,9a0b:50");
    }
    builder.body(Bytes::from(call.body.clone())).ok()
}
