//! A stand-in for an endpoint: an engine or an endpoint of the plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderMap, Request, StatusCode};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use rand::RngExt;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::caller::CRASH_PATH;
use super::faults::{EndpointFaults, RunFailure};
use super::notices::EndpointNotices;
use super::responses::{
    self, cut_response, failed_response, not_run_response, set, set_stamp, stream_response, text,
};
use super::store::StoreStandin;
use super::weights::{EngineWeights, OrderOutcome};
use crate::history::{BegunRun, EventHistory, ObservedEvent};

/// The number of requests that an endpoint runs at the same time.
const SLOTS: u32 = 8;

/// The run time of a request without a stream.
const RUN_TIME: Duration = Duration::from_millis(15);

/// The software versions of endpoints: all start with the first, and draw one at each restart.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// The interval at which an endpoint writes its registry entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Headers that gateways must remove from callers' requests. The expected instance and the workspace are not listed,
/// because gateways set them.
const RESERVED_HEADERS: [&str; 7] = [
    "authorization",
    "x-oatpier-hold",
    "x-oatpier-pin-ms",
    "x-oatpier-kv-backup",
    "kv-from",
    "x-oatpier-expect-version",
    "x-oatpier-not-executed",
];

/// The fixed properties of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// Its index among all endpoints.
    pub number: usize,
    /// The address that it listens on, behind its link.
    pub listen: SocketAddr,
    /// The address that it registers: that of its link.
    pub address: SocketAddr,
    /// Its service.
    pub service: &'static str,
    /// Its availability zone.
    pub zone: &'static str,
    /// The models that are loaded at the start; none for the plain service.
    pub models: Vec<String>,
    /// The models that it has copies of on disk.
    pub copies: Vec<String>,
}

#[derive(Debug)]
pub(super) struct EndpointState {
    instance: String,
    /// The version of the software of this instance.
    version: &'static str,
    weights: EngineWeights,
    running: u32,
    pub(super) is_draining: bool,
    /// Whether it serves without an entry in the registry.
    pub(super) is_unlisted: bool,
    faults: EndpointFaults,
    /// The failure of runs, apart from the other faults because these end each other.
    run_failure: Option<RunFailure>,
    notices: EndpointNotices,
}

impl EndpointState {
    /// Makes this the state of a new instance, with the faults of the endpoint.
    pub(super) fn restart(&mut self) {
        *self = Self {
            instance: new_instance_id(),
            version: VERSIONS[rand::rng().random_range(0..VERSIONS.len())],
            weights: self.weights.after_crash(),
            running: 0,
            is_draining: false,
            is_unlisted: false,
            faults: self.faults,
            run_failure: self.run_failure,
            notices: EndpointNotices::default(),
        };
    }
}

/// A running endpoint. Clones share it.
#[derive(Debug, Clone)]
pub struct EndpointStandin {
    spec: Arc<EndpointSpec>,
    state: Arc<Mutex<EndpointState>>,
    store: StoreStandin,
    pub(super) history: EventHistory,
    serving: Arc<Mutex<Option<JoinHandle<()>>>>,
    /// Held from a stop to the end of the restart. Faults overlap, and only one may restart the endpoint at a time.
    pub(super) restart_lock: Arc<tokio::sync::Mutex<()>>,
}

impl EndpointStandin {
    /// Starts an endpoint, which serves at once.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub fn start(
        spec: EndpointSpec,
        store: StoreStandin,
        history: EventHistory,
    ) -> std::io::Result<Self> {
        let state = EndpointState {
            instance: new_instance_id(),
            version: VERSIONS[0],
            weights: EngineWeights::starting_with(&spec.models, &spec.copies),
            running: 0,
            is_draining: false,
            is_unlisted: false,
            faults: EndpointFaults::default(),
            run_failure: None,
            notices: EndpointNotices::default(),
        };
        let endpoint = Self {
            spec: Arc::new(spec),
            state: Arc::new(Mutex::new(state)),
            store,
            history,
            serving: Arc::default(),
            restart_lock: Arc::default(),
        };
        endpoint.serve()?;
        tokio::spawn(endpoint.clone().write_entries());
        Ok(endpoint)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn serve(&self) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.spec.listen)?;
        let listener: TcpListener = socket.listen(1_024)?;
        let handler: Arc<dyn RequestHandler> = Arc::new(self.clone());
        let serving = tokio::spawn(server::serve(
            listener,
            handler,
            ServerLimits::default(),
            Arc::default(),
            std::future::pending(),
        ));
        let mut current = self.serving.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(serving);
        Ok(())
    }

    pub(super) fn stop_serving(&self) {
        let mut current = self.serving.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(serving) = current.take() {
            serving.abort();
        }
    }

    async fn write_entries(self) {
        loop {
            let is_up = self
                .serving
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some();
            if is_up {
                // The store may be unavailable: the next heartbeat writes the entry again.
                let _ = self.write_entry();
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Writes the registry entry, or removes it if the endpoint is unlisted. Returns the instance if the store did so.
    pub(super) fn write_entry(&self) -> Option<String> {
        let is_listed = !self.lock().is_unlisted;
        let (instance, entry) = self.entry();
        let is_written = self.store.register(&instance, is_listed.then_some(&entry));
        is_written.then_some(instance)
    }

    /// Removes the registry entry. If the store is unavailable, it expires there.
    pub(super) fn remove_entry(&self) {
        let instance = self.lock().instance.clone();
        let _ = self.store.register(&instance, None);
    }

    fn entry(&self) -> (String, Value) {
        let mut state = self.lock();
        let models = state.weights.models();
        let entry = json!({
            "service": self.spec.service, "address": self.spec.address, "zone": self.spec.zone,
            "version": state.version, "slots": SLOTS, "cold_ms": 0, "seq": 1, "models": models,
            "state": if state.is_draining { "draining" } else { "ready" },
        });
        (state.instance.clone(), entry)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EndpointFaults) {
        self.lock().faults = faults;
    }

    /// Sets the failure of runs.
    pub fn set_run_failure(&self, failure: Option<RunFailure>) {
        self.lock().run_failure = failure;
    }

    /// Changes the notices that the endpoint sends.
    pub fn change_notices(&self, change: impl FnOnce(&mut EndpointNotices)) {
        change(&mut self.lock().notices);
    }

    async fn respond(&self, request: Request<Bytes>) -> Reply {
        let id = text(request.headers(), "x-oatpier-request-id");
        let mut response = match request.uri().path() {
            "/report" => self.report(),
            "/health" => self.health(),
            "/order" => self.order(&request).await,
            _ => self.respond_to_request(request).await,
        };
        if let Some(id) = id {
            set(response.headers_mut(), "x-oatpier-request-id", &id);
        }
        response
    }

    /// Responds to a request that is meant for this instance, and adds the notices to the response.
    async fn respond_to_request(&self, request: Request<Bytes>) -> Reply {
        if let Some(other) = self.refuse_other_instance(request.headers()) {
            return other;
        }
        let id = text(request.headers(), "x-oatpier-request-id").unwrap_or_default();
        let instance = self.lock().instance.clone();
        self.history.record(ObservedEvent::Reached {
            id: id.clone(),
            endpoint: self.spec.number,
            instance: instance.clone(),
        });
        let is_resting = self.lock().notices.rest.is_some();
        let mut response = if is_resting {
            not_run_response(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            self.run(request).await
        };
        let mut notices = self.lock().notices;
        notices.rest = notices.rest.filter(|_| is_resting);
        for kind in notices.list() {
            let (id, instance) = (id.clone(), instance.clone());
            self.history
                .record(ObservedEvent::NoticeSent { id, instance, kind });
        }
        notices.write(response.headers_mut());
        response
    }

    fn report(&self) -> Reply {
        let mut state = self.lock();
        let running = state.running;
        let mut report = state.weights.report(running);
        if state.is_draining {
            report["state"] = json!("draining");
        }
        reply::whole(StatusCode::OK, "application/json", report.to_string())
    }

    fn health(&self) -> Reply {
        let mut response = reply::text(StatusCode::OK, "");
        set(
            response.headers_mut(),
            "x-oatpier-instance-id",
            &self.lock().instance,
        );
        response
    }

    async fn order(&self, request: &Request<Bytes>) -> Reply {
        let Ok(order) = serde_json::from_slice::<Value>(request.body()) else {
            return reply::text(StatusCode::BAD_REQUEST, "");
        };
        if let Some(other) = self.refuse_other_instance(request.headers()) {
            return other;
        }
        let late = self.lock().faults.late_order_share;
        if rand::rng().random_bool(late) {
            tokio::spawn(self.clone().carry_out_late(order));
            std::future::pending::<()>().await;
            return reply::text(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        reply::text(self.carry_out(&order), "")
    }

    async fn carry_out_late(self, order: Value) {
        let instance = self.lock().instance.clone();
        let late = rand::rng().random_range(500..3_000);
        sleep(Duration::from_millis(late)).await;
        // A restart loses orders that are not carried out yet.
        if self.lock().instance == instance {
            self.carry_out(&order);
        }
    }

    fn carry_out(&self, order: &Value) -> StatusCode {
        let mut state = self.lock();
        let instance = state.instance.clone();
        match state.weights.order(order) {
            OrderOutcome::Accepted { from_store } => {
                if from_store {
                    self.history.record(ObservedEvent::StoreLoad { instance });
                }
                StatusCode::ACCEPTED
            }
            OrderOutcome::Unchanged => StatusCode::OK,
            OrderOutcome::Conflict => StatusCode::CONFLICT,
            OrderOutcome::Rejected => StatusCode::MISDIRECTED_REQUEST,
            OrderOutcome::Overcommitted(detail) => {
                self.history
                    .record(ObservedEvent::Overcommitted { instance, detail });
                StatusCode::BAD_REQUEST
            }
        }
    }

    /// Returns the refusal of a call that is meant for another instance.
    fn refuse_other_instance(&self, headers: &HeaderMap) -> Option<Reply> {
        let expected = text(headers, "x-oatpier-expect-instance")?;
        let instance = self.lock().instance.clone();
        if expected == instance {
            return None;
        }
        let mut response = not_run_response(StatusCode::MISDIRECTED_REQUEST);
        set(response.headers_mut(), "x-oatpier-instance-id", &instance);
        Some(response)
    }

    async fn run(&self, request: Request<Bytes>) -> Reply {
        let Some(id) = text(request.headers(), "x-oatpier-request-id") else {
            return not_run_response(StatusCode::BAD_REQUEST);
        };
        let refused_share = self.lock().faults.refused_share;
        if rand::rng().random_bool(refused_share) {
            return not_run_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let slot = match self.take_slot(&request) {
            Ok(slot) => slot,
            Err(status) => return not_run_response(status),
        };
        let run = started_run(&id, &slot, self.spec.service, &request);
        self.history.record(ObservedEvent::RunStarted(run));
        if request.uri().path().ends_with(CRASH_PATH) {
            if self.crash_during(&request) {
                return std::future::pending().await;
            }
            // A complete run would clear the request of suspicion, so an endpoint that already stops cuts off its
            // response instead.
            return cut_response(&id, &slot.instance);
        }
        let run_failure = self.lock().run_failure;
        if let Some(status) = run_failure.and_then(RunFailure::draw) {
            sleep(RUN_TIME).await;
            return failed_response(status, &id, &slot.instance);
        }
        let faults = self.lock().faults;
        if rand::rng().random_bool(faults.lost_share) {
            sleep(RUN_TIME).await;
            return cut_response(&id, &slot.instance);
        }
        let is_cut = rand::rng().random_bool(faults.cut_share);
        if request.uri().path().contains("stream") {
            let instance = slot.instance.clone();
            return stream_response(&id, &instance, slot, last_event(request.headers()), is_cut);
        }
        sleep(RUN_TIME).await;
        if is_cut {
            return cut_response(&id, &slot.instance);
        }
        let mut response = reply::text(StatusCode::OK, responses::body(&id));
        set_stamp(response.headers_mut(), &id, &slot.instance);
        response
    }

    fn take_slot(&self, request: &Request<Bytes>) -> Result<RunSlot, StatusCode> {
        let weights = text(request.headers(), "x-oatpier-model");
        let mut state = self.lock();
        if state.running >= SLOTS {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Some(weights) = &weights
            && !state.weights.begin_use(weights)
        {
            return Err(StatusCode::MISDIRECTED_REQUEST);
        }
        state.running += 1;
        Ok(RunSlot {
            endpoint: self.clone(),
            instance: state.instance.clone(),
            version: state.version,
            weights,
        })
    }
}

impl RequestHandler for EndpointStandin {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        self.respond(request).boxed()
    }
}

/// A slot that a run holds until it ends or its caller disconnects.
struct RunSlot {
    endpoint: EndpointStandin,
    instance: String,
    version: &'static str,
    weights: Option<String>,
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        let mut state = self.endpoint.lock();
        if state.instance != self.instance {
            return;
        }
        state.running = state.running.saturating_sub(1);
        if let Some(weights) = &self.weights {
            state.weights.end_use(weights);
        }
    }
}

fn started_run(
    id: &str,
    slot: &RunSlot,
    service: &'static str,
    request: &Request<Bytes>,
) -> BegunRun {
    let headers = request.headers();
    let forged = RESERVED_HEADERS
        .iter()
        .filter(|name| headers.contains_key(**name));
    BegunRun {
        id: id.to_owned(),
        instance: slot.instance.clone(),
        version: slot.version,
        after: last_event(headers),
        service,
        target: format!("{} {}", request.method(), request.uri()),
        body: String::from_utf8_lossy(request.body()).into_owned(),
        model: slot.weights.clone(),
        workspace: text(headers, "x-oatpier-tenant"),
        forged: forged.map(|name| (*name).to_owned()).collect(),
    }
}

/// Returns the number of the event after which a request goes on; 0 if it starts anew.
fn last_event(headers: &HeaderMap) -> u32 {
    let event = text(headers, "last-event-id");
    event.and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn new_instance_id() -> String {
    format!("i-{:010x}", rand::rng().random::<u32>())
}
