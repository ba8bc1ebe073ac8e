//! Derives a member's state from its row, the votes of its witnesses and this process's own
//! evidence.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;
use smallvec::SmallVec;

use super::evidence::PathEvidence;
use super::row::{MemberFacts, MemberPhase, MemberRow, Reachability, WitnessVote};
use super::table::{
    GONE_KEPT, LostRegistrar, MemberChange, MemberState, MemberTable, REMOVAL_VOTES, SUSPECT_AFTER,
    TableRecord,
};
use crate::registrar::REGISTRARS;
use crate::rendezvous;

/// The evidence for and against a member.
struct VoteCount {
    reachable: usize,
    silent: usize,
    failed: bool,
    needed: usize,
    unreachable_for: Duration,
}

impl MemberTable {
    /// Recomputes all states and returns what changed. Entries come first, as the agents' witnesses
    /// are among them.
    pub fn refresh(&mut self, now: ClockTime) -> Vec<MemberChange> {
        let mut changes = self.refresh_kind(true, now);
        if self.limits.lost_registrar == LostRegistrar::Drop {
            self.drop_agents_of(&changes);
        }
        changes.extend(self.refresh_kind(false, now));
        self.records.retain(|_, record| {
            record.state != MemberState::Gone || now.since(record.gone_since) < GONE_KEPT
        });
        self.evidence.prune(now);
        changes
    }

    fn refresh_kind(&mut self, entries: bool, now: ClockTime) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        let expected = self.expected_witnesses(now);
        for index in 0..self.records.len() {
            if self.records[index].row.facts.is_entry() != entries {
                continue;
            }
            let reachable = self.is_reachable(&self.records[index].row);
            if reachable {
                self.records[index].last_reachable = now;
            }
            let state = self.derive_state(&self.records[index], expected, now);
            changes.extend(set_state(&mut self.records[index], state, now));
        }
        changes
    }

    fn derive_state(&self, record: &TableRecord, expected: usize, now: ClockTime) -> MemberState {
        let facts = &record.row.facts;
        if facts.phase == MemberPhase::Left {
            return MemberState::Gone;
        }
        let evidence = self.evidence.get(&facts.daemon, now);
        if facts.daemon == self.own || evidence == Some(PathEvidence::Answered) {
            return serving_state(facts);
        }
        if record.dropped_votes.as_ref() == Some(&record.row.votes) {
            return MemberState::Gone;
        }
        let others = expected.saturating_sub(usize::from(facts.is_entry()));
        let failed = evidence == Some(PathEvidence::Failed);
        let count = self.count_votes(record, others, failed, now);
        if facts.is_entry() {
            entry_state(facts, &count)
        } else {
            agent_state(facts, &count)
        }
    }

    fn count_votes(
        &self,
        record: &TableRecord,
        others: usize,
        failed: bool,
        now: ClockTime,
    ) -> VoteCount {
        let live: SmallVec<[&WitnessVote; 4]> = self.live_votes(&record.row).collect();
        let votes_for = |reachability| {
            live.iter()
                .filter(move |vote| vote.reachability == reachability)
        };
        let reachable = votes_for(Reachability::Reachable).count();
        let own_silent = votes_for(Reachability::Silent).any(|vote| vote.witness == self.own);
        let silent = votes_for(Reachability::Silent).count() + usize::from(failed && !own_silent);
        VoteCount {
            reachable,
            silent,
            failed,
            needed: others.clamp(1, REMOVAL_VOTES),
            unreachable_for: now.since(record.last_reachable),
        }
    }

    /// Counts live registrars that can reach a member.
    fn reachable_count(&self, row: &MemberRow) -> usize {
        let votes = self.live_votes(row);
        votes
            .filter(|vote| vote.reachability == Reachability::Reachable)
            .count()
    }

    /// Whether an entry other than this process can reach a member.
    #[must_use]
    pub fn is_reachable_elsewhere(&self, daemon: &DaemonName) -> bool {
        let Some(row) = self.row(daemon) else {
            return false;
        };
        let mut others = self.live_votes(row).filter(|vote| vote.witness != self.own);
        others.any(|vote| vote.reachability == Reachability::Reachable)
    }

    fn is_reachable(&self, row: &MemberRow) -> bool {
        self.reachable_count(row) > 0
    }

    /// Returns the votes of live witnesses. The last vote of a witness that died or restarted is
    /// ignored, as it is no evidence of the present state.
    fn live_votes<'a>(&'a self, row: &'a MemberRow) -> impl Iterator<Item = &'a WitnessVote> {
        let about = row.facts.incarnation;
        row.votes.iter().filter(move |vote| {
            let witness = self.records.get(&vote.witness);
            vote.about == about
                && witness.is_some_and(|witness| {
                    witness.state != MemberState::Gone
                        && vote.order.0 >= witness.row.facts.incarnation
                })
        })
    }

    fn drop_agents_of(&mut self, changes: &[MemberChange]) {
        let lost = changes
            .iter()
            .filter(|change| change.state == MemberState::Gone);
        let lost: SmallVec<[&DaemonName; 4]> = lost.map(|change| &change.daemon).collect();
        for index in 0..self.records.len() {
            let row = &self.records[index].row;
            let primary = primary_registrar(row);
            let lost = primary.is_some_and(|primary| lost.contains(&primary));
            // An agent that already has its next registrar is registered again.
            if lost && self.reachable_count(row) < REGISTRARS {
                self.records[index].dropped_votes = Some(row.votes.clone());
            }
        }
    }
}

/// Returns the registrar that ranks first for an agent among those that can reach it.
fn primary_registrar(row: &MemberRow) -> Option<&DaemonName> {
    row.facts.status()?;
    let witnesses = row
        .votes
        .iter()
        .filter(|vote| vote.reachability == Reachability::Reachable);
    let key = rendezvous::registrar_key(&row.facts.daemon);
    witnesses
        .map(|vote| &vote.witness)
        .max_by_key(|witness| rendezvous::weight(&key, witness.as_str()))
}

fn set_state(record: &mut TableRecord, state: MemberState, now: ClockTime) -> Option<MemberChange> {
    if record.state == state {
        return None;
    }
    let before = record.state;
    record.state = state;
    if state == MemberState::Gone {
        record.gone_since = now;
    }
    Some(MemberChange {
        daemon: record.row.facts.daemon.clone(),
        before,
        state,
    })
}

fn serving_state(facts: &MemberFacts) -> MemberState {
    match facts.phase {
        MemberPhase::Serving => MemberState::Alive,
        MemberPhase::Leaving => MemberState::Leaving,
        MemberPhase::Left => MemberState::Gone,
    }
}

/// Derives the state of an entry. Entries get silent votes only after several calls in a row went
/// unanswered.
fn entry_state(facts: &MemberFacts, count: &VoteCount) -> MemberState {
    if count.silent >= count.needed {
        return MemberState::Gone;
    }
    if count.silent > 0 && facts.phase == MemberPhase::Serving {
        return MemberState::Suspect;
    }
    serving_state(facts)
}

/// Derives the state of an agent.
///
/// An agent that any registrar can reach is present, however many others cannot: a link cut in
/// one direction, or a registrar that the agent no longer uses, must not remove it. An agent that
/// no registrar can reach is gone with two silent votes, or with one after a time in which it would
/// have found another registrar. An agent without any votes (its registrars died) stays, as it will
/// register again.
fn agent_state(facts: &MemberFacts, count: &VoteCount) -> MemberState {
    let serving = serving_state(facts);
    if count.reachable > 0 {
        let is_suspect = count.failed && serving == MemberState::Alive;
        return if is_suspect {
            MemberState::Suspect
        } else {
            serving
        };
    }
    let is_overdue = count.unreachable_for >= SUSPECT_AFTER;
    let is_expired = count.unreachable_for >= GONE_KEPT;
    if count.silent >= count.needed || (count.silent > 0 && is_overdue) || is_expired {
        return MemberState::Gone;
    }
    if count.silent > 0 || is_overdue {
        return MemberState::Suspect;
    }
    serving
}
