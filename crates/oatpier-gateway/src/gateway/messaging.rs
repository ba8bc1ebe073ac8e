//! Exchanges messages with other gateways and sidecars: receives, reports, and relays them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_serving::message::InnerMessage;
use oatpier_serving::pacing::{self, RELAY_INTERVAL};
use oatpier_serving::site::SiteConfig;
use tokio::time::{MissedTickBehavior, interval};

use super::core::GatewayCore;
use super::planning::plan;
use super::reports::{PeerReporter, report};
use super::subscriptions::subscribe;
use crate::exchange::MessageSocket;
use crate::parts_writer::ClaimResult;
use crate::store_reader::StoreEvent;

/// The interval at which the parts of limits are checked; renewals are seconds apart.
const PARTS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The interval at which the use of the locally held parts by workspaces is counted.
const USAGE_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Inputs from the other threads of the process.
pub struct MessagingInputs {
    /// The results of reading the store.
    pub events: RingReceiver<StoreEvent>,
    /// The results of claiming parts of limits.
    pub claims: RingReceiver<ClaimResult>,
    /// Configurations fetched from other gateways.
    pub fetched: RingReceiver<Arc<SiteConfig>>,
}

/// Exchanges messages until the process ends.
pub async fn run(
    core: Arc<GatewayCore>,
    socket: &MessageSocket,
    inputs: MessagingInputs,
    stop: &StopSignal,
) {
    let reporter = PeerReporter::new(&core, stop);
    tokio::join!(
        receive_messages(&core, socket),
        apply_store_events(&core, &inputs.events, stop),
        apply_fetched_configs(&core, &inputs.fetched),
        subscribe(&core),
        relay_updates(&core),
        report(reporter),
        plan(&core, stop),
        maintain_parts(&core, &inputs.claims, stop),
    );
}

async fn receive_messages(core: &GatewayCore, socket: &MessageSocket) {
    loop {
        let (from, message) = socket.receive().await;
        match message {
            InnerMessage::Status(status) => core.apply_status(*status),
            InnerMessage::Spread(update) => core.relay_update(update),
            InnerMessage::Relayed(updates) => core.apply_relayed(updates),
            InnerMessage::Peer(report) => core.apply_peer_report(from, *report),
            InnerMessage::Permit(grant) => core.apply_permit(grant),
            InnerMessage::QuotaAsk(ask) => core.answer_quota_ask(from, &ask),
            InnerMessage::QuotaAnswer(answer) => core.complete_quota_ask(answer),
            InnerMessage::TurnAsk(ask) => core.answer_turn_ask(from, &ask),
            InnerMessage::TurnAnswer(reply) => core.complete_turn_ask(reply),
            InnerMessage::LimitSeen(report) => core.apply_limit_report(&report),
            InnerMessage::LeavingSeen(report) => core.apply_leaving_report(&report),
            InnerMessage::StoreSeen(delta) => core.queue_store_delta(from, *delta),
            InnerMessage::CrashesSeen(records) => core.apply_crashes(&records),
            InnerMessage::CrashesCleared(requests) => core.apply_cleared(&requests),
            InnerMessage::PartCrashesSeen(crashes) => core.apply_part_crashes(&crashes),
            InnerMessage::PartsAnswered(parts) => core.apply_answered_parts(&parts),
            InnerMessage::TrialAsk(ask) => core.answer_trial_ask(from, &ask),
            InnerMessage::TrialAnswer(answer) => core.complete_trial_ask(answer),
            InnerMessage::StreamsBegun(records) => core.keep_origin_records(records),
            InnerMessage::OriginAsk(ask) => core.answer_origin_ask(from, &ask),
            InnerMessage::OriginAnswer(answer) => core.complete_origin_ask(*answer),
            InnerMessage::PinnedWanted(needed) => core.note_pinned(needed),
            // Messages to sidecars.
            InnerMessage::Subscription(_)
            | InnerMessage::AdapterWanted(_)
            | InnerMessage::Advice(_)
            | InnerMessage::PermitAsk(_)
            | InnerMessage::RatedPermitAsk(_)
            | InnerMessage::PermitDone(_)
            | InnerMessage::AttemptFailed(_)
            | InnerMessage::EngineListed(_)
            | InnerMessage::RightAsk(_)
            | InnerMessage::Right(_) => {}
        }
    }
}

async fn apply_store_events(
    core: &GatewayCore,
    events: &RingReceiver<StoreEvent>,
    stop: &StopSignal,
) {
    while let Some(event) = events.receive().await {
        match event {
            StoreEvent::Known(update) => {
                core.apply_internal(&update.knowledge, stop);
                core.apply_knowledge(update.knowledge, update.config);
            }
            StoreEvent::Failed { reason } => core.note_store_failure(reason),
        }
    }
    std::future::pending::<()>().await;
}

async fn apply_fetched_configs(core: &GatewayCore, fetched: &RingReceiver<Arc<SiteConfig>>) {
    while let Some(config) = fetched.receive().await {
        core.apply_fetched_config(config);
    }
    std::future::pending::<()>().await;
}

/// Relays the status updates of sidecars to the other gateways of the availability zone: full ones at each tick, loads
/// less often in a large zone.
async fn relay_updates(core: &GatewayCore) {
    let mut ticks = interval(RELAY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks_since_loads: u32 = 0;
    loop {
        ticks.tick().await;
        let now = core.clock.now();
        let mut state = core.lock();
        let peers: Vec<SocketAddr> = state.peers.in_zone(&core.zone, now).collect();
        let mut datagrams = state.relayed.drain_statuses();
        datagrams.extend(state.relayed.drain_capacity());
        ticks_since_loads += 1;
        if RELAY_INTERVAL * ticks_since_loads >= pacing::relay_interval(1 + peers.len()) {
            ticks_since_loads = 0;
            datagrams.extend(state.relayed.drain_loads());
        }
        drop(state);
        for updates in datagrams {
            let message = InnerMessage::Relayed(updates);
            for peer in &peers {
                core.outlet.send(*peer, &message);
            }
        }
    }
}

/// Claims and renews parts of the workspaces' limits, and returns them when a stop begins.
async fn maintain_parts(core: &GatewayCore, claims: &RingReceiver<ClaimResult>, stop: &StopSignal) {
    let mut ticks = interval(PARTS_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count_ticks = interval(USAGE_COUNT_INTERVAL);
    count_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => core.maintain_parts(stop.phase() != StopPhase::Serving),
            _ = count_ticks.tick() => {
                core.report_limit_use();
                core.refresh_shares();
            }
            result = claims.receive() => match result {
                Some(result) => core.apply_claim(result),
                None => break,
            },
        }
    }
    std::future::pending::<()>().await;
}
