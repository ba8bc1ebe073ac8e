//! Units of workspaces' limits: charges for requests, and the limit parts that this gateway holds.
//!
//! A request is charged on arrival, before any other work: a request beyond its limit takes no slot and no permit,
//! and does not count as demand that moves models. A charge is valid for a short time; a request that waited longer
//! is charged again when it is sent. A request that provably did not run costs nothing.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oatpier_serving::message::{InnerMessage, QuotaAnswer, QuotaAsk};
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::grants::{GrantStep, QueriedParts, UnitsGrant, UnitsQuery};
use oatpier_serving::quota::holder::{PartAnswer, UnitsWanted};
use oatpier_serving::quota::lease::{ClaimPriority, LeaseChange, PartEntry, StoreEra};
use oatpier_serving::site::RouteRule;
use oatpier_serving::workspace::WorkspaceRule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;
use tokio::time::sleep;

use super::core::{CoreState, GatewayCore};
use super::local_responses::LocalResponse;
use crate::decisions::{DecisionLine, LinePriority};
use crate::parts_writer::{ClaimResult, DueClaim};

/// Timeout for a holder's answer: a few times the network latency between availability zones plus the scheduling delay
/// of a busy processor. After that another holder is queried.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Retry interval of a request that waits for units while no holder is known, as after a start.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Share of a class's target latency that a request may wait for units. A caller that is refused for a shorter wait
/// loses more by the extra round trip, and may retry only once. A waiting request takes no capacity from others.
const WAIT_SHARE: f64 = 0.25;

/// Upper bound of that wait, so that callers of classes with long targets also learn soon that their limit is used
/// up.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Returns how long a request of a route may wait for units.
pub(super) fn max_unit_wait(route: &RouteRule) -> Duration {
    route.target.mul_f64(WAIT_SHARE).min(MAX_WAIT)
}

/// Retry time where no holder could be queried; the next try reaches another gateway.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(250);

/// Units that a request was charged. They are returned when this is dropped before the request may have run.
pub struct UnitsCharge {
    core: Arc<GatewayCore>,
    workspace: Arc<WorkspaceRule>,
    grant: UnitsGrant,
    is_spent: bool,
}

impl Drop for UnitsCharge {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = self.core.clock.now();
            let mut state = self.core.lock();
            state
                .grants
                .return_units(&self.workspace.name, self.grant, now);
        }
    }
}

/// The charge of one request, empty where its workspace has no limit.
#[derive(Default)]
pub struct ChargeCell {
    charge: Mutex<Option<UnitsCharge>>,
}

impl std::fmt::Debug for ChargeCell {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let units = self.lock().as_ref().map(|charge| charge.grant.units);
        formatter.debug_tuple("ChargeCell").field(&units).finish()
    }
}

impl ChargeCell {
    /// Creates a cell with a charge that was just made.
    #[must_use]
    pub fn new(charge: Option<UnitsCharge>) -> Self {
        Self {
            charge: Mutex::new(charge),
        }
    }

    /// Records whether the request may have run.
    pub(super) fn set_spent(&self, is_spent: bool) {
        if let Some(charge) = self.lock().as_mut() {
            charge.is_spent = is_spent;
        }
    }

    /// Returns the workspace and the units of a charge that expired before the request was sent.
    fn expired(&self, now: ClockTime) -> Option<(Arc<WorkspaceRule>, u64)> {
        let charge = self.lock();
        let charge = charge.as_ref()?;
        let is_expired = !charge.is_spent && charge.grant.expires_at <= now;
        is_expired.then(|| (Arc::clone(&charge.workspace), charge.grant.units))
    }

    fn renew(&self, charge: UnitsCharge) {
        *self.lock() = Some(charge);
    }

    fn lock(&self) -> MutexGuard<'_, Option<UnitsCharge>> {
        self.charge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Charges a request to the limit of its workspace, which must have one.
///
/// # Errors
///
/// Returns the answer to the caller if the request is beyond the limit, or if no holder of the limit answered.
pub(super) async fn charge(
    core: &Arc<GatewayCore>,
    workspace: &Arc<WorkspaceRule>,
    units: u64,
    max_wait: Duration,
) -> Result<UnitsCharge, LocalResponse> {
    let mut queried = QueriedParts::default();
    let until = core.clock.now() + max_wait;
    loop {
        let now = core.clock.now();
        let step = core
            .lock()
            .grants
            .step(&workspace.name, units, &queried, now);
        match step {
            GrantStep::Taken(grant) => {
                return Ok(UnitsCharge {
                    core: Arc::clone(core),
                    workspace: Arc::clone(workspace),
                    grant,
                    is_spent: false,
                });
            }
            GrantStep::Query(query) => {
                queried.add(query.part);
                query_holder(core, &workspace.name, &query).await;
            }
            GrantStep::Exhausted(after) if now + after < until => {
                sleep(after.max(RETRY_INTERVAL)).await;
                queried = QueriedParts::default();
            }
            GrantStep::Exhausted(after) => return Err(core.over_limit(after)),
            GrantStep::NoHolder if now + RETRY_INTERVAL < until => {
                sleep(RETRY_INTERVAL).await;
                queried = QueriedParts::default();
            }
            GrantStep::NoHolder => return Err(core.limit_unknown()),
        }
    }
}

/// Charges a request again if its charge expired while it waited.
pub(super) async fn renew_charge(
    core: &Arc<GatewayCore>,
    cell: &ChargeCell,
    max_wait: Duration,
) -> Result<(), LocalResponse> {
    let Some((workspace, units)) = cell.expired(core.clock.now()) else {
        return Ok(());
    };
    cell.renew(charge(core, &workspace, units, max_wait).await?);
    Ok(())
}

async fn query_holder(core: &Arc<GatewayCore>, workspace: &WorkspaceName, query: &UnitsQuery) {
    let asked_at = core.clock.now();
    let answer = if query.holder == core.settings.borrow().inner_address() {
        Some(core.grant_units(query.part, workspace, query.wanted))
    } else {
        query_remote_holder(core, workspace, query).await
    };
    let now = core.clock.now();
    let lifetime = core.settings.borrow().bounds.quota.grant_lifetime();
    let mut state = core.lock();
    match answer {
        Some(answer) => {
            let grants = &mut state.grants;
            grants.apply_answer(workspace, query, answer, asked_at, lifetime, now);
        }
        None => state.grants.holders_mut().note_timeout(query.part, now),
    }
}

async fn query_remote_holder(
    core: &GatewayCore,
    workspace: &WorkspaceName,
    query: &UnitsQuery,
) -> Option<PartAnswer> {
    let send = |id| {
        let message = InnerMessage::QuotaAsk(QuotaAsk {
            id,
            part: query.part,
            workspace: workspace.clone(),
            wanted: query.wanted,
        });
        core.outlet.send(query.holder, &message);
    };
    core.quota_asks.ask(ANSWER_TIMEOUT, send).await
}

impl GatewayCore {
    fn over_limit(&self, after: Duration) -> LocalResponse {
        LocalResponse::OverLimit(self.lock().admission.jitter(after))
    }

    fn limit_unknown(&self) -> LocalResponse {
        LocalResponse::LimitUnknown(self.lock().admission.jitter(UNREACHABLE_RETRY))
    }

    /// Answers another gateway's request for units of a part that this gateway holds.
    pub fn answer_quota_ask(&self, from: SocketAddr, ask: &QuotaAsk) {
        let answer = self.grant_units(ask.part, &ask.workspace, ask.wanted);
        let message = InnerMessage::QuotaAnswer(QuotaAnswer { id: ask.id, answer });
        self.outlet.send(from, &message);
    }

    /// Handles a holder's answer to a request for units.
    pub fn complete_quota_ask(&self, answer: QuotaAnswer) {
        self.quota_asks.complete(answer.id, answer.answer);
    }

    fn grant_units(
        &self,
        part: PartIndex,
        workspace: &WorkspaceName,
        wanted: UnitsWanted,
    ) -> PartAnswer {
        let now = self.clock.now();
        let bounds = self.settings.borrow().bounds.quota;
        let mut state = self.lock();
        let Some(rule) = state.limits.get(workspace).copied() else {
            return PartAnswer::NotHeld;
        };
        if !state.leases.holds(part, now) {
            return PartAnswer::NotHeld;
        }
        let params = bounds.bucket_params(&rule);
        state
            .holder
            .grant_units(part, workspace, &params, wanted, now)
    }

    /// Applies the holders of the limit parts as read from the store.
    pub fn apply_parts(&self, parts: &[PartEntry], era: StoreEra) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.leases.apply_read(parts, era, now);
        self.apply_lease_changes(&mut state, changes);
    }

    /// Applies the result of a claim.
    pub fn apply_claim(&self, result: ClaimResult) {
        let now = self.clock.now();
        let mut state = self.lock();
        let ClaimResult { due, outcome } = result;
        let change = state
            .leases
            .apply_outcome(&due.claim, outcome, due.sent_at, now);
        self.apply_lease_changes(&mut state, change);
    }

    fn apply_lease_changes(
        &self,
        state: &mut CoreState,
        changes: impl IntoIterator<Item = LeaseChange>,
    ) {
        for change in changes {
            match change {
                LeaseChange::Begun(begin) => {
                    state
                        .holder
                        .add_part(begin.part, begin.start, begin.free_since);
                }
                LeaseChange::Ended(part) => state.holder.remove_part(part),
            }
            let line = DecisionLine::new(LinePriority::Notable, "limit part");
            self.log.write(line.with("change", format!("{change:?}")));
        }
        let holders = state.leases.holders();
        state.grants.holders_mut().set(holders);
    }

    /// Counts and logs the units that workspaces requested from the parts held here. Writes one line for each
    /// workspace that was refused units.
    pub(super) fn report_limit_use(&self) {
        let uses = self.lock().holder.take_use_counts();
        for used in uses {
            let workspace = &used.workspace;
            let units = used.units;
            self.metrics
                .workspaces
                .count_units(workspace, "granted", units.granted);
            if units.refused == 0 {
                continue;
            }
            self.metrics
                .workspaces
                .count_units(workspace, "refused", units.refused);
            let line = DecisionLine::new(LinePriority::Notable, "limit use")
                .with("workspace", workspace.as_str())
                .with("granted", units.granted)
                .with("refused", units.refused)
                .with("saved", used.saved.round());
            self.log.write(line);
        }
    }

    /// Claims and renews parts that are due; releases them if this gateway is leaving.
    pub(super) fn maintain_parts(&self, is_leaving: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let priority = ClaimPriority {
            rank: state.peers.rank(now),
            is_eligible: !is_leaving,
        };
        let released = if is_leaving {
            state.leases.release(now)
        } else {
            Vec::new()
        };
        for claim in &released {
            state.holder.remove_part(claim.record.part);
        }
        let mut claims = released;
        while let Some(claim) = state.leases.next_claim(priority, now) {
            claims.push(claim);
        }
        drop(state);
        for claim in claims {
            // A full ring counts what it drops, and the claim is due again a moment later.
            let _ = self.claims.try_send(DueClaim {
                claim,
                sent_at: now,
            });
        }
    }
}
