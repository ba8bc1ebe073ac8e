//! What gateways and sidecars tell each other: hearing, greeting, and passing on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_serving::message::InnerMessage;
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

/// Exchanges messages until the process ends.
pub async fn run(
    core: Arc<GatewayCore>,
    socket: &InnerSocket,
    news: RingReceiver<StoreNews>,
    claims: RingReceiver<ClaimResult>,
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
        tend_parts(&core, &claims, stop),
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
            InnerMessage::QuotaAsk(ask) => core.take_quota_ask(from, &ask),
            InnerMessage::QuotaAnswer(answer) => core.take_quota_answer(answer),
            InnerMessage::StoreSeen(word) => core.take_store_word(*word),
            InnerMessage::CrashesSeen(records) => core.take_crashes(&records),
            InnerMessage::CrashesCleared(requests) => core.take_cleared(&requests),
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
                crashes,
                parts,
                era,
                word,
            } => {
                let has_returned = core.note_era(era);
                // Before the first configuration makes this gateway serve.
                core.take_stored_crashes(&crashes, has_returned);
                core.take_parts(&parts, era);
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
    loop {
        tokio::select! {
            _ = ticks.tick() => core.tend_parts(stop.phase() != StopPhase::Serving),
            result = claims.receive() => match result {
                Some(result) => core.take_claim(result),
                None => break,
            },
        }
    }
    std::future::pending::<()>().await;
}
