//! What the other duties are told of members.

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
use crate::configuration::StoreOrder;
use crate::news::{DirectoryNews, EntryNews};
use crate::planner::{EndpointView, FleetPicture, PlanGroup};

/// Members that one round tells of; the rest comes in the next.
const ROUND_MEMBERS: usize = 64;

/// Something for another duty.
pub(super) enum Outgoing {
    /// For the callers duty, which can serve from then on.
    Config(EntryNews),
    /// For the callers duty.
    News(EntryNews),
    /// For the configuration duty.
    Order(StoreOrder),
    /// For the claims duty.
    Claims(ClaimCommand),
}

/// Takes what is to be told.
pub(super) fn take(state: &mut DriverState) -> Vec<Outgoing> {
    let mut news = Vec::new();
    news.extend(state.order.take().map(Outgoing::Order));
    news.extend(take_config(state));
    let entries = state.entries();
    if entries != state.told_entries {
        state.told_entries.clone_from(&entries);
        news.push(Outgoing::Claims(ClaimCommand::Entries(entries)));
    }
    let count = state.dirty.len().min(ROUND_MEMBERS);
    let dirty: Vec<DaemonName> = state.dirty.drain(..count).collect();
    let table = state.member.table();
    let registered: HashSet<&DaemonName> = registered_agents(state).collect();
    for view in dirty.iter().filter_map(|daemon| table.get(daemon)) {
        let is_registered = registered.contains(&view.facts.daemon);
        let told = member_news(&view, is_registered).into_iter();
        let told = told.map(EntryNews::Directory);
        news.extend(told.map(Outgoing::News));
    }
    if count < ROUND_MEMBERS {
        // A queue's word counts only once its endpoint's status was told.
        let reports = state.reports.drain(..);
        let reports =
            reports.map(|(endpoint, report)| DirectoryNews::QueueReport { endpoint, report });
        news.extend(reports.map(EntryNews::Directory).map(Outgoing::News));
    }
    news
}

fn take_config(state: &mut DriverState) -> Option<Outgoing> {
    let held = state.member.in_force()?;
    if held.generation <= state.told {
        return None;
    }
    let news = EntryNews::Config {
        generation: held.generation,
        config: held.value.clone(),
    };
    state.told = held.generation;
    Some(Outgoing::Config(news))
}

fn registered_agents(state: &DriverState) -> impl Iterator<Item = &DaemonName> {
    let heard = state.member.registrar().reachable_agents();
    heard.map(|(contact, _)| &contact.daemon)
}

/// The queue in a row that came by gossip is as old as the row. Where it says that the agent
/// takes no work, that may have been before its first configuration, and no later row would say
/// otherwise: such an agent gets work, and refuses by itself what it does not take.
fn gossiped_status(status: &EndpointStatus, phase: MemberPhase) -> EndpointStatus {
    let mut status = status.clone();
    status.queue.accepting |= phase == MemberPhase::Serving;
    status
}

fn member_news(view: &MemberView<'_>, is_registered: bool) -> SmallVec<[DirectoryNews; 2]> {
    let Some(status) = view.facts.status() else {
        return SmallVec::new();
    };
    let endpoint = status.endpoint.clone();
    if view.state == MemberState::Gone {
        return SmallVec::from_iter([DirectoryNews::Gone(endpoint)]);
    }
    let status = if is_registered {
        status.clone()
    } else {
        gossiped_status(status, view.facts.phase)
    };
    let whole = DirectoryNews::Status {
        daemon: view.facts.daemon.clone(),
        address: view.facts.address,
        status: Box::new(status),
    };
    let standing = if view.state == MemberState::Leaving || view.hinted_leaving {
        DirectoryNews::Leaving(endpoint)
    } else {
        DirectoryNews::Staying(endpoint)
    };
    SmallVec::from_iter([whole, standing])
}

/// What the planner needs to know; none without a configuration.
pub(super) fn picture(state: &DriverState, own_zone: &ZoneName) -> Option<FleetPicture> {
    let held = state.member.in_force()?;
    let config = held.value.clone();
    let endpoints = config.pools.values().map(|pool| pool.endpoints.len());
    let group = match ExchangeScope::for_fleet(endpoints.sum()) {
        ExchangeScope::Fleet => PlanGroup::Fleet,
        ExchangeScope::Zone => PlanGroup::Zone(own_zone.clone()),
    };
    let mut entries = state.entries();
    entries.retain(|entry| group.has_zone(&entry.zone));
    Some(FleetPicture {
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

/// A planned stop counts from when it was asked for, though its agent is told only once there
/// are replacements: the planner is to have them loaded meanwhile.
fn is_leaving(state: &DriverState, view: &MemberView<'_>) -> bool {
    let daemon = &view.facts.daemon;
    let word = state.member.stops().request(daemon);
    view.state == MemberState::Leaving
        || view.hinted_leaving
        || word.is_some_and(|word| !word.withdrawn)
        || state.stops.holds(daemon)
}
