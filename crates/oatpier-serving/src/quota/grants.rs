//! Units that a gateway was granted from workspaces' limits, and the selection of the holder that it queries next.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;
use smallvec::SmallVec;

use super::holder::{PartAnswer, UnitsWanted};
use super::holders::HolderTable;
use super::{PARTS, PartIndex};

/// Span of future requests for which units are requested in advance. The amount is what was used in an equally long
/// part of the last second.
const PREFETCH_SPAN: Duration = Duration::from_millis(100);

/// Time constant of the moving average of used units.
const USE_AVERAGE_SPAN: Duration = Duration::from_secs(1);

/// Delay before a part that had too few units is queried again for the same need. Other requests may not have used the
/// units that the part has gained meanwhile, so this is short compared with the time until the units are available.
const EMPTY_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Granted units, which are valid until they expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitsGrant {
    /// Number of units.
    pub units: u64,
    /// When the units expire.
    pub expires_at: ClockTime,
}

/// Records that a part had too few units.
#[derive(Debug, Clone, Copy)]
struct EmptyPart {
    need: u64,
    retry_at: ClockTime,
    available_at: ClockTime,
}

/// Granted units of one workspace and the state of its parts.
#[derive(Debug, Default)]
struct WorkspaceUnits {
    grants: SmallVec<[UnitsGrant; 2]>,
    used: f64,
    used_at: ClockTime,
    /// Part that is queried next. Round-robin use drains all parts alike, so that the units saved in each of them are
    /// available for a burst of callers.
    next_part: u8,
    empty: [Option<EmptyPart>; PARTS as usize],
}

impl WorkspaceUnits {
    fn remove_expired(&mut self, now: ClockTime) {
        self.grants
            .retain(|grant| grant.expires_at > now && grant.units > 0);
    }

    fn available(&self) -> u64 {
        self.grants.iter().map(|grant| grant.units).sum()
    }

    /// Takes units, those that expire first before the others. The result expires with the first of them.
    fn take(&mut self, units: u64) -> Option<UnitsGrant> {
        if self.available() < units {
            return None;
        }
        self.grants.sort_by_key(|grant| grant.expires_at);
        let until = self.grants.first()?.expires_at;
        let mut missing = units;
        for grant in &mut self.grants {
            let taken = grant.units.min(missing);
            grant.units -= taken;
            missing -= taken;
        }
        Some(UnitsGrant {
            units,
            expires_at: until,
        })
    }

    fn record_use(&mut self, units: u64, now: ClockTime) {
        self.used = self.recent_use(now) + f64::from(u32::try_from(units).unwrap_or(u32::MAX));
        self.used_at = now;
    }

    fn recent_use(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.used_at).as_secs_f64() / USE_AVERAGE_SPAN.as_secs_f64();
        self.used * (-elapsed).exp()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive fraction of the recent use"
    )]
    fn prefetch_units(&self, now: ClockTime) -> u64 {
        let fraction = PREFETCH_SPAN.as_secs_f64() / USE_AVERAGE_SPAN.as_secs_f64();
        (self.recent_use(now) * fraction) as u64
    }

    /// Returns whether the part recently had too few units for this need.
    fn is_empty(&self, part: PartIndex, need: u64, now: ClockTime) -> bool {
        let empty = self.empty[part.place()];
        empty.is_some_and(|empty| need >= empty.need && now < empty.retry_at)
    }

    fn available_at(&self, now: ClockTime) -> Option<ClockTime> {
        let empty_parts = self.empty.iter().flatten();
        empty_parts.map(|empty| empty.available_at.max(now)).min()
    }
}

/// Query for units and the holder that receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitsQuery {
    /// Part to query.
    pub part: PartIndex,
    /// Address of the holder of the part.
    pub holder: SocketAddr,
    /// Units to request.
    pub wanted: UnitsWanted,
}

/// Next step of a request that needs units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantStep {
    /// The request has its units.
    Taken(UnitsGrant),
    /// A holder must be queried.
    Query(UnitsQuery),
    /// No part has enough units left. They may be available after this time.
    Exhausted(Duration),
    /// No known holder is left that has not been queried without success.
    NoHolder,
}

/// Parts that were queried for one request.
#[derive(Debug, Clone, Default)]
pub struct QueriedParts(SmallVec<[PartIndex; PARTS as usize]>);

impl QueriedParts {
    /// Records that a part is being queried.
    pub fn add(&mut self, part: PartIndex) {
        self.0.push(part);
    }
}

/// Units that this gateway was granted, by workspace.
#[derive(Debug, Default)]
pub struct GrantCache {
    workspaces: HashMap<WorkspaceName, WorkspaceUnits>,
    holders: HolderTable,
}

impl GrantCache {
    /// Returns the known holders of the parts.
    #[must_use]
    pub fn holders(&self) -> &HolderTable {
        &self.holders
    }

    /// Returns the known holders of the parts for updates, such as a new holder or an answer.
    pub fn holders_mut(&mut self) -> &mut HolderTable {
        &mut self.holders
    }

    /// Removes all workspaces that no longer have a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&WorkspaceName) -> bool) {
        self.workspaces.retain(|workspace, _| is_limited(workspace));
    }

    /// Returns the next step of a request that needs `units` and has queried the parts in `queried`.
    pub fn step(
        &mut self,
        workspace: &WorkspaceName,
        units: u64,
        queried: &QueriedParts,
        now: ClockTime,
    ) -> GrantStep {
        let state = self.workspaces.entry(workspace.clone()).or_default();
        state.remove_expired(now);
        if let Some(grant) = state.take(units) {
            state.record_use(units, now);
            return GrantStep::Taken(grant);
        }
        let need = units - state.available();
        let unqueried = PartIndex::all().filter(|part| !queried.0.contains(part));
        let candidates = unqueried.filter(|part| !state.is_empty(*part, need, now));
        let holders = &self.holders;
        let with_holder = candidates.filter_map(|part| Some((part, holders.holder(part)?)));
        let next_part = state.next_part;
        let best = with_holder.min_by_key(|(part, _)| {
            let is_unresponsive = holders.is_unresponsive(*part, now);
            (is_unresponsive, (part.0 + PARTS - next_part) % PARTS)
        });
        if let Some((part, holder)) = best {
            state.next_part = (part.0 + 1) % PARTS;
            let wanted = UnitsWanted {
                need,
                ahead: state.prefetch_units(now),
            };
            return GrantStep::Query(UnitsQuery {
                part,
                holder,
                wanted,
            });
        }
        match state.available_at(now) {
            Some(at) => GrantStep::Exhausted(at.since(now)),
            None => GrantStep::NoHolder,
        }
    }

    /// Applies a holder's answer to a query sent at `asked_at`. The granted units expire `lifetime` after that.
    pub fn apply_answer(
        &mut self,
        workspace: &WorkspaceName,
        query: &UnitsQuery,
        answer: PartAnswer,
        asked_at: ClockTime,
        lifetime: Duration,
        now: ClockTime,
    ) {
        let index = query.part.place();
        self.holders.note_answer(query.part);
        let state = self.workspaces.entry(workspace.clone()).or_default();
        match answer {
            PartAnswer::Granted(units) => {
                state.empty[index] = None;
                state.grants.push(UnitsGrant {
                    units,
                    expires_at: asked_at + lifetime,
                });
            }
            PartAnswer::Later(millis) => {
                let after = Duration::from_millis(u64::from(millis));
                state.empty[index] = Some(EmptyPart {
                    need: query.wanted.need,
                    retry_at: now + after.min(EMPTY_RETRY_DELAY),
                    available_at: now + after,
                });
            }
            PartAnswer::NotHeld => state.empty[index] = None,
        }
    }

    /// Returns units that were taken for a request that was not sent.
    pub fn return_units(&mut self, workspace: &WorkspaceName, grant: UnitsGrant, now: ClockTime) {
        if let Some(state) = self.workspaces.get_mut(workspace)
            && grant.expires_at > now
        {
            state.grants.push(grant);
        }
    }
}
