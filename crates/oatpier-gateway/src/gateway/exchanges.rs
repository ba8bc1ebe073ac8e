//! What gateways and sidecars tell each other, and the planner's rounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::{InnerMessage, MessageNumber, PeerReport};
use oatpier_serving::peers::PeerStanding;
use oatpier_serving::planner::{BlockedLoad, FleetDemand, PlannedLoad};
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::core::{CoreState, GatewayCore, SidecarGreeting};
use crate::decisions::{DecisionLine, LineWeight};
use crate::exchange::InnerSocket;
use crate::records::StoreNews;

/// From one greeting to the next of a sidecar that is not heard: after a start of all processes, sidecars
/// that come up a moment later than gateways are heard this soon.
const UNHEARD_EVERY: Duration = Duration::from_millis(125);

/// Greetings of unheard sidecars for each greeting of those whose engines this gateway uses adapters of,
/// every half a second. A sidecar takes an adapter for unused after three of these.
const UNHEARD_GREETINGS: u64 = 4;

/// The same for each greeting of all, every two seconds: it only says that this gateway is still there, and
/// their number is that of gateways times engines.
const ALL_GREETINGS: u64 = 16;

/// From one passing on of what sidecars told to the next. A relay hears some twenty engines in its turn, so
/// what it passes on within this fits a packet or two.
const RELAY_EVERY: Duration = Duration::from_millis(40);

/// From one report to peers to the next.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Reports of demand for each report to the gateways that do not need it: 0.75 s. They need it to pass on
/// what sidecars tell, and to see when the one that plans is gone.
const RARE_REPORTS: u32 = 3;

/// The same for gateways of other zones, from one that neither plans nor would follow: 2.25 s. They only
/// count it.
const FAR_REPORTS: u32 = 9;

/// Demand that can't be served is reported this soon, so that requests which come together are told
/// of together. Short beside half a second, the least that a load takes.
const PRESSED_PAUSE: Duration = Duration::from_millis(40);

/// From one round of the planner to the next while nothing changes.
const PLAN_EVERY: Duration = Duration::from_millis(150);

/// The least time between two rounds. An engine that is done with a load gets the next one this soon;
/// after a restart each has three to do in a row.
const PLAN_PAUSE: Duration = Duration::from_millis(50);

/// Rounds of the planner between two pictures of the engines in the log: three seconds.
const PICTURE_ROUNDS: u64 = 20;

/// Rounds of the planner between two accounts of loads that are not possible: 0.6 s.
const BLOCKED_ROUNDS: u64 = 4;

/// Exchanges messages until the process ends.
pub async fn run(
    core: Arc<GatewayCore>,
    socket: &InnerSocket,
    news: RingReceiver<StoreNews>,
    stop: &StopSignal,
) {
    let reporter = PeerReporter::new(&core, stop);
    tokio::join!(
        hear(&core, socket),
        take_news(&core, &news),
        greet(&core),
        pass_on(&core),
        report(reporter),
        plan(&core, stop),
    );
}

async fn hear(core: &GatewayCore, socket: &InnerSocket) {
    loop {
        let (from, message) = socket.receive().await;
        match message {
            InnerMessage::Pulse(pulse) => core.take_pulse(*pulse),
            InnerMessage::Spread(word) => core.take_spread(word),
            InnerMessage::Relayed(words) => core.take_relayed(words),
            InnerMessage::Peer(report) => {
                let now = core.clock.now();
                core.lock().peers.take_report(from, *report, now);
            }
            InnerMessage::Permit(grant) => core.take_permit(grant),
            InnerMessage::StoreSeen(word) => core.take_store_word(*word),
            // For sidecars.
            InnerMessage::Greeting(_)
            | InnerMessage::AdapterWanted(_)
            | InnerMessage::Advice(_)
            | InnerMessage::PermitAsk(_)
            | InnerMessage::PermitDone(_)
            | InnerMessage::RightAsk(_)
            | InnerMessage::Right(_) => {}
        }
    }
}

async fn take_news(core: &GatewayCore, news: &RingReceiver<StoreNews>) {
    while let Some(news) = news.receive().await {
        match news {
            StoreNews::Read {
                config,
                endpoints,
                word,
            } => {
                core.take_records(config, endpoints);
                core.tell_word(word);
            }
            StoreNews::Told { endpoints } => core.take_records(None, endpoints),
            StoreNews::Same => core.note_store_same(),
            StoreNews::Failed => core.note_store_failure(),
        }
    }
    std::future::pending::<()>().await;
}

/// Which sidecars a round of greetings is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GreetingRound {
    /// Those that are not heard.
    Unheard,
    /// Those whose engines this gateway uses adapters of, too.
    Used,
    /// All.
    All,
}

impl GreetingRound {
    fn of_tick(number: u64) -> Self {
        if number.is_multiple_of(ALL_GREETINGS) {
            Self::All
        } else if number.is_multiple_of(UNHEARD_GREETINGS) {
            Self::Used
        } else {
            Self::Unheard
        }
    }

    fn includes(self, row: &EndpointRow, now: ClockTime) -> bool {
        self == Self::All || row.pulse(now).is_none() || (self == Self::Used && row.uses_adapters())
    }
}

async fn greet(core: &GatewayCore) {
    let mut ticks = interval(UNHEARD_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u64 = 0;
    loop {
        // An endpoint that has just appeared is greeted at once: until its sidecar answers, nothing
        // can be loaded there.
        let round = tokio::select! {
            _ = ticks.tick() => {
                number += 1;
                GreetingRound::of_tick(number)
            }
            () = core.appeared.notified() => GreetingRound::Unheard,
        };
        for due in greetings(core, round) {
            due.send(core);
        }
    }
}

/// The greetings that are due.
fn greetings(core: &GatewayCore, round: GreetingRound) -> Vec<SidecarGreeting> {
    let now = core.clock.now();
    let mut state = core.lock();
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let mut greetings = Vec::new();
    for (service, _) in engine_services(&config) {
        let rows = state.directory.service(service);
        let due = rows.filter(|row| round.includes(row, now));
        let engines: Vec<EndpointName> = due.map(|row| row.record.name.clone()).collect();
        for engine in engines {
            greetings.extend(core.greeting(&mut state, service, &engine));
        }
    }
    greetings
}

/// Passes on to the gateways of the same zone what sidecars told this one.
async fn pass_on(core: &GatewayCore) {
    let mut ticks = interval(RELAY_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = core.clock.now();
        let mut state = core.lock();
        let datagrams = state.relayed.drain();
        let peers: Vec<SocketAddr> = state.peers.in_zone(&core.zone, now).collect();
        drop(state);
        for words in datagrams {
            let message = InnerMessage::Relayed(words);
            for peer in &peers {
                core.outlet.send(*peer, &message);
            }
        }
    }
}

fn engine_services(config: &SiteConfig) -> impl Iterator<Item = (&PoolName, &EngineRule)> {
    let services = config.services.iter();
    services.filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

/// Reports demand to peers.
struct PeerReporter<'a> {
    core: &'a GatewayCore,
    stop: &'a StopSignal,
    /// The last report's place among all.
    number: MessageNumber,
}

impl<'a> PeerReporter<'a> {
    fn new(core: &'a GatewayCore, stop: &'a StopSignal) -> Self {
        Self {
            core,
            stop,
            number: MessageNumber {
                boot: rand::random(),
                number: 0,
            },
        }
    }

    /// Reports everything; `number` counts these reports.
    fn send_whole(&mut self, number: u32) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        let demand = state.demand.summary(now);
        state.urgent = false;
        let uses = state.directory.model_uses();
        let peers = state.peers.addresses(&self.core.zone, now);
        let is_reader = state.peers.is_reader(now);
        self.note_standing(&mut state, now);
        let own = state.peers.own();
        drop(state);
        let whole = PeerReport {
            demand,
            uses,
            ..self.report(own, 1)
        };
        self.tell(&peers.readers, whole);
        if number.is_multiple_of(RARE_REPORTS) {
            let report = self.report(own, RARE_REPORTS);
            self.tell(&peers.near, report);
        }
        let far = if is_reader { RARE_REPORTS } else { FAR_REPORTS };
        if number.is_multiple_of(far) {
            let report = self.report(own, far);
            self.tell(&peers.far, report);
        }
    }

    /// Reports the demand that can't be served to those who can do something about it.
    fn send_pressed(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        state.urgent = false;
        let demand = state.demand.pressed_summary(now);
        let peers = state.peers.addresses(&self.core.zone, now);
        let own = state.peers.own();
        drop(state);
        let partial = PeerReport {
            is_partial: true,
            demand,
            ..self.report(own, 1)
        };
        self.tell(&peers.readers, partial);
    }

    /// Notes what this gateway's own state says of its share and its fitness to plan.
    fn note_standing(&self, state: &mut CoreState, now: ClockTime) {
        let engines_heard = state.directory.engines_heard(now);
        state.peers.note_own(engines_heard, self.core.is_behind());
        let count = state.peers.count(now);
        let bounds = self.core.settings.borrow().bounds;
        state
            .allowance
            .set_bounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        state.allowance.share_among(count);
        let store_age = now.since(state.store_read_at.unwrap_or_default());
        let store_age = i64::try_from(store_age.as_millis()).unwrap_or(i64::MAX);
        self.core.metrics.store_age_ms.set(store_age);
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.core.metrics.gateways.set(count);
    }

    /// A report without demand to gateways that get one with each `reports`th.
    fn report(&mut self, own: PeerStanding, reports: u32) -> PeerReport {
        self.number.number += 1;
        let every_ms = REPORT_EVERY.as_millis();
        PeerReport {
            number: self.number,
            name: self.core.name.clone(),
            zone: self.core.zone.clone(),
            every_ms: u32::try_from(every_ms).unwrap_or(u32::MAX) * reports,
            processor: own.processor,
            is_behind: own.is_behind,
            leaving: self.stop.phase() != StopPhase::Serving,
            engines_heard: own.engines_heard,
            is_partial: false,
            demand: Vec::new(),
            uses: Vec::new(),
        }
    }

    fn tell(&self, peers: &[SocketAddr], report: PeerReport) {
        let report = InnerMessage::Peer(Box::new(report));
        for peer in peers {
            self.core.outlet.send(*peer, &report);
        }
    }
}

async fn report(mut reporter: PeerReporter<'_>) {
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u32 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                number = number.wrapping_add(1);
                reporter.send_whole(number);
            }
            () = reporter.core.pressed.notified() => {
                sleep(PRESSED_PAUSE).await;
                reporter.send_pressed();
            }
        }
    }
}

async fn plan(core: &GatewayCore, stop: &StopSignal) {
    let mut rounds: u64 = 0;
    let mut ticks = interval(PLAN_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.changed.notified() => sleep(PLAN_PAUSE).await,
        }
        if stop.phase() != StopPhase::Serving {
            continue;
        }
        rounds += 1;
        if rounds.is_multiple_of(PICTURE_ROUNDS) {
            log_picture(core);
        }
        let round = plan_round(core);
        for load in round.loads {
            log_plan(core, &load.planned);
            let advice = InnerMessage::Advice(load.planned.advice);
            core.outlet.send(load.sidecar, &advice);
        }
        if rounds.is_multiple_of(BLOCKED_ROUNDS) {
            log_blocked(core, &round.blocked);
        }
    }
}

/// A load, and the sidecar that is advised.
struct AdvisedLoad {
    sidecar: SocketAddr,
    planned: PlannedLoad,
}

/// What a round of the planner came to.
#[derive(Default)]
struct PlannedRound {
    loads: Vec<AdvisedLoad>,
    blocked: Vec<BlockedLoad>,
}

/// The loads to advise now, if this gateway plans.
fn plan_round(core: &GatewayCore) -> PlannedRound {
    let now: ClockTime = core.clock.now();
    let mut state = core.lock();
    if !state.peers.is_planner(now) {
        return PlannedRound::default();
    }
    let Some(config) = state.config.clone() else {
        return PlannedRound::default();
    };
    let own = state.demand.summary(now);
    let models = state.peers.total(&own, now);
    let uses = state.peers.uses(&state.directory.model_uses(), now);
    let demand = FleetDemand {
        models: &models,
        uses: &uses,
    };
    let state = &mut *state;
    let mut round = PlannedRound::default();
    for (service, rule) in engine_services(&config) {
        let rows = state.directory.service(service);
        let outcome = state.planner.plan(rule, rows, demand, now);
        round.blocked.extend(outcome.blocked);
        for mut load in outcome.planned {
            for lender in &mut load.advice.lenders {
                lender.set_port(core.inner_port);
            }
            if let Some(row) = state.directory.row(&load.endpoint) {
                let sidecar = SocketAddr::new(row.record.address.ip(), core.inner_port);
                round.loads.push(AdvisedLoad {
                    sidecar,
                    planned: load,
                });
            }
        }
    }
    round
}

fn log_blocked(core: &GatewayCore, blocked: &[BlockedLoad]) {
    for load in blocked {
        let line = DecisionLine::new(LineWeight::Notable, "load not possible")
            .with("model", load.model.as_str())
            .with("reason", load.reason.as_str())
            .with("want", (load.want * 100.0).round() / 100.0)
            .with("holders", load.holders)
            .with("rate_spent", load.rate_spent)
            .with("busy", load.busy)
            .with("paced", load.paced)
            .with("full", load.full)
            .with("no_gain", load.idle);
        core.log.write(line);
    }
}

/// Logs what the planner sees of each engine, for whoever asks later why a model was where it was.
fn log_picture(core: &GatewayCore) {
    let now = core.clock.now();
    let state = core.lock();
    if !state.peers.is_planner(now) {
        return;
    }
    let rows = state
        .directory
        .all()
        .filter(|row| !row.models(now).is_empty());
    let lines: Vec<DecisionLine> = rows.map(|row| picture_line(row, now)).collect();
    drop(state);
    for line in lines {
        core.log.write(line);
    }
}

fn picture_line(row: &EndpointRow, now: ClockTime) -> DecisionLine {
    let models = row.models(now).iter().map(|held| {
        let adapters = held.adapters.len();
        format!("{}+{adapters}", held.model)
    });
    DecisionLine::new(LineWeight::Notable, "engine seen")
        .with("endpoint", row.record.name.as_str())
        .with("requests", row.present())
        .with("waiting", row.waiting())
        .with("hold_ms", row.hold.mean_ms().round())
        .with("first_ms", row.first.mean_ms().round())
        .with("memory", (row.memory_share(0, now) * 100.0).round())
        .with("failures", (row.failure_share(now) * 100.0).round())
        .with("models", models.collect::<Vec<_>>())
}

fn log_plan(core: &GatewayCore, planned: &PlannedLoad) {
    let reason = planned.reason.as_str();
    let unload = planned.advice.unload.iter().map(ToString::to_string);
    let line = DecisionLine::new(LineWeight::Notable, "load advised")
        .with("endpoint", planned.endpoint.as_str())
        .with("model", planned.advice.load.as_str())
        .with("unload", unload.collect::<Vec<_>>())
        .with("reason", reason);
    core.log.write(line);
    core.metrics.advised(reason);
}
