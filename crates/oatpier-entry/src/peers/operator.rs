//! Operator API, with JSON responses.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use oatpier_membership::budget::CallKind;
use oatpier_membership::lease::PlannerLease;
use oatpier_membership::members::{MemberState, MemberView};
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::RequestId;
use oatpier_types::names::{DaemonName, EndpointName, ModelName};
use oatpier_types::operator::{
    CONFIG_PATH, ConfigAnswer, DaemonDuty, DaemonGeneration, DaemonRow, DaemonState,
    EXPLAIN_MODEL_PATH, EXPLAIN_REQUEST_PATH, ExplainRequest, ModelRow, PlannerRow, STATUS_PATH,
    StatusAnswer,
};
use oatpier_wire::reply::{self, Reply};
use serde::Serialize;
use tokio::sync::oneshot;

use super::driver::{DriverState, MemberDriver};
use super::handler::PeerHandler;
use crate::messages::GenerationRows;
use crate::planner::PlanGroup;
use crate::updates::{CallersQuery, CallersStatus, CallersUpdate};

mod explain;

/// Timeout of an answer from another duty.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers an operator request.
pub(super) async fn answer(handler: &PeerHandler, path: &str) -> Reply {
    if let Some(name) = path.strip_prefix(EXPLAIN_MODEL_PATH) {
        return json_reply(explain::model(handler, name).as_ref());
    }
    if let Some(id) = path.strip_prefix(EXPLAIN_REQUEST_PATH) {
        return json_reply(explain_request(handler, id).await.as_ref());
    }
    match path {
        STATUS_PATH => json_reply(Some(&status(handler).await)),
        CONFIG_PATH => json_reply(Some(&config(handler).await)),
        _ => reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn json_reply<T: Serialize>(answer: Option<&T>) -> Reply {
    let Some(answer) = answer else {
        return reply::text(StatusCode::NOT_FOUND, "not known here\n");
    };
    match serde_json::to_vec(answer) {
        Ok(body) => reply::whole(StatusCode::OK, "application/json", body),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

async fn explain_request(handler: &PeerHandler, id: &str) -> Option<ExplainRequest> {
    let request = RequestId(u128::from_str_radix(id, 16).ok()?);
    let query = |reply| CallersQuery::Request { request, reply };
    query_callers(handler, query).await.flatten()
}

/// Queries the callers duty; returns `None` if it does not answer in time.
async fn query_callers<T>(
    handler: &PeerHandler,
    query: impl FnOnce(oneshot::Sender<T>) -> CallersQuery,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    let query = CallersUpdate::Query(query(reply));
    handler.updates.try_send(query).ok()?;
    tokio::time::timeout(ANSWER_TIMEOUT, answer)
        .await
        .ok()?
        .ok()
}

async fn status(handler: &PeerHandler) -> StatusAnswer {
    let query = |reply| CallersQuery::Status { reply };
    let callers_status = query_callers(handler, query).await.unwrap_or_default();
    let planner = planner_row(handler).await;
    let driver = &handler.driver;
    let state = driver.lock();
    let members = state.member.table().members();
    let mut daemons: Vec<DaemonRow> = members
        .map(|view| daemon_row(driver, &state, &view, &callers_status))
        .collect();
    daemons.sort_by(|left, right| left.name.cmp(&right.name));
    let config = state.member.in_force().map(|held| held.value.clone());
    StatusAnswer {
        daemons,
        models: config
            .map(|config| model_rows(&state, &config))
            .unwrap_or_default(),
        planner,
        store: handler.client.row(),
        attainment: callers_status.attainment,
        ..StatusAnswer::default()
    }
}

/// Returns the lease holder as stored. It is read from the store, because operators query it
/// rarely.
async fn planner_row(handler: &PeerHandler) -> PlannerRow {
    let group = handler.driver.snapshot().map(|snapshot| snapshot.group);
    let key = group.as_ref().map(PlanGroup::lease_key);
    let holder = match key {
        Some(key) => {
            let read = handler.client.get(CallKind::StatusHistory, &key).await;
            let stored = read.ok().flatten();
            let lease = stored.and_then(|stored| serde_json::from_slice(&stored.value).ok());
            lease.filter(|lease: &PlannerLease| !lease.released)
        }
        None => None,
    };
    PlannerRow {
        holder: holder.map(|lease| lease.holder),
        plan_age_ms: handler.cache.plan_age_ms(handler.driver.clock.now()),
    }
}

fn daemon_row(
    driver: &MemberDriver,
    state: &DriverState,
    view: &MemberView<'_>,
    callers_status: &CallersStatus,
) -> DaemonRow {
    let facts = view.facts;
    let is_own = facts.daemon == driver.own.daemon;
    let endpoint = facts.status().map(|status| status.endpoint.clone());
    let now = driver.clock.now();
    let last_heard = state.last_heard.get(&facts.daemon).filter(|_| !is_own);
    let last_heard = last_heard.map_or(0, |at| now.since(*at).as_millis());
    DaemonRow {
        name: facts.daemon.clone(),
        duty: if facts.is_entry() {
            DaemonDuty::Entry
        } else {
            DaemonDuty::Agent
        },
        state: state_of(view, endpoint.as_ref(), callers_status),
        endpoint,
        zone: facts.zone.clone(),
        generation: generation_of(state, view),
        heard_ms: u64::try_from(last_heard).unwrap_or(u64::MAX),
    }
}

fn state_of(
    view: &MemberView<'_>,
    endpoint: Option<&EndpointName>,
    callers_status: &CallersStatus,
) -> DaemonState {
    let is_ejected = endpoint.is_some_and(|endpoint| callers_status.ejected.contains(endpoint));
    match view.state {
        MemberState::Leaving => DaemonState::Leaving,
        MemberState::Alive if is_ejected => DaemonState::Ejected,
        MemberState::Alive => DaemonState::Live,
        MemberState::Suspect | MemberState::Gone => DaemonState::Silent,
    }
}

/// Returns the newest known generation of a member. The last heartbeat of a registered agent is
/// newer than its row.
fn generation_of(state: &DriverState, view: &MemberView<'_>) -> oatpier_types::ids::Generation {
    let daemon = &view.facts.daemon;
    let mut registered = state.member.registrar().generations();
    let reported = registered.find(|(name, _)| *name == daemon);
    let reported = reported
        .map(|(_, generation)| generation)
        .unwrap_or_default();
    view.facts.generation.max(reported)
}

fn model_rows(state: &DriverState, config: &FleetConfig) -> Vec<ModelRow> {
    let row = |name: &ModelName, spec: &oatpier_types::config::ModelSpec| {
        let holders = state.member.table().usable_agents().filter(|view| {
            let status = view.facts.status();
            status.is_some_and(|status| {
                let mut ready = status.ready.iter();
                ready.any(|weights| weights.model == *name && weights.adapter.is_none())
            })
        });
        let mut zones: Vec<_> = holders.map(|view| view.facts.zone.clone()).collect();
        let ready = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        zones.sort();
        zones.dedup();
        ModelRow {
            model: name.clone(),
            version: spec.version.clone(),
            ready,
            zones,
        }
    };
    let mut rows: Vec<ModelRow> = config
        .models
        .iter()
        .map(|(name, spec)| row(name, spec))
        .collect();
    rows.sort_by(|left, right| left.model.cmp(&right.model));
    rows
}

/// Returns the active generations of this entry and of the agents registered with it.
pub(super) fn own_generations(driver: &MemberDriver) -> GenerationRows {
    let state = driver.lock();
    let own = DaemonGeneration {
        name: driver.own.daemon.clone(),
        generation: state.member.generation(),
        state: DaemonState::Live,
    };
    let registered = state.member.registrar().generations();
    let registered = registered.map(|(name, generation)| DaemonGeneration {
        name: name.clone(),
        generation,
        state: DaemonState::Live,
    });
    GenerationRows {
        rows: [own].into_iter().chain(registered).collect(),
    }
}

/// Returns the generation of each daemon. Only its registrar receives each change of an agent, so
/// all live entries are queried. Operators wait for this query and run it rarely.
async fn config(handler: &PeerHandler) -> ConfigAnswer {
    let driver = &handler.driver;
    let entries = driver.lock().entries();
    let others = entries
        .iter()
        .filter(|entry| entry.daemon != driver.own.daemon);
    let mut queries: FuturesUnordered<_> = others
        .map(|entry| driver.links.fetch_generations(entry.address))
        .collect();
    let mut rows = table_generations(driver);
    merge(&mut rows, own_generations(driver));
    while let Some(answer) = queries.next().await {
        merge(&mut rows, answer.unwrap_or_default());
    }
    let state = driver.lock();
    let held = state.member.in_force();
    let newest = rows.values().map(|row| row.generation).max();
    ConfigAnswer {
        newest: newest.unwrap_or_default(),
        content: held.map_or(0, |held| held.value.content_hash()),
        daemons: rows.into_values().collect(),
    }
}

type GenerationMap = BTreeMap<DaemonName, DaemonGeneration>;

fn table_generations(driver: &MemberDriver) -> GenerationMap {
    let state = driver.lock();
    let callers_status = CallersStatus::default();
    let members = state.member.table().members();
    let rows = members
        .filter(|view| view.state != MemberState::Gone)
        .map(|view| {
            let row = DaemonGeneration {
                name: view.facts.daemon.clone(),
                generation: generation_of(&state, &view),
                state: state_of(&view, None, &callers_status),
            };
            (row.name.clone(), row)
        });
    rows.collect()
}

/// Merges rows: the newer generation wins, and the known state of a daemon is kept.
fn merge(rows: &mut GenerationMap, added: GenerationRows) {
    for row in added.rows {
        match rows.get_mut(&row.name) {
            Some(known) => known.generation = known.generation.max(row.generation),
            None => {
                rows.insert(row.name.clone(), row);
            }
        }
    }
}
