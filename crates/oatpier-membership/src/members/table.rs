//! The member table: rows, the states derived from them, and a bounded log of changes.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;
use oatpier_types::status::QueueReport;
use smallvec::SmallVec;

use super::evidence::{EvidenceCache, PathEvidence};
use super::row::{MemberFacts, MemberKind, MemberPhase, MemberRow, Reachability, WitnessVote};
use crate::messages::EntryContact;
use crate::summary::TableDigest;

/// How long this process's own evidence is valid.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(5);

/// How long an agent that no live registrar can reach stays alive before it becomes suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(30);

/// How long the row of a gone member is kept, so that late messages about it are recognized as old.
pub const GONE_KEPT: Duration = Duration::from_mins(10);

/// How long an entry that was removed still counts among the expected witnesses. The cause of its
/// removal may have hit other entries too, whose votes have not arrived yet. Otherwise each removal
/// would lower the number of votes that the next one needs, down to one.
pub const WITNESS_GRACE: Duration = Duration::from_secs(15);

/// The number of silent votes of different witnesses that remove a member.
pub const REMOVAL_VOTES: usize = 2;

/// The state of a member, as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It serves.
    Alive,
    /// There is evidence against it, but not enough to remove it.
    Suspect,
    /// It finishes the work in flight.
    Leaving,
    /// It is not present.
    Gone,
}

/// The treatment of agents whose registrar dies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LostRegistrar {
    /// Their rows stay; they register with the successor.
    #[default]
    Keep,
    /// They count as gone until they have registered again. For comparison in benchmarks.
    Drop,
}

/// Limits and policies of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableLimits {
    /// The number of changes kept in the log.
    pub kept_changes: usize,
    /// What happens to agents when their registrar dies.
    pub lost_registrar: LostRegistrar,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            kept_changes: 2_048,
            lost_registrar: LostRegistrar::Keep,
        }
    }
}

/// A row of the platform's list of VMs. It is only a hint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmHint {
    /// The process on the VM.
    pub contact: EntryContact,
    /// Whether that process is an entry.
    pub entry: bool,
    /// Whether the platform is going to stop the VM.
    pub leaving: bool,
}

/// A member whose state changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub daemon: DaemonName,
    /// Its state before; `Gone` for a new member.
    pub before: MemberState,
    /// Its state now.
    pub state: MemberState,
}

/// A member as this process sees it.
#[derive(Debug, Clone, Copy)]
pub struct MemberView<'a> {
    /// What it states about itself.
    pub facts: &'a MemberFacts,
    /// Its latest queue report, for an agent.
    pub report: Option<&'a QueueReport>,
    /// Its state.
    pub state: MemberState,
    /// Whether the list of VMs says that its VM will be stopped.
    pub hinted_leaving: bool,
}

/// The rows that changed since a mark.
#[derive(Debug, Clone, PartialEq)]
pub struct TableDeltas {
    /// The mark to pass to the next query.
    pub mark: u64,
    /// Rows that changed, each once.
    pub rows: Vec<MemberRow>,
}

#[derive(Debug, Clone)]
pub(super) struct TableRecord {
    pub(super) row: MemberRow,
    pub(super) state: MemberState,
    pub(super) gone_since: ClockTime,
    pub(super) last_reachable: ClockTime,
    pub(super) dropped_votes: Option<SmallVec<[WitnessVote; 2]>>,
    hinted_leaving: bool,
}

impl TableRecord {
    fn view(&self) -> MemberView<'_> {
        MemberView {
            facts: &self.row.facts,
            report: self.row.facts.status().map(|status| &status.queue),
            state: self.state,
            hinted_leaving: self.hinted_leaving,
        }
    }
}

/// The table of entries and agents.
#[derive(Debug, Clone)]
pub struct MemberTable {
    pub(super) own: DaemonName,
    pub(super) limits: TableLimits,
    pub(super) records: IndexMap<DaemonName, TableRecord>,
    hints: IndexMap<DaemonName, VmHint>,
    pub(super) evidence: EvidenceCache,
    log: VecDeque<(u64, DaemonName)>,
    mark: u64,
}

impl MemberTable {
    /// Creates the empty table of the process `own`.
    #[must_use]
    pub fn new(own: DaemonName, limits: TableLimits) -> Self {
        Self {
            own,
            limits,
            records: IndexMap::new(),
            hints: IndexMap::new(),
            evidence: EvidenceCache::new(EVIDENCE_TTL),
            log: VecDeque::new(),
            mark: 0,
        }
    }

    /// Takes in a row. Returns whether it changed the table. An unknown row of a member that is not
    /// reachable is ignored: otherwise it would pass from table to table forever.
    pub fn merge(&mut self, row: &MemberRow, now: ClockTime) -> bool {
        let daemon = &row.facts.daemon;
        let Some(record) = self.records.get_mut(daemon) else {
            return self.insert(row, now);
        };
        if !record.row.merge(row) {
            return false;
        }
        self.log_change(daemon.clone());
        true
    }

    /// Takes in one entry's vote on a member.
    pub fn merge_vote(&mut self, daemon: &DaemonName, vote: &WitnessVote) -> bool {
        let Some(record) = self.records.get_mut(daemon) else {
            return false;
        };
        let changed = record.row.merge_vote(vote);
        if changed {
            self.log_change(daemon.clone());
        }
        changed
    }

    /// Records an agent's queue if it is later than the known one. This change is not gossiped.
    pub fn record_queue_report(&mut self, daemon: &DaemonName, report: &QueueReport) {
        let Some(record) = self.records.get_mut(daemon) else {
            return;
        };
        let MemberKind::Agent(status) = &mut record.row.facts.kind else {
            return;
        };
        if status.queue.boot == report.boot && status.queue.sequence < report.sequence {
            status.queue = *report;
        }
    }

    /// Records evidence on a member from this process's data path.
    pub fn record_evidence(&mut self, daemon: &DaemonName, evidence: PathEvidence, now: ClockTime) {
        self.evidence.record(daemon, evidence, now);
    }

    /// Takes in the list of VMs as hints: which entries to contact when none is known, and which
    /// processes may leave.
    pub fn set_hints(&mut self, hints: impl IntoIterator<Item = VmHint>) {
        self.hints = hints
            .into_iter()
            .map(|hint| (hint.contact.daemon.clone(), hint))
            .collect();
        for (daemon, record) in &mut self.records {
            record.hinted_leaving = self.hints.get(daemon).is_some_and(|hint| hint.leaving);
        }
    }

    /// Returns entries that are known only from the list of VMs.
    pub fn hinted_entries(&self) -> impl Iterator<Item = &EntryContact> {
        self.hints
            .values()
            .filter(|hint| hint.entry && !self.records.contains_key(&hint.contact.daemon))
            .map(|hint| &hint.contact)
    }

    /// Returns one member.
    #[must_use]
    pub fn get(&self, daemon: &DaemonName) -> Option<MemberView<'_>> {
        self.records.get(daemon).map(TableRecord::view)
    }

    /// Returns one row, as sent to other entries.
    #[must_use]
    pub fn row(&self, daemon: &DaemonName) -> Option<&MemberRow> {
        self.records.get(daemon).map(|record| &record.row)
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.records.values().map(TableRecord::view)
    }

    /// Returns the entries that are neither gone nor leaving.
    pub fn live_entries(&self) -> impl Iterator<Item = &MemberFacts> {
        self.members()
            .filter(|view| view.facts.is_entry())
            .filter(|view| matches!(view.state, MemberState::Alive | MemberState::Suspect))
            .map(|view| view.facts)
    }

    /// Counts the entries expected to vote: live ones, and those that went away recently without
    /// leaving.
    pub(super) fn expected_witnesses(&self, now: ClockTime) -> usize {
        let entries = self.records.values().filter(|record| {
            record.row.facts.is_entry() && record.row.facts.phase == MemberPhase::Serving
        });
        let expected = entries.filter(|record| {
            record.state != MemberState::Gone || now.since(record.gone_since) < WITNESS_GRACE
        });
        expected.count()
    }

    /// Whether a member is present and not leaving.
    #[must_use]
    pub fn is_live(&self, daemon: &DaemonName) -> bool {
        let view = self.get(daemon);
        view.is_some_and(|view| matches!(view.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Returns the agents that may get new work.
    pub fn usable_agents(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.members()
            .filter(|view| !view.facts.is_entry() && view.state == MemberState::Alive)
    }

    /// Returns the mark of the latest change.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns the rows that changed since `mark`, or `None` if the log does not reach back that
    /// far.
    #[must_use]
    pub fn deltas_since(&self, mark: u64) -> Option<TableDeltas> {
        let oldest_mark = self.mark - self.log.len() as u64;
        if mark < oldest_mark || mark > self.mark {
            return None;
        }
        let mut names: Vec<&DaemonName> = self
            .log
            .iter()
            .filter(|(at, _)| *at > mark)
            .map(|(_, daemon)| daemon)
            .collect();
        names.sort();
        names.dedup();
        let rows = names.into_iter().filter_map(|name| self.row(name)).cloned();
        Some(TableDeltas {
            mark: self.mark,
            rows: rows.collect(),
        })
    }

    /// Returns hashes of all rows that aren't gone.
    #[must_use]
    pub fn digest(&self) -> TableDigest {
        let mut digest = TableDigest::default();
        for (daemon, record) in &self.records {
            if record.state != MemberState::Gone {
                digest.add(daemon.as_str(), record.row.digest());
            }
        }
        digest
    }

    /// Returns the rows, including gone ones, in the parts whose hashes differ.
    #[must_use]
    pub fn differing_rows(&self, other: &TableDigest, max_parts: usize) -> Vec<MemberRow> {
        let parts = self.digest().differing(other, max_parts);
        self.records
            .iter()
            .filter(|(daemon, _)| parts.contains(&TableDigest::part_of(daemon.as_str())))
            .map(|(_, record)| record.row.clone())
            .collect()
    }

    fn insert(&mut self, row: &MemberRow, now: ClockTime) -> bool {
        let reachable = row
            .votes
            .iter()
            .any(|vote| vote.reachability == Reachability::Reachable);
        let silent = row
            .votes
            .iter()
            .filter(|vote| vote.reachability == Reachability::Silent);
        let silent = silent.count() >= REMOVAL_VOTES && !reachable;
        if silent || row.facts.phase == MemberPhase::Left {
            return false;
        }
        let daemon = row.facts.daemon.clone();
        let record = TableRecord {
            row: row.clone(),
            state: MemberState::Gone,
            gone_since: now,
            last_reachable: now,
            dropped_votes: None,
            hinted_leaving: self.hints.get(&daemon).is_some_and(|hint| hint.leaving),
        };
        self.records.insert(daemon.clone(), record);
        self.log_change(daemon);
        true
    }

    fn log_change(&mut self, daemon: DaemonName) {
        self.mark += 1;
        self.log.push_back((self.mark, daemon));
        if self.log.len() > self.limits.kept_changes {
            self.log.pop_front();
        }
    }
}
