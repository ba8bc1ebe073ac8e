//! Updates about members for the other duties.

use std::collections::{HashMap, HashSet};

use oatpier_membership::exchange::ExchangeScope;
use oatpier_membership::members::{MemberPhase, MemberState, MemberView};
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsState};
use oatpier_types::names::{DaemonName, EndpointName, PoolName, ZoneName};
use oatpier_types::status::EndpointStatus;
use smallvec::SmallVec;

use super::driver::DriverState;
use crate::claims::ClaimCommand;
use crate::configuration::StoreRequest;
use crate::planner::{EndpointView, FleetSnapshot, PlanGroup};
use crate::updates::{CallersUpdate, DirectoryUpdate};

/// Maximum number of members per round of updates; the rest follow in the next round.
const MEMBERS_PER_ROUND: usize = 64;

/// A message to another duty.
pub(super) enum DutyMessage {
    /// Configuration for the callers duty, which can serve once it has one.
    Config(CallersUpdate),
    /// Update for the callers duty.
    Update(CallersUpdate),
    /// Store call for the configuration duty.
    StoreRequest(StoreRequest),
    /// Command for the claims duty.
    Claims(ClaimCommand),
}

/// Collects the pending messages.
pub(super) fn collect_messages(state: &mut DriverState) -> Vec<DutyMessage> {
    let mut messages = Vec::new();
    messages.extend(state.store_request.take().map(DutyMessage::StoreRequest));
    messages.extend(take_config(state));
    let entries = state.entries();
    if entries != state.sent_entries {
        state.sent_entries.clone_from(&entries);
        messages.push(DutyMessage::Claims(ClaimCommand::Entries(entries)));
    }
    let count = state.dirty.len().min(MEMBERS_PER_ROUND);
    let dirty: Vec<DaemonName> = state.dirty.drain(..count).collect();
    let table = state.member.table();
    let registered: HashSet<&DaemonName> = registered_agents(state).collect();
    for view in dirty.iter().filter_map(|daemon| table.get(daemon)) {
        let is_registered = registered.contains(&view.facts.daemon);
        let updates = member_updates(&view, is_registered).into_iter();
        let updates = updates.map(CallersUpdate::Directory);
        messages.extend(updates.map(DutyMessage::Update));
    }
    if count < MEMBERS_PER_ROUND {
        // Queue reports are sent only after all pending statuses, because they apply only to
        // endpoints with a known status.
        let reports = state.reports.drain(..);
        let reports =
            reports.map(|(endpoint, report)| DirectoryUpdate::QueueReport { endpoint, report });
        messages.extend(
            reports
                .map(CallersUpdate::Directory)
                .map(DutyMessage::Update),
        );
    }
    messages
}

fn take_config(state: &mut DriverState) -> Option<DutyMessage> {
    let held = state.member.in_force()?;
    if held.generation <= state.sent_generation {
        return None;
    }
    let update = CallersUpdate::Config {
        generation: held.generation,
        config: held.value.clone(),
    };
    state.sent_generation = held.generation;
    Some(DutyMessage::Config(update))
}

fn registered_agents(state: &DriverState) -> impl Iterator<Item = &DaemonName> {
    let reachable = state.member.registrar().reachable_agents();
    reachable.map(|(contact, _)| &contact.daemon)
}

/// Returns a gossiped status with `accepting` set while the agent serves. The queue report in a
/// gossiped row is as old as the row. If it says that the agent does not accept work, it may
/// predate the agent's first configuration, and no later row would correct it. Such an agent
/// receives work and refuses by itself what it does not accept.
fn gossiped_status(status: &EndpointStatus, phase: MemberPhase) -> EndpointStatus {
    let mut status = status.clone();
    status.queue.accepting |= phase == MemberPhase::Serving;
    status
}

fn member_updates(view: &MemberView<'_>, is_registered: bool) -> SmallVec<[DirectoryUpdate; 2]> {
    let Some(status) = view.facts.status() else {
        return SmallVec::new();
    };
    let endpoint = status.endpoint.clone();
    if view.state == MemberState::Gone {
        return SmallVec::from_iter([DirectoryUpdate::Gone(endpoint)]);
    }
    let status = if is_registered {
        status.clone()
    } else {
        gossiped_status(status, view.facts.phase)
    };
    let status_update = DirectoryUpdate::Status {
        daemon: view.facts.daemon.clone(),
        address: view.facts.address,
        status: Box::new(status),
    };
    let leaving_update = if view.state == MemberState::Leaving || view.hinted_leaving {
        DirectoryUpdate::Leaving(endpoint)
    } else {
        DirectoryUpdate::NotLeaving(endpoint)
    };
    SmallVec::from_iter([status_update, leaving_update])
}

/// Returns the fleet state for the planner, or `None` without a configuration.
pub(super) fn fleet_snapshot(state: &DriverState, own_zone: &ZoneName) -> Option<FleetSnapshot> {
    let held = state.member.in_force()?;
    let config = held.value.clone();
    let endpoints = config.pools.values().map(|pool| pool.endpoints.len());
    let group = match ExchangeScope::for_fleet(endpoints.sum()) {
        ExchangeScope::Fleet => PlanGroup::Fleet,
        ExchangeScope::Zone => PlanGroup::Zone(own_zone.clone()),
    };
    let mut entries = state.entries();
    entries.retain(|entry| group.has_zone(&entry.zone));
    Some(FleetSnapshot {
        generation: held.generation,
        endpoints: endpoint_views(state, &config, &group),
        group,
        entries,
        config,
    })
}

fn endpoint_views(
    state: &DriverState,
    config: &FleetConfig,
    group: &PlanGroup,
) -> Vec<EndpointView> {
    let engines = config
        .pools
        .iter()
        .filter(|(_, pool)| matches!(pool.kind, PoolKind::Engine { .. }));
    let known = known_agents(state);
    let mut views: Vec<EndpointView> = engines
        .flat_map(|(name, pool)| pool.endpoints.iter().map(move |row| (name, row)))
        .filter(|(_, (_, zone))| group.has_zone(zone))
        .map(|(pool, (endpoint, zone))| {
            let view = known.get(endpoint).copied();
            endpoint_view(state, endpoint, pool, zone, view)
        })
        .collect();
    views.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    views
}

fn known_agents(state: &DriverState) -> HashMap<&EndpointName, MemberView<'_>> {
    let members = state.member.table().members();
    members
        .filter_map(|view| Some((&view.facts.status()?.endpoint, view)))
        .collect()
}

fn endpoint_view(
    state: &DriverState,
    endpoint: &EndpointName,
    pool: &PoolName,
    zone: &ZoneName,
    view: Option<MemberView<'_>>,
) -> EndpointView {
    let status: Option<&EndpointStatus> = view.and_then(|view| view.facts.status());
    let report = view.and_then(|view| view.report.copied());
    let held = status.map(|status| {
        let ready = status.ready.iter().cloned();
        ready.map(|weights| HeldWeights {
            weights,
            state: WeightsState::Ready,
        })
    });
    EndpointView {
        endpoint: endpoint.clone(),
        pool: pool.clone(),
        zone: zone.clone(),
        alive: view.is_some_and(|view| view.state != MemberState::Gone),
        leaving: view.is_some_and(|view| is_leaving(state, &view)),
        held: held.map(Iterator::collect).unwrap_or_default(),
        role: EngineRole::default(),
        prompt_token_ns: report.map_or(0, |report| report.prompt_token_ns),
        step_us: report.map_or(0, |report| report.step_us),
    }
}

/// Returns whether an agent is leaving. A planned stop counts from the time it was requested,
/// although the agent is told only once replacements exist. The planner loads the replacements in
/// the meantime.
fn is_leaving(state: &DriverState, view: &MemberView<'_>) -> bool {
    let daemon = &view.facts.daemon;
    let request = state.member.stops().request(daemon);
    view.state == MemberState::Leaving
        || view.hinted_leaving
        || request.is_some_and(|request| !request.withdrawn)
        || state.stops.contains(daemon)
}
