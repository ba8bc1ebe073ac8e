//! What gateways and sidecars tell each other: hearing, greeting, and passing on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_serving::message::InnerMessage;
use oatpier_serving::site::SiteConfig;
use tokio::time::{MissedTickBehavior, interval};

use super::core::GatewayCore;
use super::greetings::greet;
use super::planning::plan;
use super::reports::{PeerReporter, report};
use crate::exchange::InnerSocket;
use crate::parts_writer::ClaimResult;
use crate::records::StoreNews;

/// From one passing on of what sidecars told to the next. A relay hears some twenty engines in its turn, so
/// what it passes on within this fits a packet or two.
const RELAY_EVERY: Duration = Duration::from_millis(40);

/// From one look at the parts of limits to the next; renewals are seconds apart.
const TEND_EVERY: Duration = Duration::from_millis(200);

/// From one count of what workspaces asked of the parts that are held here to the next.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// What other duties of the process tell this one.
pub struct ExchangeInputs {
    /// What lies in the store.
    pub news: RingReceiver<StoreNews>,
    /// What came of claims of parts.
    pub claims: RingReceiver<ClaimResult>,
    /// Configurations that other gateways passed on.
    pub fetched: RingReceiver<Arc<SiteConfig>>,
}

/// Exchanges messages until the process ends.
pub async fn run(
    core: Arc<GatewayCore>,
    socket: &InnerSocket,
    inputs: ExchangeInputs,
    stop: &StopSignal,
) {
    let reporter = PeerReporter::new(&core, stop);
    tokio::join!(
        hear(&core, socket),
        take_news(&core, &inputs.news, stop),
        take_passed_configs(&core, &inputs.fetched),
        greet(&core),
        pass_on(&core),
        report(reporter),
        plan(&core, stop),
        tend_parts(&core, &inputs.claims, stop),
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
                core.take_config_standing(from, report.config);
                let now = core.clock.now();
                core.lock().peers.take_report(from, *report, now);
            }
            InnerMessage::Permit(grant) => core.take_permit(grant),
            InnerMessage::QuotaAsk(ask) => core.take_quota_ask(from, &ask),
            InnerMessage::QuotaAnswer(answer) => core.take_quota_answer(answer),
            InnerMessage::TurnAsk(ask) => core.take_turn_ask(from, &ask),
            InnerMessage::TurnAnswer(reply) => core.take_turn_reply(reply),
            InnerMessage::LimitSeen(word) => core.take_limit_word(&word),
            InnerMessage::LeavingSeen(word) => core.take_leaving_word(&word),
            InnerMessage::StoreSeen(word) => core.take_store_word(*word),
            InnerMessage::CrashesSeen(records) => core.take_crashes(&records),
            InnerMessage::CrashesCleared(requests) => core.take_cleared(&requests),
            // For sidecars.
            InnerMessage::Greeting(_)
            | InnerMessage::AdapterWanted(_)
            | InnerMessage::Advice(_)
            | InnerMessage::PermitAsk(_)
            | InnerMessage::PermitDone(_)
            | InnerMessage::AttemptFailed(_)
            | InnerMessage::RightAsk(_)
            | InnerMessage::Right(_) => {}
        }
    }
}

async fn take_news(core: &GatewayCore, news: &RingReceiver<StoreNews>, stop: &StopSignal) {
    while let Some(news) = news.receive().await {
        match news {
            StoreNews::Read {
                config,
                endpoints,
                crashes,
                parts,
                era,
                word,
            } => {
                let has_returned = core.note_era(era);
                // Before the first configuration makes this gateway serve.
                core.take_stored_crashes(&crashes, has_returned);
                core.take_parts(&parts, era);
                // A holder that has just started goes on with its parts at once: until then their workspaces wait.
                core.tend_parts(stop.phase() != StopPhase::Serving);
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

async fn take_passed_configs(core: &GatewayCore, fetched: &RingReceiver<Arc<SiteConfig>>) {
    while let Some(config) = fetched.receive().await {
        core.take_passed_config(config);
    }
    std::future::pending::<()>().await;
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

/// Claims and renews parts of the workspaces' limits; gives them back when a stop begins.
async fn tend_parts(core: &GatewayCore, claims: &RingReceiver<ClaimResult>, stop: &StopSignal) {
    let mut ticks = interval(TEND_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut counting = interval(COUNT_EVERY);
    counting.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => core.tend_parts(stop.phase() != StopPhase::Serving),
            _ = counting.tick() => core.count_limit_use(),
            result = claims.receive() => match result {
                Some(result) => core.take_claim(result),
                None => break,
            },
        }
    }
    std::future::pending::<()>().await;
}
