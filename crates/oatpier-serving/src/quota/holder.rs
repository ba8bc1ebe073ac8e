//! Grants of units and turns from the parts of limits that this gateway holds.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::PartIndex;
use super::bounds::BucketParams;
use super::turns::{TurnAnswer, TurnQueue};
use crate::notice::RequestRate;

/// Maximum share of the saved units that is granted in advance of requests.
const MAX_PREFETCH_FRACTION: f64 = 0.25;

/// Longest delay that a refused caller is told. Callers that would have to wait longer have left by then.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(30);

/// Initial state of a part's token buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStart {
    /// All buckets are full, because no gateway held the part before.
    Full,
    /// All buckets are empty, because the last holder may have granted all units until now.
    Empty,
}

/// Answer of a holder to a query for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PartAnswer {
    /// Granted number of units, at least as many as were needed.
    Granted(u64),
    /// No units are granted. They may be available after this many milliseconds.
    Later(u32),
    /// This gateway does not hold the part, or knows no limit for the workspace.
    NotHeld,
}

/// Number of units that are requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnitsWanted {
    /// Units that a pending request needs.
    pub need: u64,
    /// Units that later requests are expected to need soon.
    pub ahead: u64,
}

/// Token bucket of one workspace in one part.
#[derive(Debug, Clone, Copy)]
struct PartBucket {
    level: f64,
    at: ClockTime,
    /// Time at which the last refused request was told to return. The next one returns after it.
    returns_until: ClockTime,
    /// Units granted and refused since the last count.
    recent_usage: UnitsUse,
}

/// Counts of units that were granted and refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnitsUse {
    /// Granted units.
    pub granted: u64,
    /// Units that were requested and refused.
    pub refused: u64,
}

/// Use of one workspace's limit in the parts held here, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceUse {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Units granted and refused since the last count.
    pub units: UnitsUse,
    /// Units in the buckets, below zero for a debt.
    pub saved: f64,
}

impl PartBucket {
    fn refill(&mut self, params: &BucketParams, now: ClockTime) {
        let gained = now.since(self.at).as_secs_f64() * params.rate;
        self.level = (self.level + gained).min(params.capacity);
        self.at = now;
    }

    fn grant(&mut self, params: &BucketParams, wanted: UnitsWanted, now: ClockTime) -> PartAnswer {
        self.refill(params, now);
        let need = to_float(wanted.need);
        // A request larger than the capacity and the debt is granted once the bucket is full. Otherwise it would never
        // be granted.
        let required = need.min(params.capacity + params.max_debt);
        if self.level + params.max_debt < required {
            self.recent_usage.refused += wanted.need;
            return PartAnswer::Later(self.return_delay(params, required, now));
        }
        self.level -= need;
        let ahead = (self.level * MAX_PREFETCH_FRACTION).clamp(0.0, to_float(wanted.ahead));
        let ahead = to_units(ahead);
        self.level -= to_float(ahead);
        self.recent_usage.granted += wanted.need + ahead;
        PartAnswer::Granted(wanted.need + ahead)
    }

    /// Returns the delay for a refused caller, in milliseconds. The delays are staggered at the part's rate, so that
    /// callers return one after the other.
    fn return_delay(&mut self, params: &BucketParams, required: f64, now: ClockTime) -> u32 {
        let missing = required - self.level - params.max_debt;
        let available_at = now + bounded_delay(missing / params.rate);
        let return_at = available_at.max(self.returns_until);
        let latest = now + MAX_RETURN_DELAY;
        self.returns_until = (return_at + bounded_delay(required / params.rate)).min(latest);
        let after = return_at.min(latest).since(now);
        u32::try_from(after.as_millis()).unwrap_or(u32::MAX)
    }
}

/// Parts that this gateway holds.
#[derive(Debug, Default)]
pub struct PartHolder {
    parts: HashMap<PartIndex, HeldPart>,
}

#[derive(Debug)]
struct HeldPart {
    start: PartStart,
    at: ClockTime,
    buckets: HashMap<WorkspaceName, PartBucket>,
    turns: HashMap<EndpointName, TurnQueue>,
}

impl PartHolder {
    /// Starts to grant from a part that this gateway holds since `now`.
    pub fn add_part(&mut self, part: PartIndex, start: PartStart, now: ClockTime) {
        let held = HeldPart {
            start,
            at: now,
            buckets: HashMap::new(),
            turns: HashMap::new(),
        };
        self.parts.insert(part, held);
    }

    /// Stops granting from a part that another gateway holds.
    pub fn remove_part(&mut self, part: PartIndex) {
        self.parts.remove(&part);
    }

    /// Removes the buckets of all workspaces that no longer have a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&WorkspaceName) -> bool) {
        for held in self.parts.values_mut() {
            held.buckets.retain(|workspace, _| is_limited(workspace));
        }
    }

    /// Grants units of a workspace's limit.
    pub fn grant_units(
        &mut self,
        part: PartIndex,
        workspace: &WorkspaceName,
        params: &BucketParams,
        wanted: UnitsWanted,
        now: ClockTime,
    ) -> PartAnswer {
        let Some(held) = self.parts.get_mut(&part) else {
            return PartAnswer::NotHeld;
        };
        let fresh = PartBucket {
            level: match held.start {
                PartStart::Full => params.capacity,
                PartStart::Empty => 0.0,
            },
            at: held.at,
            returns_until: now,
            recent_usage: UnitsUse::default(),
        };
        let bucket = held.buckets.entry(workspace.clone()).or_insert(fresh);
        bucket.grant(params, wanted, now)
    }

    /// Grants a turn at an endpoint that accepts `rate` requests per second from all gateways together.
    pub fn grant_turn(
        &mut self,
        part: PartIndex,
        endpoint: &EndpointName,
        rate: RequestRate,
        max_wait: Duration,
        now: ClockTime,
    ) -> TurnAnswer {
        let Some(held) = self.parts.get_mut(&part) else {
            return TurnAnswer::NotHeld;
        };
        let fresh = TurnQueue::new(held.start, held.at);
        let queue = held.turns.entry(endpoint.clone()).or_insert(fresh);
        queue.grant(rate, max_wait, now)
    }

    /// Removes the turn queues of all endpoints that no longer exist.
    pub fn retain_endpoints(&mut self, is_there: impl Fn(&EndpointName) -> bool) {
        for held in self.parts.values_mut() {
            held.turns.retain(|endpoint, _| is_there(endpoint));
        }
    }

    /// Returns the units granted and refused by workspace since the last call, and resets the counts.
    pub fn take_use_counts(&mut self) -> Vec<WorkspaceUse> {
        let mut uses: HashMap<WorkspaceName, (UnitsUse, f64)> = HashMap::new();
        let buckets = self.parts.values_mut();
        for (workspace, bucket) in buckets.flat_map(|held| &mut held.buckets) {
            let units = std::mem::take(&mut bucket.recent_usage);
            if units == UnitsUse::default() {
                continue;
            }
            let (sum, saved) = uses.entry(workspace.clone()).or_default();
            sum.granted += units.granted;
            sum.refused += units.refused;
            *saved += bucket.level;
        }
        let uses = uses
            .into_iter()
            .map(|(workspace, (units, saved))| WorkspaceUse {
                workspace,
                units,
                saved,
            });
        uses.collect()
    }
}

/// Converts a number of units. The result is exact up to 2^53, far above any quota.
#[expect(clippy::cast_precision_loss, reason = "quotas are far below 2^53")]
fn to_float(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of a quota, not below zero"
)]
fn to_units(value: f64) -> u64 {
    value.max(0.0) as u64
}

fn bounded_delay(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0))
        .map_or(MAX_RETURN_DELAY, |span| span.min(MAX_RETURN_DELAY))
}
