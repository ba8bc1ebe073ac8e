//! Units of workspaces' limits: what requests are charged, and the parts that this gateway holds.
//!
//! A request is charged where it comes in, before anything is done for it: what is beyond a limit takes no slot, no
//! permit and no place in the demand that moves models. What it was given counts for a moment; a request that
//! waited longer is charged anew when it is sent. A request that provably did not run costs nothing.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oatpier_serving::message::{InnerMessage, QuotaAnswer, QuotaAsk};
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::grants::{AskedParts, GrantStep, PartAsk, UnitsLot};
use oatpier_serving::quota::holder::{PartAnswer, UnitsWanted};
use oatpier_serving::quota::tenure::{ClaimStanding, PartEntry, StoreEra, TenureChange};
use oatpier_serving::site::RouteRule;
use oatpier_serving::workspace::WorkspaceRule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;
use tokio::time::sleep;

use super::answers::OwnAnswer;
use super::core::{CoreState, GatewayCore};
use crate::decisions::{DecisionLine, LineWeight};
use crate::parts_writer::{ClaimResult, DueClaim};

/// How long a holder has for an answer: a few times the way between availability zones and a turn of a busy
/// processor. After it another holder is asked.
pub(super) const ANSWER_WAIT: Duration = Duration::from_millis(40);

/// How soon a request that waits for units looks again where nobody holds them yet, as after a start.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// The share of a class's target that a request may wait for units. A caller who is sent away for less loses more
/// by the way back and forth, and may come back only once; one that waits takes nothing from others.
const WAIT_SHARE: f64 = 0.25;

/// The longest such wait: patient classes as well learn soon that their limit is used up.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// How long a request of a route may wait for units.
pub(super) fn unit_patience(route: &RouteRule) -> Duration {
    route.target.mul_f64(WAIT_SHARE).min(LONGEST_WAIT)
}

/// When to come back where no holder could be asked; the next try reaches another gateway.
const UNASKED_RETURN: Duration = Duration::from_millis(250);

/// Units that a request was charged. Put back when it is dropped before the request may have run.
pub struct UnitsCharge {
    core: Arc<GatewayCore>,
    workspace: Arc<WorkspaceRule>,
    lot: UnitsLot,
    is_spent: bool,
}

impl Drop for UnitsCharge {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = self.core.clock.now();
            let mut state = self.core.lock();
            state.grants.put_back(&self.workspace.name, self.lot, now);
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
        let units = self.lock().as_ref().map(|charge| charge.lot.units);
        formatter.debug_tuple("ChargeCell").field(&units).finish()
    }
}

impl ChargeCell {
    /// A charge that was just made.
    #[must_use]
    pub fn new(charge: Option<UnitsCharge>) -> Self {
        Self {
            charge: Mutex::new(charge),
        }
    }

    /// Notes whether the request may have run.
    pub(super) fn set_spent(&self, is_spent: bool) {
        if let Some(charge) = self.lock().as_mut() {
            charge.is_spent = is_spent;
        }
    }

    /// The workspace and the units of a charge that has lapsed before the request was sent.
    fn lapsed(&self, now: ClockTime) -> Option<(Arc<WorkspaceRule>, u64)> {
        let charge = self.lock();
        let charge = charge.as_ref()?;
        let is_lapsed = !charge.is_spent && charge.lot.until <= now;
        is_lapsed.then(|| (Arc::clone(&charge.workspace), charge.lot.units))
    }

    fn renew(&self, charge: UnitsCharge) {
        *self.lock() = Some(charge);
    }

    fn lock(&self) -> MutexGuard<'_, Option<UnitsCharge>> {
        self.charge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Charges a request of a workspace; nothing where that has no limit.
///
/// # Errors
///
/// The answer to a request that is beyond the limit, or where nobody can tell.
pub(super) async fn charge(
    core: &Arc<GatewayCore>,
    workspace: &Arc<WorkspaceRule>,
    units: u64,
    patience: Duration,
) -> Result<UnitsCharge, OwnAnswer> {
    let mut asked = AskedParts::default();
    let until = core.clock.now() + patience;
    loop {
        let now = core.clock.now();
        let step = core.lock().grants.step(&workspace.name, units, &asked, now);
        match step {
            GrantStep::Taken(lot) => {
                return Ok(UnitsCharge {
                    core: Arc::clone(core),
                    workspace: Arc::clone(workspace),
                    lot,
                    is_spent: false,
                });
            }
            GrantStep::Ask(ask) => {
                asked.add(ask.part);
                ask_holder(core, &workspace.name, &ask).await;
            }
            GrantStep::Spent(after) if now + after < until => {
                sleep(after.max(LOOK_AGAIN)).await;
                asked = AskedParts::default();
            }
            GrantStep::Spent(after) => return Err(core.over_limit(after)),
            GrantStep::Nobody if now + LOOK_AGAIN < until => {
                sleep(LOOK_AGAIN).await;
                asked = AskedParts::default();
            }
            GrantStep::Nobody => return Err(core.limit_unknown()),
        }
    }
}

/// Charges a request anew that waited longer than its charge counts.
pub(super) async fn renew_charge(
    core: &Arc<GatewayCore>,
    cell: &ChargeCell,
    patience: Duration,
) -> Result<(), OwnAnswer> {
    let Some((workspace, units)) = cell.lapsed(core.clock.now()) else {
        return Ok(());
    };
    cell.renew(charge(core, &workspace, units, patience).await?);
    Ok(())
}

async fn ask_holder(core: &Arc<GatewayCore>, workspace: &WorkspaceName, ask: &PartAsk) {
    let asked_at = core.clock.now();
    let answer = if ask.holder == core.settings.borrow().inner_address() {
        Some(core.hand_out(ask.part, workspace, ask.wanted))
    } else {
        remote_answer(core, workspace, ask).await
    };
    let now = core.clock.now();
    let life = core.settings.borrow().bounds.quota.grant_life();
    let mut state = core.lock();
    match answer {
        Some(answer) => {
            let grants = &mut state.grants;
            grants.take_answer(workspace, ask, answer, asked_at, life, now);
        }
        None => state.grants.holders_mut().note_silence(ask.part, now),
    }
}

async fn remote_answer(
    core: &GatewayCore,
    workspace: &WorkspaceName,
    ask: &PartAsk,
) -> Option<PartAnswer> {
    let send = |id| {
        let message = InnerMessage::QuotaAsk(QuotaAsk {
            id,
            part: ask.part,
            workspace: workspace.clone(),
            wanted: ask.wanted,
        });
        core.outlet.send(ask.holder, &message);
    };
    core.quota_asks.ask(ANSWER_WAIT, send).await
}

impl GatewayCore {
    fn over_limit(&self, after: Duration) -> OwnAnswer {
        OwnAnswer::OverLimit(self.lock().judge.spread(after))
    }

    fn limit_unknown(&self) -> OwnAnswer {
        OwnAnswer::LimitUnknown(self.lock().judge.spread(UNASKED_RETURN))
    }

    /// Another gateway asks for units of a part that this one holds.
    pub fn take_quota_ask(&self, from: SocketAddr, ask: &QuotaAsk) {
        let answer = self.hand_out(ask.part, &ask.workspace, ask.wanted);
        let message = InnerMessage::QuotaAnswer(QuotaAnswer { id: ask.id, answer });
        self.outlet.send(from, &message);
    }

    /// A holder answered.
    pub fn take_quota_answer(&self, answer: QuotaAnswer) {
        self.quota_asks.take(answer.id, answer.answer);
    }

    fn hand_out(
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
        if !state.tenure.holds(part, now) {
            return PartAnswer::NotHeld;
        }
        let terms = bounds.part(&rule);
        state.holder.hand_out(part, workspace, &terms, wanted, now)
    }

    /// Takes what the store says of the parts' holders.
    pub fn take_parts(&self, parts: &[PartEntry], era: StoreEra) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.tenure.take_read(parts, era, now);
        self.apply_tenure(&mut state, changes);
    }

    /// Takes what came of a claim.
    pub fn take_claim(&self, result: ClaimResult) {
        let now = self.clock.now();
        let mut state = self.lock();
        let ClaimResult { due, outcome } = result;
        let change = state
            .tenure
            .take_outcome(&due.claim, outcome, due.sent_at, now);
        self.apply_tenure(&mut state, change);
    }

    fn apply_tenure(&self, state: &mut CoreState, changes: impl IntoIterator<Item = TenureChange>) {
        for change in changes {
            match change {
                TenureChange::Begun(begin) => {
                    state
                        .holder
                        .begin(begin.part, begin.start, begin.free_since);
                }
                TenureChange::Ended(part) => state.holder.end(part),
            }
            let line = DecisionLine::new(LineWeight::Notable, "limit part");
            self.log.write(line.with("change", format!("{change:?}")));
        }
        let holders = state.tenure.holders();
        state.grants.holders_mut().set(holders);
    }

    /// Counts and logs what workspaces asked of the parts that are held here. A line for each that was refused some.
    pub(super) fn count_limit_use(&self) {
        let uses = self.lock().holder.count_use();
        for used in uses {
            let workspace = &used.workspace;
            let units = used.units;
            self.metrics
                .workspaces
                .used(workspace, "granted", units.granted);
            if units.refused == 0 {
                continue;
            }
            self.metrics
                .workspaces
                .used(workspace, "refused", units.refused);
            let line = DecisionLine::new(LineWeight::Notable, "limit use")
                .with("workspace", workspace.as_str())
                .with("granted", units.granted)
                .with("refused", units.refused)
                .with("saved", used.saved.round());
            self.log.write(line);
        }
    }

    /// Claims and renews parts as they are due.
    pub(super) fn tend_parts(&self, is_leaving: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let standing = ClaimStanding {
            rank: state.peers.rank(now),
            is_wanted: !is_leaving,
        };
        let released = if is_leaving {
            state.tenure.release(now)
        } else {
            Vec::new()
        };
        for claim in &released {
            state.holder.end(claim.record.part);
        }
        let mut claims = released;
        while let Some(claim) = state.tenure.due(standing, now) {
            claims.push(claim);
        }
        drop(state);
        for claim in claims {
            // A full ring counts what it drops, and the claim is due again a moment later.
            let _ = self.claims.offer(DueClaim {
                claim,
                sent_at: now,
            });
        }
    }
}
