//! Handing out what the parts of limits give that this gateway holds.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::PartIndex;
use super::bounds::PartTerms;
use super::turns::{TurnAnswer, TurnQueue};
use crate::notice::RequestRate;

/// The share of what is saved up that is handed out ahead of requests.
const AHEAD_SHARE: f64 = 0.25;

/// The longest time to return that is told. Callers that would have to wait longer have left by then.
const LONGEST_RETURN: Duration = Duration::from_secs(30);

/// How a part begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStart {
    /// With everything saved up: nobody held it before.
    Full,
    /// With nothing: its last holder may have handed out all until now.
    Empty,
}

/// What a holder says to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PartAnswer {
    /// So many units, at least as many as were needed.
    Granted(u64),
    /// Not now; the units could be there after this many milliseconds.
    Later(u32),
    /// This gateway does not hold the part, or knows no limit of the workspace.
    NotHeld,
}

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnitsWanted {
    /// Units that a request waits for.
    pub need: u64,
    /// Units that requests to come will want soon.
    pub ahead: u64,
}

/// What one part of one workspace's limit has saved up.
#[derive(Debug, Clone, Copy)]
struct PartBucket {
    level: f64,
    at: ClockTime,
    /// When the last refused request was told to return; the next one returns after it.
    returns_until: ClockTime,
    /// What was handed out, and asked for in vain, since it was last counted.
    use_lately: UnitsUse,
}

/// What became of asks for units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnitsUse {
    /// Units that were handed out.
    pub granted: u64,
    /// Units that were asked for in vain.
    pub refused: u64,
}

/// What one workspace asked of the parts that are held here, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceUse {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What was handed out and refused since the last count.
    pub units: UnitsUse,
    /// What is saved up, below zero for a debt.
    pub saved: f64,
}

impl PartBucket {
    fn fill(&mut self, terms: &PartTerms, now: ClockTime) {
        let gained = now.since(self.at).as_secs_f64() * terms.rate;
        self.level = (self.level + gained).min(terms.capacity);
        self.at = now;
    }

    fn hand_out(&mut self, terms: &PartTerms, wanted: UnitsWanted, now: ClockTime) -> PartAnswer {
        self.fill(terms, now);
        let need = units(wanted.need);
        // What is larger than all that can be saved up passes when that much is there; it could never pass else.
        let reach = need.min(terms.capacity + terms.debt);
        if self.level + terms.debt < reach {
            self.use_lately.refused += wanted.need;
            return PartAnswer::Later(self.return_after(terms, reach, now));
        }
        self.level -= need;
        let ahead = (self.level * AHEAD_SHARE).clamp(0.0, units(wanted.ahead));
        let ahead = whole(ahead);
        self.level -= units(ahead);
        self.use_lately.granted += wanted.need + ahead;
        PartAnswer::Granted(wanted.need + ahead)
    }

    /// Refused callers are told to come back one after the other, as fast as the part gives.
    fn return_after(&mut self, terms: &PartTerms, reach: f64, now: ClockTime) -> u32 {
        let missing = reach - self.level - terms.debt;
        let there_at = now + span(missing / terms.rate);
        let at = there_at.max(self.returns_until);
        let latest = now + LONGEST_RETURN;
        self.returns_until = (at + span(reach / terms.rate)).min(latest);
        let after = at.min(latest).since(now);
        u32::try_from(after.as_millis()).unwrap_or(u32::MAX)
    }
}

/// The parts that this gateway holds.
#[derive(Debug, Default)]
pub struct PartHolder {
    begun: HashMap<PartIndex, PartBegin>,
}

#[derive(Debug)]
struct PartBegin {
    start: PartStart,
    at: ClockTime,
    buckets: HashMap<WorkspaceName, PartBucket>,
    turns: HashMap<EndpointName, TurnQueue>,
}

impl PartHolder {
    /// This gateway holds a part from now on.
    pub fn begin(&mut self, part: PartIndex, start: PartStart, now: ClockTime) {
        let begin = PartBegin {
            start,
            at: now,
            buckets: HashMap::new(),
            turns: HashMap::new(),
        };
        self.begun.insert(part, begin);
    }

    /// Another gateway holds it.
    pub fn end(&mut self, part: PartIndex) {
        self.begun.remove(&part);
    }

    /// Only these workspaces have limits any more.
    pub fn retain(&mut self, is_limited: impl Fn(&WorkspaceName) -> bool) {
        for begin in self.begun.values_mut() {
            begin.buckets.retain(|workspace, _| is_limited(workspace));
        }
    }

    /// Hands out units of a workspace.
    pub fn hand_out(
        &mut self,
        part: PartIndex,
        workspace: &WorkspaceName,
        terms: &PartTerms,
        wanted: UnitsWanted,
        now: ClockTime,
    ) -> PartAnswer {
        let Some(begin) = self.begun.get_mut(&part) else {
            return PartAnswer::NotHeld;
        };
        let fresh = PartBucket {
            level: match begin.start {
                PartStart::Full => terms.capacity,
                PartStart::Empty => 0.0,
            },
            at: begin.at,
            returns_until: now,
            use_lately: UnitsUse::default(),
        };
        let bucket = begin.buckets.entry(workspace.clone()).or_insert(fresh);
        bucket.hand_out(terms, wanted, now)
    }

    /// Gives a turn at an endpoint that takes `rate` requests a second from all gateways.
    pub fn give_turn(
        &mut self,
        part: PartIndex,
        endpoint: &EndpointName,
        rate: RequestRate,
        most_wait: Duration,
        now: ClockTime,
    ) -> TurnAnswer {
        let Some(begin) = self.begun.get_mut(&part) else {
            return TurnAnswer::NotHeld;
        };
        let fresh = TurnQueue::begin(begin.start, begin.at);
        let queue = begin.turns.entry(endpoint.clone()).or_insert(fresh);
        queue.give(rate, most_wait, now)
    }

    /// Only these endpoints are there any more.
    pub fn retain_endpoints(&mut self, is_there: impl Fn(&EndpointName) -> bool) {
        for begin in self.begun.values_mut() {
            begin.turns.retain(|endpoint, _| is_there(endpoint));
        }
    }

    /// Counts what was asked of the parts that are held here since the last count, by workspace.
    pub fn count_use(&mut self) -> Vec<WorkspaceUse> {
        let mut uses: HashMap<WorkspaceName, (UnitsUse, f64)> = HashMap::new();
        let buckets = self.begun.values_mut();
        for (workspace, bucket) in buckets.flat_map(|begin| &mut begin.buckets) {
            let units = std::mem::take(&mut bucket.use_lately);
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

/// Exact up to 2^53, far above any quota.
#[expect(clippy::cast_precision_loss, reason = "quotas are far below 2^53")]
fn units(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a quota, not below zero"
)]
fn whole(value: f64) -> u64 {
    value.max(0.0) as u64
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0))
        .map_or(LONGEST_RETURN, |span| span.min(LONGEST_RETURN))
}
