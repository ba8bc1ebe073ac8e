//! A sidecar: the only process that gives its engine orders.
//!
//! - [`engine_link`]: calls to the engine.
//! - [`pulses`]: what gateways are told, and when.
//!
//! One loop reads the engine's report, hears gateways, gives the orders that
//! [`oatpier_serving::residency`] decides, and sends pulses.

pub mod engine_link;
pub mod pulses;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_duty::duty::{DutyProcess, RuntimeClock, StartError, StopPhase, StopSignal, bind};
use oatpier_serving::engine::{EngineOrder, OrderAnswer};
use oatpier_serving::failures::FailureCount;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::node::NodeSettings;
use oatpier_serving::permits::PermitDesk;
use oatpier_serving::residency::{EngineResidency, LoadPace, NumberedOrder};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use crate::decisions::{DecisionLine, DecisionLog, LineWeight};
use crate::exchange::{InnerSocket, MessageOutlet};
use crate::frame::{FrameInputs, ProcessFrame};
use crate::metrics::ServingMetrics;
use crate::reload::{SettingsFeed, SettingsSource};

use self::engine_link::EngineLink;
use self::pulses::PulseSender;

/// From one reading of the engine's report to the next. The report is free on its own VM; gateways
/// place requests by it, so it should be fresher than the time to a first token.
const REPORT_EVERY: Duration = Duration::from_millis(60);

/// Orders that are given in a row before the loop hears gateways again.
const ORDERS_IN_A_ROW: usize = 8;

/// After an order without an answer, the next one waits this long. The order may still be carried out,
/// seconds later or never; given again under the same sequence, only one of the two is taken.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);

/// After an order that crossed another one, the next one waits this long.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// How often an engine that does not tell its instance is asked. Each time counts as a health check.
const IDENTIFY_EVERY: Duration = Duration::from_secs(1);

/// Loads that the weight store bears before a gateway has said how many; one a window for each
/// engine is far below any rate.
const UNKNOWN_PACE: LoadPace = LoadPace {
    loads: 1,
    engines: 64,
    place: u32::MAX,
    window: Duration::from_secs(5),
};

/// Starts a sidecar's duties.
///
/// # Errors
///
/// An address that can't be listened on.
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
    let frame_inputs = FrameInputs {
        source,
        metrics_listener,
        readiness_listener: None,
        able: Arc::new(AtomicBool::new(true)),
    };
    let mut frame = ProcessFrame::start(settings, frame_inputs);
    let inputs = EngineInputs {
        settings: frame.settings,
        socket,
        metrics: frame.metrics,
        log: frame.log,
        stop: frame.process.stop.clone(),
    };
    frame.process.spawn("engine", || engine_duty(inputs));
    Ok(frame.process)
}

/// What the engine duty works on.
struct EngineInputs {
    settings: SettingsFeed,
    socket: UdpSocket,
    metrics: ServingMetrics,
    log: DecisionLog,
    stop: StopSignal,
}

/// Runs the engine's orders and pulses until the process is told to stop. An order that is under way
/// goes on at the engine by itself, so there is nothing to drain.
async fn engine_duty(inputs: EngineInputs) {
    let stop = inputs.stop.clone();
    let settings = Arc::clone(&inputs.settings.borrow());
    let address = settings.engine;
    let socket = InnerSocket::new(inputs.socket, inputs.metrics.clone());
    let (Some(address), Ok(socket)) = (address, socket) else {
        spdlog::critical!("the settings name no engine, or the runtime takes no socket");
        stop.advance(StopPhase::Ended);
        return;
    };
    let clock = RuntimeClock::start();
    let pace = LoadPace {
        window: settings.bounds.load_window,
        ..UNKNOWN_PACE
    };
    let mut sidecar = EngineSidecar {
        residency: EngineResidency::new(pace, settings.first_start, clock.now()),
        permits: PermitDesk::default(),
        failures: FailureCount::default(),
        link: EngineLink::new(address, settings.name.clone()),
        pulses: PulseSender::new(address, settings.service.clone()),
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

/// The loop around one engine.
struct EngineSidecar {
    residency: EngineResidency,
    permits: PermitDesk,
    /// The engine's requests, and those that failed.
    failures: FailureCount,
    link: EngineLink,
    pulses: PulseSender,
    socket: InnerSocket,
    clock: RuntimeClock,
    metrics: ServingMetrics,
    log: DecisionLog,
    paused_until: Instant,
    /// Where the engine says which instance it is, once a gateway has told.
    health_path: Option<Arc<str>>,
    /// When it may be asked for that again.
    identify_at: Instant,
    /// The settings in force.
    settings: SettingsFeed,
}

impl EngineSidecar {
    async fn run(&mut self) {
        let mut ticks = interval(REPORT_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let permit_at = self.next_permit();
            tokio::select! {
                biased;
                (from, message) = self.socket.receive() => self.hear(from, message),
                () = permit_at => self.give_permits(),
                _ = ticks.tick() => self.refresh().await,
            }
            self.give_orders().await;
            let now = self.clock.now();
            self.pulses.set_waiting(&self.permits);
            let failing = self.failures.share_percent(self.clock.now());
            self.pulses.set_failing(failing);
            self.pulses.send_due(&self.socket, &self.residency, now);
        }
    }

    /// Returns when a permit may be given that could not be given before.
    fn next_permit(&self) -> impl Future<Output = ()> + use<> {
        let at = self.permits.next_at();
        let at = at.map(|at| self.clock.instant(at));
        async move {
            match at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }

    fn give_permits(&mut self) {
        for due in self.permits.due(self.clock.now()) {
            self.failures.note_request(self.clock.now());
            let message = InnerMessage::Permit(due.grant);
            MessageOutlet::send(&self.socket, due.to, &message);
        }
    }

    fn hear(&mut self, from: SocketAddr, message: InnerMessage) {
        let now = self.clock.now();
        match message {
            InnerMessage::Greeting(greeting) => {
                self.pulses.take_greeting(from, &greeting, now);
                self.health_path = Some(Arc::clone(&greeting.health_path));
                self.residency.take_greeting(from, &greeting, now);
            }
            InnerMessage::AdapterWanted(wish) => {
                self.pulses.note_asker(from, now);
                self.residency.take_wish(wish, now);
            }
            InnerMessage::Advice(advice) => {
                let line = DecisionLine::new(LineWeight::Notable, "advice heard")
                    .with("model", advice.load.as_str())
                    .with("from", from.to_string());
                self.log.write(line);
                self.residency.take_advice(advice, now);
            }
            InnerMessage::RightAsk(right) => {
                let is_lent = self.residency.lend(now);
                let line = DecisionLine::new(LineWeight::Notable, "right asked")
                    .with("from", from.to_string())
                    .with("outcome", if is_lent { "lent" } else { "kept" });
                self.log.write(line);
                if is_lent {
                    MessageOutlet::send(&self.socket, from, &InnerMessage::Right(right));
                }
            }
            InnerMessage::Right(right) => self.residency.take_right(right),
            InnerMessage::PermitAsk(ask) => {
                self.permits.take_ask(from, ask, now);
                self.give_permits();
            }
            InnerMessage::PermitDone(permit) => {
                self.permits.take_back(permit.id);
                self.give_permits();
            }
            InnerMessage::AttemptFailed(failure) => self.failures.note_failure(failure, now),
            // For gateways.
            InnerMessage::Pulse(_)
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
            | InnerMessage::CrashesSeen(_)
            | InnerMessage::CrashesCleared(_)
            | InnerMessage::Permit(_) => {}
        }
    }

    /// Reads the engine's report. An engine that does not answer, or a new one, is not known.
    async fn refresh(&mut self) {
        let window = self.settings.borrow().bounds.load_window;
        self.residency.set_load_window(window);
        match self.link.report().await {
            Ok(report) => {
                if self.residency.is_restarted(&report) {
                    self.note_engine("engine restarted");
                    self.forget_engine();
                }
                if !self.pulses.set_answers(true) {
                    self.note_engine("engine answers");
                }
                self.permits.note_load(report.load, self.clock.now());
                self.residency.take_report(report);
                self.give_permits();
                self.identify().await;
            }
            Err(cause) => {
                if self.pulses.set_answers(false) {
                    let line = DecisionLine::new(LineWeight::Notable, "engine lost");
                    self.log.write(line.with("cause", cause));
                }
                self.forget_engine();
            }
        }
    }

    fn forget_engine(&mut self) {
        self.failures = FailureCount::default();
        self.permits.forget_load();
        self.residency.forget_engine(self.clock.now());
        self.link.forget_instance();
        self.pulses.set_instance(None);
    }

    /// Asks the engine which instance it is, unless that is known. Gateways that start together, or a
    /// registry that still lists the last instance, would otherwise send a request each there in vain.
    async fn identify(&mut self) {
        let due = self.link.instance().is_none() && Instant::now() >= self.identify_at;
        let Some(path) = self.health_path.clone().filter(|_| due) else {
            return;
        };
        self.identify_at = Instant::now() + IDENTIFY_EVERY;
        match self.link.identify(&path).await {
            Ok(()) => {
                self.note_engine("engine named");
                self.pulses.set_instance(self.link.instance());
            }
            Err(cause) => {
                let line = DecisionLine::new(LineWeight::Notable, "engine not named");
                self.log.write(line.with("cause", cause));
            }
        }
    }

    fn note_engine(&self, decision: &'static str) {
        let instance = self.link.instance().map(ToString::to_string);
        let line = DecisionLine::new(LineWeight::Notable, decision);
        self.log.write(line.with("instance", instance));
    }

    async fn give_orders(&mut self) {
        for _ in 0..ORDERS_IN_A_ROW {
            if Instant::now() < self.paused_until {
                return;
            }
            if self.residency.report().is_none() {
                self.refresh().await;
            }
            let Some(order) = self.residency.next_order(self.clock.now()) else {
                self.ask_for_right();
                return;
            };
            self.give(&order).await;
        }
    }

    /// Asks another engine's sidecar for its right to load, where that is all that is missing.
    fn ask_for_right(&mut self) {
        let question = self
            .residency
            .ask_for_right(rand::random(), self.clock.now());
        if let Some(question) = question {
            let message = InnerMessage::RightAsk(question.right);
            MessageOutlet::send(&self.socket, question.lender, &message);
        }
    }

    async fn give(&mut self, order: &NumberedOrder) {
        let answer = self.link.order(order).await;
        match answer {
            OrderAnswer::Unknown => self.paused_until = Instant::now() + UNANSWERED_PAUSE,
            OrderAnswer::Conflict => self.paused_until = Instant::now() + CONFLICT_PAUSE,
            // Another instance turns away an order that was meant for its predecessor.
            OrderAnswer::Rejected => {
                self.link.forget_instance();
                self.paused_until = Instant::now() + CONFLICT_PAUSE;
            }
            OrderAnswer::Taken | OrderAnswer::Holds => {}
        }
        self.residency.note_answer(order, answer, self.clock.now());
        self.log_order(order, answer);
    }

    fn log_order(&self, order: &NumberedOrder, answer: OrderAnswer) {
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
        let line = DecisionLine::new(LineWeight::Notable, "order")
            .with("operation", operation)
            .with("weights", weights)
            .with("expect", order.expect)
            .with("outcome", outcome);
        self.log.write(line);
        self.metrics.ordered(outcome);
    }
}
