//! A stand-in for a model engine: it holds models, takes orders and streams answers.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::Json;
use crate::world::{World, now_ms, sleep_ms};

/// The interval at which an engine writes its entry, and the time after which an entry without a heartbeat is removed.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The time of a load of an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);

/// A model that an engine may hold.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    pub name: String,
    pub size_mb: u64,
}

/// The fixed properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    pub number: usize,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub room_mb: u64,
    pub models: Vec<ModelSpec>,
    pub held: Vec<String>,
    /// Whether every start takes the same id, as the pages allow.
    pub keeps_id: bool,
    /// Times of a load from the weight store and of one from the engine's own disk.
    pub load: Duration,
    pub disk_load: Duration,
    pub adapter_slots: usize,
}

/// How an engine answers a request that it runs.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    /// Time until the first event: the prompt is read.
    pub prefill: Duration,
    /// Time between events.
    pub step: Duration,
    pub events: u32,
    /// A pause after some events.
    pub pause: Option<(u32, Duration)>,
}

/// Decides how an engine answers a request. The arguments are the engine's number, the request's id and its last event.
pub type Planner = Arc<dyn Fn(usize, &str, u32) -> RunPlan + Send + Sync>;

/// Decides whether an order stays unanswered, and after which time it is carried out then.
pub type OrderFault = Arc<dyn Fn(&Order) -> Option<Duration> + Send + Sync>;

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub operation: String,
    pub model: String,
    pub adapter: Option<String>,
    pub expect: Option<u64>,
    pub instance: Option<String>,
    pub number: u64,
}

#[derive(Debug, Default)]
struct EngineState {
    id: String,
    born: u64,
    start: u64,
    is_down: bool,
    /// Whether the engine serves without an entry, because it is leaving.
    is_unlisted: bool,
    wrote_at: Option<Instant>,
    heartbeats: u32,
    seq: u64,
    orders: u64,
    held: Vec<String>,
    copies: Vec<String>,
    loading: Option<(String, Instant)>,
    unloading: Option<String>,
    /// Adapters as `MODEL/NAME`: those that are held, and those that are being loaded.
    adapters: Vec<String>,
    coming: Vec<(String, Instant)>,
    /// Running requests by what they use: `MODEL`, or `MODEL/NAME` as well.
    uses: BTreeMap<String, u32>,
    running: u32,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub engine: usize,
    pub after: u32,
    pub began: f64,
    pub ended: Option<f64>,
    pub events: u32,
}

/// All runs at all engines, in the order of their beginnings.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// An engine. Clones share it.
#[derive(Clone)]
pub struct Engine {
    pub spec: Arc<EngineSpec>,
    world: World,
    state: Arc<Mutex<EngineState>>,
    plan: Planner,
    fault: OrderFault,
    runs: Runs,
    /// Whether the engine was ordered to hold more than fits.
    pub is_overfull: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(
        world: &World,
        spec: EngineSpec,
        plan: Planner,
        fault: OrderFault,
        runs: &Runs,
    ) -> std::io::Result<Self> {
        let state = EngineState {
            id: format!("i-{:04x}{:06x}", spec.number, now_ms() & 0xff_ffff),
            born: now_ms(),
            held: spec.held.clone(),
            copies: spec.held.clone(),
            ..EngineState::default()
        };
        let engine = Self {
            spec: Arc::new(spec),
            world: world.clone(),
            state: Arc::new(Mutex::new(state)),
            plan,
            fault,
            runs: Arc::clone(runs),
            is_overfull: Arc::default(),
        };
        let serving = engine.clone();
        http::serve(
            engine.spec.address,
            Arc::new(move |request, stream| serving.handle(request, stream)),
        )?;
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                beating.write_entry();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn held(&self) -> Vec<String> {
        let mut state = self.lock();
        self.settle(&mut state);
        state.held.clone()
    }

    pub fn sequence(&self) -> u64 {
        self.lock().seq
    }

    fn note(&self, text: &str) {
        self.world
            .record
            .write(&format!("engine {}: {text}", self.spec.number));
    }

    pub fn heartbeats(&self) -> u32 {
        self.lock().heartbeats
    }

    pub fn adapters(&self) -> Vec<String> {
        let mut state = self.lock();
        self.settle(&mut state);
        state.adapters.clone()
    }

    /// Ends loads and unloads that are due.
    fn settle(&self, state: &mut EngineState) {
        if state
            .loading
            .as_ref()
            .is_some_and(|(_, until)| *until <= Instant::now())
            && let Some((model, _)) = state.loading.take()
        {
            self.note(&format!("{model} is loaded"));
            if !state.copies.contains(&model) {
                state.copies.push(model.clone());
            }
            state.held.push(model);
        }
        let now = Instant::now();
        let (done, coming) = std::mem::take(&mut state.coming)
            .into_iter()
            .partition(|(_, until): &(String, Instant)| *until <= now);
        state.coming = coming;
        state.adapters.extend(done.into_iter().map(|(key, _)| key));
        let is_idle = |model: &String| state.uses.get(model).copied().unwrap_or(0) == 0;
        if state.unloading.as_ref().is_some_and(is_idle)
            && let Some(model) = state.unloading.take()
        {
            self.note(&format!("{model} is unloaded"));
            state.held.retain(|held| *held != model);
            state.adapters.retain(|key| model_of(key) != model);
        }
    }

    /// Writes the entry in the platform's store, unless the engine is down.
    pub fn write_entry(&self) {
        let mut state = self.lock();
        if state.is_down || state.is_unlisted {
            return;
        }
        state.wrote_at = Some(Instant::now());
        state.heartbeats += 1;
        self.settle(&mut state);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\
             \"cold_ms\":0,\"seq\":{},\"born\":{},\"models\":{},\"at_hand\":{}}}",
            self.spec.service,
            self.spec.address,
            self.spec.zone,
            self.spec.slots,
            state.seq,
            state.born,
            models(&state),
            copies(&state.copies),
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        self.world.store.put(&key, &entry);
    }

    /// Ends the engine as a crash does: all connections break, and what was held is gone.
    pub fn crash(&self, why: &str) {
        self.end(&mut self.lock(), why);
    }

    fn end(&self, state: &mut EngineState, why: &str) {
        state.is_down = true;
        state.start += 1;
        state.running = 0;
        self.note(&format!("crashes: {why}"));
    }

    /// Removes the engine's entry, without a word before. The engine goes on to serve.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.is_unlisted = true;
        let key = format!("servers/{}", state.id);
        self.note(&format!(
            "{key} is removed from the store, the engine serves on"
        ));
        drop(state);
        self.world.store.remove(&key);
    }

    /// Starts the engine again. It is empty, or holds `spec.held` where that is what it starts with; its disk keeps the
    /// copies.
    pub fn restart(&self) {
        let mut state = self.lock();
        if !self.spec.keeps_id {
            self.expire_entry(&state);
        }
        let id = if self.spec.keeps_id {
            state.id.clone()
        } else {
            format!("i-{:04x}{:06x}", self.spec.number, now_ms() & 0xff_ffff)
        };
        let start = state.start + 1;
        let copies = state.copies.clone();
        let orders = state.orders;
        *state = EngineState {
            id,
            born: now_ms(),
            start,
            copies,
            orders,
            ..EngineState::default()
        };
        self.note(&format!("starts again as {}, empty, seq 0", state.id));
        drop(state);
        self.write_entry();
    }

    /// Removes the entry of the start that has ended, after three heartbeat intervals of silence.
    fn expire_entry(&self, state: &EngineState) {
        let key = format!("servers/{}", state.id);
        let silent = state.wrote_at.map_or(Duration::ZERO, |at| at.elapsed());
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep((HEARTBEAT * 3).saturating_sub(silent));
            engine.note(&format!("{key} lapses in the store"));
            engine.world.store.remove(&key);
        });
    }

    fn handle(&self, request: Request, stream: &mut TcpStream) -> bool {
        let (is_down, id) = {
            let state = self.lock();
            (state.is_down, state.id.clone())
        };
        if is_down {
            return false;
        }
        match request.path.as_str() {
            "/report" => {
                let report = self.report();
                http::respond(
                    stream,
                    200,
                    &[("Content-Type", "application/json")],
                    report.as_bytes(),
                )
            }
            "/health" => http::respond(stream, 200, &[("X-Oatpier-Instance-Id", &id)], b""),
            "/order" => self.take_order(&request, stream),
            _ => self.serve_request(&request, stream),
        }
    }

    fn report(&self) -> String {
        let mut state = self.lock();
        self.settle(&mut state);
        let is_busy = state.loading.is_some() || state.unloading.is_some();
        format!(
            "{{\"born\":{},\"stage\":\"both\",\"models\":{},\"busy\":{is_busy},\"seq\":{},\"waiting\":0,\"running\":{},\
             \"kv_used\":{},\"kv_total\":85485,\"handles\":0,\"coming\":[{}],\"at_hand\":{}}}",
            state.born,
            models(&state),
            state.seq,
            state.running,
            state.running * 300,
            coming(&state.coming),
            copies(&state.copies),
        )
    }

    fn take_order(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let Some(body) = Json::parse(&request.body) else {
            return http::respond(stream, 400, &[], b"");
        };
        let word = |key: &str| body.get(key).text().map(str::to_owned);
        let number = {
            let mut state = self.lock();
            state.orders += 1;
            state.orders
        };
        let order = Order {
            operation: word("operation").unwrap_or_default(),
            model: word("model").unwrap_or_default(),
            adapter: word("adapter"),
            expect: body.get("expect").number(),
            instance: request
                .header("x-oatpier-expect-instance")
                .map(str::to_owned),
            number,
        };
        let text = format!(
            "order {number}: {} {}{} expect {:?} holder {} for {:?}",
            order.operation,
            order.model,
            order
                .adapter
                .as_ref()
                .map_or(String::new(), |adapter| format!("/{adapter}")),
            order.expect,
            word("holder").unwrap_or_default(),
            order.instance
        );
        if let Some(delay) = (self.fault)(&order) {
            self.note(&format!(
                "{text}: no answer, to be carried out after {delay:?}"
            ));
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let status = engine.carry_out(&order);
                engine.note(&format!("order {number}, late: {status}"));
            });
            // The connection stays open without an answer.
            http::is_closed(stream, Duration::from_secs(30));
            return false;
        }
        let status = self.carry_out(&order);
        self.note(&format!("{text}: {status}"));
        http::respond(stream, status, &[], b"")
    }

    /// Carries out an order as it is checked now. Returns its status.
    fn carry_out(&self, order: &Order) -> u16 {
        let mut state = self.lock();
        if state.is_down {
            return 0;
        }
        self.settle(&mut state);
        if order
            .instance
            .as_ref()
            .is_some_and(|instance| *instance != state.id)
        {
            return 421;
        }
        if order.expect.is_some_and(|expect| expect != state.seq) {
            return 409;
        }
        if state.loading.is_some() || state.unloading.is_some() {
            return 409;
        }
        let is_held = state.held.contains(&order.model);
        if let Some(adapter) = &order.adapter {
            let key = format!("{}/{adapter}", order.model);
            return self.carry_out_adapter(&mut state, &order.operation, key);
        }
        match order.operation.as_str() {
            "load" if is_held => 200,
            "load" => {
                let size = |name: &String| {
                    let models = self.spec.models.iter();
                    models
                        .filter(|model| model.name == *name)
                        .map(|model| model.size_mb)
                        .sum::<u64>()
                };
                let used: u64 = state.held.iter().map(size).sum::<u64>() + size(&order.model);
                if used > self.spec.room_mb {
                    self.is_overfull.store(true, Ordering::SeqCst);
                    self.note(&format!(
                        "LIMIT: ordered to load {} beside {:?}, {used} MB of {} MB",
                        order.model, state.held, self.spec.room_mb
                    ));
                    self.end(&mut state, "it was ordered to hold more than fits");
                    return 0;
                }
                let is_copied = state.copies.contains(&order.model);
                let time = if is_copied {
                    self.spec.disk_load
                } else {
                    self.spec.load
                };
                state.loading = Some((order.model.clone(), Instant::now() + time));
                state.seq += 1;
                202
            }
            "unload" if !is_held => 200,
            "unload" => {
                state.unloading = Some(order.model.clone());
                state.seq += 1;
                self.settle(&mut state);
                202
            }
            _ => 400,
        }
    }

    /// Carries out an order for an adapter, given as `MODEL/NAME`.
    fn carry_out_adapter(&self, state: &mut EngineState, operation: &str, key: String) -> u16 {
        let is_held = state.adapters.contains(&key);
        let is_used = state.uses.get(&key).is_some_and(|uses| *uses > 0);
        match operation {
            "load" if !state.held.iter().any(|model| model == model_of(&key)) => 400,
            "load" if is_held || state.coming.iter().any(|(coming, _)| *coming == key) => 200,
            "load" => {
                let taken = state.adapters.len() + state.coming.len();
                if taken >= self.spec.adapter_slots {
                    self.is_overfull.store(true, Ordering::SeqCst);
                    let held = &state.adapters;
                    self.note(&format!("LIMIT: ordered to load {key} beside {held:?}"));
                    self.end(state, "it was ordered to hold more than fits");
                    return 0;
                }
                state.coming.push((key, Instant::now() + ADAPTER_LOAD));
                state.seq += 1;
                202
            }
            "unload" if !is_held => 200,
            "unload" if is_used => 409,
            "unload" => {
                state.adapters.retain(|held| *held != key);
                state.seq += 1;
                200
            }
            _ => 400,
        }
    }

    fn serve_request(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request
            .header("x-oatpier-request-id")
            .unwrap_or_default()
            .to_owned();
        let after: u32 = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let weights = request
            .header("x-oatpier-model")
            .unwrap_or_default()
            .to_owned();
        let model = model_of(&weights).to_owned();
        let has_adapter = weights.contains('/');
        let expected = request
            .header("x-oatpier-expect-instance")
            .map(str::to_owned);
        let start = {
            let mut state = self.lock();
            self.settle(&mut state);
            let is_other = expected.is_some_and(|expected| expected != state.id);
            let is_missing = !state.held.contains(&model)
                || state.unloading.as_ref() == Some(&model)
                || (has_adapter && !state.adapters.contains(&weights));
            let status = if is_other || is_missing {
                421
            } else if state.running as usize >= self.spec.slots {
                503
            } else {
                200
            };
            if status != 200 {
                let headers = [
                    ("X-Oatpier-Request-Id", id.as_str()),
                    ("X-Oatpier-Not-Executed", "1"),
                    ("X-Oatpier-Instance-Id", &state.id),
                ];
                self.note(&format!("request {id} for {weights}: {status}, not run"));
                return http::respond(stream, status, &headers, b"");
            }
            state.running += 1;
            *state.uses.entry(model.clone()).or_default() += 1;
            if has_adapter {
                *state.uses.entry(weights.clone()).or_default() += 1;
            }
            state.start
        };
        let is_whole = self.run(&id, after, start, stream);
        let mut state = self.lock();
        if state.start == start {
            state.running -= 1;
            for used in [&model, &weights] {
                if let Some(uses) = state.uses.get_mut(used) {
                    *uses = uses.saturating_sub(1);
                }
                if !has_adapter {
                    break;
                }
            }
        }
        is_whole
    }

    /// Runs a request. Returns whether its answer is complete.
    fn run(&self, id: &str, after: u32, start: u64, stream: &mut TcpStream) -> bool {
        let plan = (self.plan)(self.spec.number, id, after);
        let index = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.push(Run {
                id: id.to_owned(),
                engine: self.spec.number,
                after,
                began: self.world.record.seconds(),
                ended: None,
                events: 0,
            });
            runs.len() - 1
        };
        self.note(&format!("begins to work on {id} after event {after}"));
        let (made, is_whole) = self.stream_events(id, after, start, plan, stream);
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[index].ended = Some(self.world.record.seconds());
        runs[index].events = made;
        drop(runs);
        let how = if is_whole {
            "completes"
        } else {
            "stops work on"
        };
        self.note(&format!("{how} {id} after {made} events"));
        is_whole
    }

    /// Works until the answer is complete, the engine has ended, or the caller has closed the connection.
    fn stream_events(
        &self,
        id: &str,
        after: u32,
        start: u64,
        plan: RunPlan,
        stream: &mut TcpStream,
    ) -> (u32, bool) {
        let is_over = |stream: &TcpStream, wait: Duration| {
            let until = Instant::now() + wait;
            loop {
                let left = until.saturating_duration_since(Instant::now());
                if http::is_closed(stream, left.min(Duration::from_millis(10)))
                    || self.lock().start != start
                {
                    return true;
                }
                if left.is_zero() {
                    return false;
                }
            }
        };
        if is_over(stream, plan.prefill) {
            return (0, false);
        }
        let stamp = format!("{id}.{}", self.spec.number);
        let headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Oatpier-Request-Id", id),
            ("X-Oatpier-Response-Stamp", stamp.as_str()),
        ];
        if !http::begin_chunked(stream, &headers) {
            return (0, false);
        }
        let mut made = 0;
        for number in after + 1..=plan.events {
            if made > 0 && is_over(stream, plan.step) {
                return (made, false);
            }
            if let Some((at, pause)) = plan.pause
                && made == at
            {
                self.note(&format!("pauses {id} for {pause:?}"));
                if is_over(stream, pause) {
                    return (made, false);
                }
            }
            if !http::write_chunk(
                stream,
                &format!("id: {number}\ndata: {id} part {number}\n\n"),
            ) {
                return (made, false);
            }
            made += 1;
        }
        (made, http::write_chunk(stream, ""))
    }
}

/// Returns the model of `MODEL` or `MODEL/NAME`.
fn model_of(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}

fn models(state: &EngineState) -> String {
    let adapters = |model: &String| {
        let keys = state.adapters.iter().filter(|key| model_of(key) == model);
        let names: Vec<String> = keys
            .filter_map(|key| Some(format!("\"{}\"", key.split_once('/')?.1)))
            .collect();
        names.join(",")
    };
    let rows: Vec<String> = state
        .held
        .iter()
        .map(|name| {
            let adapters = adapters(name);
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}")
        })
        .collect();
    format!("[{}]", rows.join(","))
}

fn coming(coming: &[(String, Instant)]) -> String {
    let rows: Vec<String> = coming
        .iter()
        .map(|(key, _)| format!("\"{key}@1\""))
        .collect();
    rows.join(",")
}

fn copies(copies: &[String]) -> String {
    let rows: Vec<String> = copies.iter().map(|name| format!("\"{name}\"")).collect();
    format!("{{\"in_memory\":[],\"on_disk\":[{}]}}", rows.join(","))
}

/// Counts of answers by status, for the record.
pub fn count_statuses(statuses: &[u16]) -> String {
    let mut counts: HashMap<u16, u32> = HashMap::new();
    for status in statuses {
        *counts.entry(*status).or_default() += 1;
    }
    let mut rows: Vec<_> = counts.into_iter().collect();
    rows.sort_unstable();
    format!("{rows:?}")
}

/// Waits for a time in steps, so that a condition may end it. Returns whether the condition held.
pub fn wait_until(time: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep_ms(10);
    }
    condition()
}
