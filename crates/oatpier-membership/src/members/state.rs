//! Derives a member's state from its row, the votes of its witnesses and this process's own
//! evidence.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;
use smallvec::SmallVec;

use super::evidence::PathEvidence;
use super::row::{Hearing, MemberFacts, MemberPhase, MemberRow, WitnessWord};
use super::table::{
    GONE_KEPT, LostRegistrar, MemberChange, MemberState, MemberTable, NEEDED_WORDS, TableRecord,
    UNWITNESSED_SUSPECT,
};
use crate::registrar::REGISTRARS;
use crate::rendezvous;

/// The evidence for and against a member.
struct WordCount {
    heard: usize,
    silent: usize,
    failed: bool,
    needed: usize,
    unheard_for: Duration,
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
            let heard = self.heard(&self.records[index].row);
            if heard {
                self.records[index].witnessed = now;
            }
            let state = self.derive(&self.records[index], expected, now);
            changes.extend(set_state(&mut self.records[index], state, now));
        }
        changes
    }

    fn derive(&self, record: &TableRecord, expected: usize, now: ClockTime) -> MemberState {
        let facts = &record.row.facts;
        if facts.phase == MemberPhase::Left {
            return MemberState::Gone;
        }
        let evidence = self.evidence.on(&facts.daemon, now);
        if facts.daemon == self.own || evidence == Some(PathEvidence::Answered) {
            return serving_state(facts);
        }
        if record.dropped.as_ref() == Some(&record.row.words) {
            return MemberState::Gone;
        }
        let others = expected.saturating_sub(usize::from(facts.is_entry()));
        let failed = evidence == Some(PathEvidence::Failed);
        let count = self.count(record, others, failed, now);
        if facts.is_entry() {
            entry_state(facts, &count)
        } else {
            agent_state(facts, &count)
        }
    }

    fn count(
        &self,
        record: &TableRecord,
        others: usize,
        failed: bool,
        now: ClockTime,
    ) -> WordCount {
        let live: SmallVec<[&WitnessWord; 4]> = self.live_words(&record.row).collect();
        let says = |hearing| live.iter().filter(move |word| word.hearing == hearing);
        let heard = says(Hearing::Heard).count();
        let own_silent = says(Hearing::Silent).any(|word| word.witness == self.own);
        let silent = says(Hearing::Silent).count() + usize::from(failed && !own_silent);
        WordCount {
            heard,
            silent,
            failed,
            needed: others.clamp(1, NEEDED_WORDS),
            unheard_for: now.since(record.witnessed),
        }
    }

    /// Counts live registrars that can reach a member.
    fn heard_count(&self, row: &MemberRow) -> usize {
        let words = self.live_words(row);
        words.filter(|word| word.hearing == Hearing::Heard).count()
    }

    /// Whether an entry other than this process can reach a member.
    #[must_use]
    pub fn is_heard_elsewhere(&self, daemon: &DaemonName) -> bool {
        let Some(row) = self.row(daemon) else {
            return false;
        };
        let mut others = self.live_words(row).filter(|word| word.witness != self.own);
        others.any(|word| word.hearing == Hearing::Heard)
    }

    fn heard(&self, row: &MemberRow) -> bool {
        self.heard_count(row) > 0
    }

    /// Returns the votes of live witnesses. The last vote of a witness that died or restarted is
    /// ignored, as it says nothing about the present.
    fn live_words<'a>(&'a self, row: &'a MemberRow) -> impl Iterator<Item = &'a WitnessWord> {
        let about = row.facts.incarnation;
        row.words.iter().filter(move |word| {
            let witness = self.records.get(&word.witness);
            word.about == about
                && witness.is_some_and(|witness| {
                    witness.state != MemberState::Gone
                        && word.order.0 >= witness.row.facts.incarnation
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
            if lost && self.heard_count(row) < REGISTRARS {
                self.records[index].dropped = Some(row.words.clone());
            }
        }
    }
}

/// Returns the registrar that ranks first for an agent among those that can reach it.
fn primary_registrar(row: &MemberRow) -> Option<&DaemonName> {
    row.facts.status()?;
    let witnesses = row
        .words
        .iter()
        .filter(|word| word.hearing == Hearing::Heard);
    let key = rendezvous::registrar_key(&row.facts.daemon);
    witnesses
        .map(|word| &word.witness)
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
fn entry_state(facts: &MemberFacts, count: &WordCount) -> MemberState {
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
fn agent_state(facts: &MemberFacts, count: &WordCount) -> MemberState {
    let serving = serving_state(facts);
    if count.heard > 0 {
        let doubted = count.failed && serving == MemberState::Alive;
        return if doubted {
            MemberState::Suspect
        } else {
            serving
        };
    }
    let long = count.unheard_for >= UNWITNESSED_SUSPECT;
    let given_up = count.unheard_for >= GONE_KEPT;
    if count.silent >= count.needed || (count.silent > 0 && long) || given_up {
        return MemberState::Gone;
    }
    if count.silent > 0 || long {
        return MemberState::Suspect;
    }
    serving
}
