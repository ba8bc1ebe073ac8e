//! What a gateway was given of workspaces' limits, and whom it asks next.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;
use smallvec::SmallVec;

use super::holder::{PartAnswer, UnitsWanted};
use super::holders::HolderBook;
use super::{PARTS, PartIndex};

/// Requests of the next moment are provided for with the units that those of the last second used in as long.
const AHEAD: Duration = Duration::from_millis(100);

/// The span over which use is averaged.
const USE_SPAN: Duration = Duration::from_secs(1);

/// A part that had nothing left is not asked again for the same need before this. Others may not have used what
/// it has gained meanwhile, so this is short beside the time to return.
const EMPTY_PAUSE: Duration = Duration::from_millis(60);

/// Units that were given, and count until they lapse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitsLot {
    /// How many.
    pub units: u64,
    /// Until when they count.
    pub until: ClockTime,
}

/// That a part had nothing left.
#[derive(Debug, Clone, Copy)]
struct EmptyPart {
    need: u64,
    asked_again_at: ClockTime,
    returns_at: ClockTime,
}

/// What is known of one workspace's units.
#[derive(Debug, Default)]
struct WorkspaceUnits {
    lots: SmallVec<[UnitsLot; 2]>,
    used: f64,
    used_at: ClockTime,
    /// The part that is asked next. Asked in turn, all parts are used alike: what one has saved up is there when
    /// callers come all at once.
    turn: u8,
    empty: [Option<EmptyPart>; PARTS as usize],
}

impl WorkspaceUnits {
    fn drop_lapsed(&mut self, now: ClockTime) {
        self.lots.retain(|lot| lot.until > now && lot.units > 0);
    }

    fn left(&self) -> u64 {
        self.lots.iter().map(|lot| lot.units).sum()
    }

    /// Takes units, those that lapse first before the others; what is taken lapses with the first of them.
    fn take(&mut self, units: u64) -> Option<UnitsLot> {
        if self.left() < units {
            return None;
        }
        self.lots.sort_by_key(|lot| lot.until);
        let until = self.lots.first()?.until;
        let mut missing = units;
        for lot in &mut self.lots {
            let taken = lot.units.min(missing);
            lot.units -= taken;
            missing -= taken;
        }
        Some(UnitsLot { units, until })
    }

    fn note_used(&mut self, units: u64, now: ClockTime) {
        self.used = self.used_lately(now) + f64::from(u32::try_from(units).unwrap_or(u32::MAX));
        self.used_at = now;
    }

    fn used_lately(&self, now: ClockTime) -> f64 {
        let passed = now.since(self.used_at).as_secs_f64() / USE_SPAN.as_secs_f64();
        self.used * (-passed).exp()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive share of what was used lately"
    )]
    fn ahead(&self, now: ClockTime) -> u64 {
        let share = AHEAD.as_secs_f64() / USE_SPAN.as_secs_f64();
        (self.used_lately(now) * share) as u64
    }

    /// Whether the part had too little for this a moment ago.
    fn is_empty(&self, part: PartIndex, need: u64, now: ClockTime) -> bool {
        let empty = self.empty[part.place()];
        empty.is_some_and(|empty| need >= empty.need && now < empty.asked_again_at)
    }

    fn returns_at(&self, now: ClockTime) -> Option<ClockTime> {
        let known = self.empty.iter().flatten();
        known.map(|empty| empty.returns_at.max(now)).min()
    }
}

/// Whom to ask for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartAsk {
    /// The part.
    pub part: PartIndex,
    /// Its holder.
    pub holder: SocketAddr,
    /// What to ask for.
    pub wanted: UnitsWanted,
}

/// How a request gets its units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantStep {
    /// It has them.
    Taken(UnitsLot),
    /// A holder has to be asked.
    Ask(PartAsk),
    /// No part has enough left; they could after this time.
    Spent(Duration),
    /// No holder is known that has not been asked in vain.
    Nobody,
}

/// The parts that were asked for one request.
#[derive(Debug, Clone, Default)]
pub struct AskedParts(SmallVec<[PartIndex; PARTS as usize]>);

impl AskedParts {
    /// A part is being asked.
    pub fn add(&mut self, part: PartIndex) {
        self.0.push(part);
    }
}

/// What this gateway was given.
#[derive(Debug, Default)]
pub struct GrantBook {
    workspaces: HashMap<WorkspaceName, WorkspaceUnits>,
    holders: HolderBook,
}

impl GrantBook {
    /// Who holds the parts.
    #[must_use]
    pub fn holders(&self) -> &HolderBook {
        &self.holders
    }

    /// Who holds the parts, to note who does and who answers.
    pub fn holders_mut(&mut self) -> &mut HolderBook {
        &mut self.holders
    }

    /// Only these workspaces have limits any more.
    pub fn retain(&mut self, is_limited: impl Fn(&WorkspaceName) -> bool) {
        self.workspaces.retain(|workspace, _| is_limited(workspace));
    }

    /// What a request that needs `units` does next, after it has asked some parts.
    pub fn step(
        &mut self,
        workspace: &WorkspaceName,
        units: u64,
        asked: &AskedParts,
        now: ClockTime,
    ) -> GrantStep {
        let known = self.workspaces.entry(workspace.clone()).or_default();
        known.drop_lapsed(now);
        if let Some(lot) = known.take(units) {
            known.note_used(units, now);
            return GrantStep::Taken(lot);
        }
        let need = units - known.left();
        let open = PartIndex::all().filter(|part| !asked.0.contains(part));
        let askable = open.filter(|part| !known.is_empty(*part, need, now));
        let holders = &self.holders;
        let held = askable.filter_map(|part| Some((part, holders.holder(part)?)));
        let turn = known.turn;
        let best = held.min_by_key(|(part, _)| {
            let is_silent = holders.is_silent(*part, now);
            (is_silent, (part.0 + PARTS - turn) % PARTS)
        });
        if let Some((part, holder)) = best {
            known.turn = (part.0 + 1) % PARTS;
            let wanted = UnitsWanted {
                need,
                ahead: known.ahead(now),
            };
            return GrantStep::Ask(PartAsk {
                part,
                holder,
                wanted,
            });
        }
        match known.returns_at(now) {
            Some(at) => GrantStep::Spent(at.since(now)),
            None => GrantStep::Nobody,
        }
    }

    /// A holder answered what was asked at `asked_at`; what it gave counts for `life` from then.
    pub fn take_answer(
        &mut self,
        workspace: &WorkspaceName,
        ask: &PartAsk,
        answer: PartAnswer,
        asked_at: ClockTime,
        life: Duration,
        now: ClockTime,
    ) {
        let place = ask.part.place();
        self.holders.note_answer(ask.part);
        let known = self.workspaces.entry(workspace.clone()).or_default();
        match answer {
            PartAnswer::Granted(units) => {
                known.empty[place] = None;
                known.lots.push(UnitsLot {
                    units,
                    until: asked_at + life,
                });
            }
            PartAnswer::Later(millis) => {
                let after = Duration::from_millis(u64::from(millis));
                known.empty[place] = Some(EmptyPart {
                    need: ask.wanted.need,
                    asked_again_at: now + after.min(EMPTY_PAUSE),
                    returns_at: now + after,
                });
            }
            PartAnswer::NotHeld => known.empty[place] = None,
        }
    }

    /// Units that were taken for a request that was not sent.
    pub fn put_back(&mut self, workspace: &WorkspaceName, lot: UnitsLot, now: ClockTime) {
        if let Some(known) = self.workspaces.get_mut(workspace)
            && lot.until > now
        {
            known.lots.push(lot);
        }
    }
}
