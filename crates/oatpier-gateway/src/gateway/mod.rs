//! A gateway: takes callers' requests, sends them straight to endpoints, answers for the outcome.
//!
//! - `configuration`: the configuration in force, and where it comes from.
//! - [`core`]: what all requests share: configuration, directory, demand, budget.
//! - [`handler`]: a request as it comes in.
//! - `run`: one request on its way, from its place to its final answer.
//! - [`placement`]: a request on its way, and what is to be done with it.
//! - `placing`: where a request goes now.
//! - [`attempt`]: one attempt at one endpoint.
//! - [`permits`]: asking sidecars for permits to send their engines prompts.
//! - [`pauses`]: what made a stream late.
//! - [`relay`]: an answer that goes back as a stream of events.
//! - [`answers`]: answers of the gateway's own.
//! - `asks`: asks to other processes that wait for an answer.
//! - `run_log`: what is logged of a request.
//! - `accounts`: what becomes of requests.
//! - `crashes`: requests that end the endpoints that run them.
//! - `notices`: what endpoints say of themselves in their answers.
//! - [`identity`]: whose request it is.
//! - [`quota`]: units of workspaces' limits.
//! - `greetings`: greeting sidecars.
//! - [`exchanges`]: what gateways and sidecars tell each other.
//! - `turns`: turns at endpoints that limit the requests of all gateways.
//! - `reports`: what gateways report to each other.
//! - `planning`: the planner's rounds.

mod accounts;
pub mod answers;
mod asks;
pub mod attempt;
mod configuration;
pub mod core;
mod crashes;
pub mod exchanges;
mod greetings;
pub mod handler;
pub mod identity;
mod notices;
pub mod pauses;
pub mod permits;
pub mod placement;
mod placing;
mod planning;
pub mod quota;
pub mod relay;
mod reports;
mod run;
mod run_log;
mod turns;

use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{
    DutyProcess, RingReceiver, RingRule, RuntimeClock, StartError, StopPhase, StopSignal, bind,
    ring,
};
use oatpier_serving::node::NodeSettings;
use oatpier_serving::site::SiteConfig;
use oatpier_wire::server::{self, ServerLimits};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::config_share::{ConfigShareInputs, share_config};
use crate::crash_writer::{CrashWriterInputs, write_crashes};
use crate::exchange::{InnerSocket, MessageOutlet};
use crate::frame::{FrameInputs, ProcessFrame};
use crate::parts_writer::{ClaimResult, PartsWriterInputs, write_parts};
use crate::records::{RecordsInputs, StoreNews, records};
use crate::reload::{SettingsFeed, SettingsSource};

use self::core::{CoreInputs, GatewayCore};
use self::exchanges::ExchangeInputs;
use self::handler::GatewayHandler;

/// News of the store that wait to be taken; a full ring makes the reader wait.
const NEWS_RING: usize = 4;

/// What other gateways saw in the store, waiting for the duty that reads it. What finds the ring full is dropped:
/// the store is then read when that is due.
const WORD_RING: usize = 8;

/// From SIGTERM to closing the listener. The platform asks once a second and stops sending
/// connections after two misses; a connection that was sent just before must still be answered.
const DRAIN_NOTICE: Duration = Duration::from_millis(3_200);

/// From SIGTERM to refusing what comes on connections that are still open, and what still waits for an
/// endpoint. By then the platform has taken the process out; a stream that began later might not end before
/// SIGKILL.
const DRAIN_SERVING: Duration = Duration::from_millis(2_600);

/// Crashes that wait for the duty that writes them. Engines that end together leave some hundred; what finds the
/// ring full is known to the gateways that were told.
const CRASH_RING: usize = 512;

/// Gateways that have a newer configuration, and configurations that they passed on.
const FETCH_RING: usize = 2;

/// Claims of parts of limits on their way to the store, and their results on the way back. There are a few parts.
const CLAIM_RING: usize = 8;

/// The part of the time until SIGKILL after which that is done at the latest, where there is little time.
const DRAIN_PART: u32 = 2;

/// The largest head before a configuration says otherwise, in bytes.
const HEAD_BYTES: usize = 16 << 10;

/// What the callers duty works on.
struct CallersInputs {
    settings: SettingsFeed,
    listener: TcpListener,
    socket: UdpSocket,
    core: CoreInputs,
    news: RingReceiver<StoreNews>,
    claims: RingReceiver<ClaimResult>,
    fetched: RingReceiver<Arc<SiteConfig>>,
    stop: StopSignal,
}

/// Starts a gateway's duties.
///
/// # Errors
///
/// An address that can't be listened on.
pub fn start(
    settings: &NodeSettings,
    source: Box<dyn SettingsSource>,
) -> Result<DutyProcess, StartError> {
    let callers = settings.callers.unwrap_or(settings.inner_address());
    let listener = bind(callers, "callers")?;
    let metrics_listener = bind(settings.metrics, "metrics")?;
    let readiness_listener = settings
        .readiness
        .map(|address| bind(address, "readiness"))
        .transpose()?;
    let inner = settings.inner_address();
    let socket = UdpSocket::bind(inner).map_err(|cause| StartError::Listen {
        address: inner,
        purpose: "gateways and sidecars",
        cause,
    })?;
    let able = Arc::default();
    let frame_inputs = FrameInputs {
        source,
        metrics_listener,
        readiness_listener,
        able: Arc::clone(&able),
    };
    let mut frame = ProcessFrame::start(settings, frame_inputs);
    let stop = frame.process.stop.clone();
    let (news_sender, news) = ring(NEWS_RING, RingRule::Wait, frame.metrics.ring_full.clone());
    let (word_sender, words) = ring(WORD_RING, RingRule::Drop, frame.metrics.ring_full.clone());
    let (crash_sender, crash_changes) =
        ring(CRASH_RING, RingRule::Drop, frame.metrics.ring_full.clone());
    let (claim_sender, due_claims) =
        ring(CLAIM_RING, RingRule::Drop, frame.metrics.ring_full.clone());
    let (result_sender, claims) = ring(CLAIM_RING, RingRule::Wait, frame.metrics.ring_full.clone());
    let (shared_config, config_feed) = watch::channel(None);
    let (wanted_sender, wanted) = ring(FETCH_RING, RingRule::Drop, frame.metrics.ring_full.clone());
    let (fetched_sender, fetched) =
        ring(FETCH_RING, RingRule::Wait, frame.metrics.ring_full.clone());
    let core = CoreInputs {
        shared_config,
        config_wanted: wanted_sender,
        claims: claim_sender,
        clock: RuntimeClock::start(),
        metrics: frame.metrics.clone(),
        log: frame.log,
        able,
        words: word_sender,
        crash_changes: crash_sender,
    };
    let writer_inputs = CrashWriterInputs {
        settings: frame.settings.clone(),
        changes: crash_changes,
        metrics: frame.metrics.clone(),
        stop: stop.clone(),
    };
    frame
        .process
        .spawn("crashes", || write_crashes(writer_inputs));
    let share_inputs = ConfigShareInputs {
        listener: bind(inner, "the configuration, for other gateways")?,
        config: config_feed,
        wanted,
        fetched: fetched_sender,
        stop: stop.clone(),
    };
    frame.process.spawn("config", || share_config(share_inputs));
    let parts_inputs = PartsWriterInputs {
        settings: frame.settings.clone(),
        claims: due_claims,
        results: result_sender,
        metrics: frame.metrics.clone(),
        stop: stop.clone(),
    };
    frame.process.spawn("parts", || write_parts(parts_inputs));
    let records_inputs = RecordsInputs {
        settings: frame.settings.clone(),
        news: news_sender,
        words,
        metrics: frame.metrics,
        stop: stop.clone(),
    };
    frame.process.spawn("records", || records(records_inputs));
    let callers_inputs = CallersInputs {
        settings: frame.settings,
        listener,
        socket,
        core,
        news,
        claims,
        fetched,
        stop,
    };
    frame
        .process
        .spawn("callers", || callers_duty(callers_inputs));
    Ok(frame.process)
}

/// Serves callers until the last request is answered after a stop.
async fn callers_duty(inputs: CallersInputs) {
    let stop = inputs.stop.clone();
    let socket = match InnerSocket::new(inputs.socket, inputs.core.metrics.clone()) {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            spdlog::critical!("the runtime takes no socket", kv: { error: = error.to_string() });
            stop.advance(StopPhase::Ended);
            return;
        }
    };
    let outlet: Arc<dyn MessageOutlet> = Arc::clone(&socket) as Arc<dyn MessageOutlet>;
    let core = Arc::new(GatewayCore::new(inputs.settings, inputs.core, outlet));
    let heard = ExchangeInputs {
        news: inputs.news,
        claims: inputs.claims,
        fetched: inputs.fetched,
    };
    let serving = serve_callers(inputs.listener, Arc::clone(&core), &stop);
    tokio::select! {
        () = serving => {}
        () = close_after_notice(&core, &stop) => {}
        () = watch_pace(&core) => {}
        () = exchanges::run(Arc::clone(&core), &socket, heard, &stop) => {}
    }
    stop.advance(StopPhase::Ended);
}

/// Has new requests refused once a planned stop is well under way.
async fn close_after_notice(core: &GatewayCore, stop: &StopSignal) {
    stop.reached(StopPhase::Draining).await;
    let grace = core.settings.borrow().bounds.grace;
    sleep(DRAIN_SERVING.min(grace / DRAIN_PART)).await;
    core.close();
    std::future::pending::<()>().await;
}

/// From one look at the process's own pace to the next.
const PACE_EVERY: Duration = Duration::from_millis(100);

/// A timer that fires this much late says that the process has more to do than its processor does.
/// Requests that it took would pass their callers' patience unseen, and reach endpoints after that.
const PACE_LATE: Duration = Duration::from_millis(300);

/// Looks whether timers fire in time.
async fn watch_pace(core: &GatewayCore) {
    loop {
        let due = Instant::now() + PACE_EVERY;
        sleep_until(due).await;
        core.set_behind(due.elapsed() > PACE_LATE);
    }
}

async fn serve_callers(listener: TcpListener, core: Arc<GatewayCore>, stop: &StopSignal) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::critical!("the runtime takes no listener", kv: { error: = error.to_string() });
            return;
        }
    };
    let limits = ServerLimits {
        head_bytes: HEAD_BYTES,
        linger: DRAIN_NOTICE,
        ..ServerLimits::default()
    };
    let handler = Arc::new(GatewayHandler::new(core));
    let draining = stop.reached(StopPhase::Draining);
    server::serve(listener, handler, limits, Arc::default(), draining).await;
}
