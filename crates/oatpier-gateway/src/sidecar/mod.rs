//! A sidecar: the only process that sends orders to its engine.
//!
//! - [`engine_link`]: calls to the engine.
//! - [`pace`]: the engine's pace, and when it is sent to gateways.
//! - [`permit_waits`]: what requests for its permits wait for.
//! - [`statuses`]: status updates to gateways, and when they are sent.
//! - [`service`]: the service that the engine belongs to.
//! - [`shares`]: updates of the engine's use by workspaces.
//!
//! One loop reads the engine's report, receives messages from gateways, sends the orders that
//! [`oatpier_serving::residency`] decides on, and sends status updates.

pub mod engine_link;
pub mod pace;

pub mod permit_waits;
pub mod service;
pub mod shares;
pub mod statuses;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_duty::duty::{DutyProcess, RuntimeClock, StartError, StopPhase, StopSignal, bind};
use oatpier_serving::engine::{EngineOrder, OrderAnswer};
use oatpier_serving::failures::FailureCount;
use oatpier_serving::message::{EngineUpdate, InnerMessage, OriginAnswer};
use oatpier_serving::node::NodeSettings;
use oatpier_serving::origins::OriginTable;
use oatpier_serving::permits::PermitIssuer;
use oatpier_serving::residency::{EngineResidency, LoadPace, SequencedOrder};
use oatpier_types::clock::ClockTime;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use crate::decisions::{DecisionLine, DecisionLog, LinePriority};
use crate::exchange::{MessageOutlet, MessageSocket};
use crate::metrics::ServingMetrics;
use crate::node_process::{NodeProcess, ProcessInputs};
use crate::reload::{SettingsFeed, SettingsSource};

use self::engine_link::EngineLink;
use self::pace::PaceReporter;
use self::service::ServiceTracker;
use self::shares::ShareReporter;
use self::statuses::StatusSender;

/// Interval between reads of the engine's report. Reading it on the same VM costs next to nothing. Gateways place
/// requests by it, so it should be fresher than the time to a first token.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of orders sent in a row before the loop receives messages from gateways again.
const MAX_CONSECUTIVE_ORDERS: usize = 8;

/// Pause after an order that got no answer. The order may still be carried out, seconds later or never. If it is sent
/// again under the same sequence number, the engine accepts only one of the two.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);

/// Pause after an order that conflicted with another one.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// Interval between attempts to identify an engine that does not state its instance. Each attempt counts as a health
/// check.
const IDENTIFY_INTERVAL: Duration = Duration::from_secs(1);

/// Load pace before a gateway has stated the weight store's limit. One load per window for each engine is far below
/// any rate.
const DEFAULT_PACE: LoadPace = LoadPace {
    loads: 1,
    engines: 64,
    index: u32::MAX,
    window: Duration::from_secs(5),
};

/// Starts the threads of a sidecar.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn start(
    settings: &NodeSettings,
    source: Box<dyn SettingsSource>,
) -> Result<DutyProcess, StartError> {
    let metrics_listener = bind(settings.metrics, "metrics")?;
    let inner = settings.inner_address();
    let socket = UdpSocket::bind(inner).map_err(|cause| StartError::Listen {
        address: inner,
        purpose: "gateways",
        cause,
    })?;
    let process_inputs = ProcessInputs {
        source,
        metrics_listener,
        readiness_listener: None,
        can_serve: Arc::new(AtomicBool::new(true)),
    };
    let mut node = NodeProcess::start(settings, process_inputs);
    let inputs = EngineInputs {
        settings: node.settings,
        socket,
        metrics: node.metrics,
        log: node.log,
        stop: node.process.stop.clone(),
    };
    node.process.spawn("engine", || run_engine(inputs));
    Ok(node.process)
}

/// Inputs of the engine thread.
struct EngineInputs {
    settings: SettingsFeed,
    socket: UdpSocket,
    metrics: ServingMetrics,
    log: DecisionLog,
    stop: StopSignal,
}

/// Runs the sidecar's loop until the process is told to stop. The engine finishes an order in progress by itself, so
/// there is nothing to drain.
async fn run_engine(inputs: EngineInputs) {
    let stop = inputs.stop.clone();
    let settings = Arc::clone(&inputs.settings.borrow());
    let address = settings.engine;
    let socket = MessageSocket::new(inputs.socket, inputs.metrics.clone());
    let (Some(address), Ok(socket)) = (address, socket) else {
        spdlog::critical!(
            "the settings name no engine, or the socket could not be registered with the runtime"
        );
        stop.advance(StopPhase::Ended);
        return;
    };
    let clock = RuntimeClock::start();
    let pace = LoadPace {
        window: settings.bounds.load_window,
        ..DEFAULT_PACE
    };
    let mut sidecar = EngineSidecar {
        residency: EngineResidency::new(pace, settings.is_first_start, clock.now()),
        permits: PermitIssuer::default(),
        pace: PaceReporter::new(address, inputs.metrics.pace.clone()),
        failures: FailureCount::default(),
        link: EngineLink::new(address, settings.name.clone()),
        service: ServiceTracker::default(),
        origins: OriginTable::default(),
        status_sender: StatusSender::new(address),
        share_reporter: ShareReporter::new(address),
        socket,
        clock,
        metrics: inputs.metrics,
        log: inputs.log,
        paused_until: Instant::now(),
        health_path: None,
        identify_at: Instant::now(),
        settings: inputs.settings,
    };
    tokio::select! {
        () = sidecar.run() => {}
        () = stop.reached(StopPhase::Draining) => {}
    }
    stop.advance(StopPhase::Ended);
}

/// State of the loop that manages one engine.
struct EngineSidecar {
    residency: EngineResidency,
    permits: PermitIssuer,
    pace: PaceReporter,
    /// Counts of the engine's requests and of those that failed.
    failures: FailureCount,
    link: EngineLink,
    service: ServiceTracker,
    /// Records of streams at any engine, which go on when all gateways end at once.
    origins: OriginTable,
    status_sender: StatusSender,
    share_reporter: ShareReporter,
    socket: MessageSocket,
    clock: RuntimeClock,
    metrics: ServingMetrics,
    log: DecisionLog,
    paused_until: Instant,
    /// Path at which the engine states its instance, once a gateway has sent it.
    health_path: Option<Arc<str>>,
    /// Earliest time of the next attempt to identify the engine.
    identify_at: Instant,
    /// The settings in force.
    settings: SettingsFeed,
}

impl EngineSidecar {
    async fn run(&mut self) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let permit_at = self.next_permit();
            tokio::select! {
                biased;
                (from, message) = self.socket.receive() => self.handle_message(from, message),
                () = permit_at => self.send_permits(),
                _ = ticks.tick() => self.refresh_report().await,
            }
            self.send_orders().await;
            let now = self.clock.now();
            self.status_sender.set_waiting(&self.permits);
            let failing = self.failures.share_percent(self.clock.now());
            self.status_sender.set_failing(failing);
            self.status_sender.set_service(self.service.service());
            self.status_sender
                .send_due(&self.socket, &self.residency, now);
            self.send_pace(now);
            self.send_shares(now);
        }
    }

    fn send_pace(&mut self, now: ClockTime) {
        let engines = self.status_sender.engines();
        if let Some(update) = self.pace.due_update(engines, now) {
            self.status_sender.send_to_relays(&self.socket, update);
        }
        for line in self.pace.due_lines(now) {
            self.log.write(line);
        }
    }

    fn send_shares(&mut self, now: ClockTime) {
        let engines = self.status_sender.engines();
        let update = self.share_reporter.due_update(&self.permits, engines, now);
        if let Some(update) = update {
            self.status_sender
                .send_to_relays(&self.socket, EngineUpdate::Shares(update));
        }
    }

    /// Returns a future that completes when a waiting permit can be granted.
    fn next_permit(&self) -> impl Future<Output = ()> + use<> {
        let at = self.permits.next_expiry();
        let at = at.map(|at| self.clock.instant(at));
        async move {
            match at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }

    fn send_permits(&mut self) {
        let now = self.clock.now();
        let grants = self.permits.issue_due(now);
        self.pace.note_grants(&grants, &self.permits, now);
        for due in grants {
            self.failures.note_request(now);
            let message = InnerMessage::Permit(due.grant);
            MessageOutlet::send(&self.socket, due.to, &message);
        }
    }

    fn handle_message(&mut self, from: SocketAddr, message: InnerMessage) {
        let now = self.clock.now();
        match message {
            InnerMessage::Subscription(subscription) => {
                self.status_sender
                    .apply_subscription(from, &subscription, now);
                self.health_path = Some(Arc::clone(&subscription.health_path));
                self.residency.apply_subscription(from, &subscription, now);
            }
            InnerMessage::AdapterWanted(request) => {
                self.status_sender.record_requester(from, now);
                self.residency.request_adapter(request, now);
            }
            InnerMessage::Advice(advice) => {
                let line = DecisionLine::new(LinePriority::Notable, "advice heard")
                    .with("model", advice.load.as_str())
                    .with("from", from.to_string());
                self.log.write(line);
                self.residency.accept_advice(advice, now);
            }
            InnerMessage::RightAsk(right) => {
                let is_lent = self.residency.lend_right(now);
                let line = DecisionLine::new(LinePriority::Notable, "right asked")
                    .with("from", from.to_string())
                    .with("outcome", if is_lent { "lent" } else { "kept" });
                self.log.write(line);
                if is_lent {
                    MessageOutlet::send(&self.socket, from, &InnerMessage::Right(right));
                }
            }
            InnerMessage::Right(right) => self.residency.accept_right(right),
            InnerMessage::PermitAsk(ask) => {
                self.permits.add_request(from, ask, now);
                self.send_permits();
            }
            InnerMessage::RatedPermitAsk(rated) => {
                if rated.is_disturbed {
                    self.pace.note_disturbed(now);
                }
                self.permits.add_rated_request(from, &rated, now);
                self.send_permits();
            }
            InnerMessage::PermitDone(permit) => {
                self.permits.release(permit.id);
                self.send_permits();
            }
            InnerMessage::EngineListed(listing) => {
                let is_known = self.service.service() == Some(&listing.service);
                if self.link.instance() == Some(&listing.engine) && !is_known {
                    self.log_engine("engine listed");
                    self.service.set_service(listing.service);
                }
            }
            InnerMessage::AttemptFailed(failure) => self.failures.note_failure(failure, now),
            InnerMessage::StreamsBegun(records) => {
                for record in records {
                    self.origins.keep(record, now);
                }
            }
            InnerMessage::OriginAsk(ask) => {
                let answer = OriginAnswer {
                    id: ask.id,
                    attestation: self.origins.attest(ask.key, now),
                };
                let message = InnerMessage::OriginAnswer(Box::new(answer));
                MessageOutlet::send(&self.socket, from, &message);
            }
            // Addressed to gateways.
            InnerMessage::Status(_)
            | InnerMessage::Spread(_)
            | InnerMessage::Relayed(_)
            | InnerMessage::Peer(_)
            | InnerMessage::StoreSeen(_)
            | InnerMessage::QuotaAsk(_)
            | InnerMessage::QuotaAnswer(_)
            | InnerMessage::TurnAsk(_)
            | InnerMessage::TurnAnswer(_)
            | InnerMessage::LimitSeen(_)
            | InnerMessage::LeavingSeen(_)
            | InnerMessage::OriginAnswer(_)
            | InnerMessage::PinnedWanted(_)
            | InnerMessage::PartCrashesSeen(_)
            | InnerMessage::PartsAnswered(_)
            | InnerMessage::TrialAsk(_)
            | InnerMessage::TrialAnswer(_)
            | InnerMessage::CrashesSeen(_)
            | InnerMessage::CrashesCleared(_)
            | InnerMessage::Permit(_) => {}
        }
    }

    /// Reads the engine's report. All that is known of an engine is discarded if it does not answer or was restarted.
    async fn refresh_report(&mut self) {
        let window = self.settings.borrow().bounds.load_window;
        self.residency.set_load_window(window);
        let sent_at = self.clock.now();
        match self.link.report().await {
            Ok(mut report) => {
                if self.note_answer(sent_at) {
                    self.link.forget_instance();
                    self.status_sender.set_instance(None);
                }
                if self.residency.is_restarted(&report) {
                    self.log_engine("engine restarted");
                    self.forget_engine();
                }
                if !self.status_sender.set_answering(true) {
                    self.log_engine("engine answers");
                }
                let now = self.clock.now();
                self.permits.note_load(report.load, now);
                self.pace.apply_report(&report, &mut self.permits, now);
                report.streams.clear();
                self.residency.apply_report(report);
                self.send_permits();
                self.identify().await;
            }
            Err(cause) => {
                if self.status_sender.set_answering(false) {
                    let line = DecisionLine::new(LinePriority::Notable, "engine lost");
                    self.log.write(line.with("cause", cause));
                }
                self.forget_engine();
            }
        }
    }

    /// Records that the engine has answered a call. Returns whether it may belong to another service than before.
    fn note_answer(&mut self, sent_at: ClockTime) -> bool {
        let reuse_after = self.settings.borrow().bounds.reuse_after;
        self.service
            .note_answer(sent_at, self.clock.now(), reuse_after)
    }

    fn forget_engine(&mut self) {
        self.failures = FailureCount::default();
        self.permits.forget_load();
        self.pace.forget_engine(&mut self.permits);
        self.permits.forget_shares();
        self.residency.forget_engine(self.clock.now());
        self.link.forget_instance();
        self.status_sender.set_instance(None);
    }

    /// Asks the engine for its instance, unless it is known. Without it, each gateway would send the engine one request
    /// that is rejected when gateways start together or the registry still lists the previous instance.
    async fn identify(&mut self) {
        let due = self.link.instance().is_none() && Instant::now() >= self.identify_at;
        let Some(path) = self.health_path.clone().filter(|_| due) else {
            return;
        };
        self.identify_at = Instant::now() + IDENTIFY_INTERVAL;
        let sent_at = self.clock.now();
        match self.link.identify(&path).await {
            Ok(()) => {
                self.note_answer(sent_at);
                self.log_engine("engine named");
                self.status_sender.set_instance(self.link.instance());
            }
            Err(cause) => {
                let line = DecisionLine::new(LinePriority::Notable, "engine not named");
                self.log.write(line.with("cause", cause));
            }
        }
    }

    fn log_engine(&self, decision: &'static str) {
        let instance = self.link.instance().map(ToString::to_string);
        let line = DecisionLine::new(LinePriority::Notable, decision);
        self.log.write(line.with("instance", instance));
    }

    async fn send_orders(&mut self) {
        for _ in 0..MAX_CONSECUTIVE_ORDERS {
            if Instant::now() < self.paused_until {
                return;
            }
            if self.residency.report().is_none() {
                self.refresh_report().await;
            }
            let Some(order) = self.residency.next_order(self.clock.now()) else {
                self.request_load_right();
                return;
            };
            self.send_order(&order).await;
        }
    }

    /// Requests the right to load from another engine's sidecar, if nothing else prevents a load.
    fn request_load_right(&mut self) {
        let ask = self
            .residency
            .request_right(rand::random(), self.clock.now());
        if let Some(ask) = ask {
            let message = InnerMessage::RightAsk(ask.right);
            MessageOutlet::send(&self.socket, ask.lender, &message);
        }
    }

    async fn send_order(&mut self, order: &SequencedOrder) {
        let answer = self.link.order(order).await;
        match answer {
            OrderAnswer::Unknown => self.paused_until = Instant::now() + UNANSWERED_PAUSE,
            OrderAnswer::Conflict => self.paused_until = Instant::now() + CONFLICT_PAUSE,
            // The engine has been replaced by another instance, which rejects orders addressed to its predecessor.
            OrderAnswer::Rejected => {
                self.link.forget_instance();
                self.paused_until = Instant::now() + CONFLICT_PAUSE;
            }
            OrderAnswer::Taken | OrderAnswer::Holds => {}
        }
        self.residency.note_answer(order, answer, self.clock.now());
        self.log_order(order, answer);
    }

    fn log_order(&self, order: &SequencedOrder, answer: OrderAnswer) {
        let (operation, weights) = match &order.order {
            EngineOrder::LoadModel(model) => ("load model", model.to_string()),
            EngineOrder::UnloadModel(model) => ("unload model", model.to_string()),
            EngineOrder::LoadAdapter(key) => {
                ("load adapter", format!("{}/{}", key.model, key.adapter))
            }
            EngineOrder::UnloadAdapter(key) => {
                ("unload adapter", format!("{}/{}", key.model, key.adapter))
            }
        };
        let outcome = match answer {
            OrderAnswer::Taken => "taken",
            OrderAnswer::Holds => "holds",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Rejected => "rejected",
            OrderAnswer::Unknown => "unanswered",
        };
        let line = DecisionLine::new(LinePriority::Notable, "order")
            .with("operation", operation)
            .with("weights", weights)
            .with("expect", order.expect)
            .with("outcome", outcome);
        self.log.write(line);
        self.metrics.count_order(outcome);
    }
}
