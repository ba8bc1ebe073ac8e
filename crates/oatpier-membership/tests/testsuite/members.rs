//! Tests of the member table alone.

use oatpier_membership::members::{
    MemberFacts, MemberKind, MemberPhase, MemberRow, MemberState, MemberTable, Reachability,
    TableLimits, VmHint, WitnessVote,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use proptest::prelude::*;
use smallvec::SmallVec;

use crate::support::{contact, daemon, fixed_cases, queue_report, seconds, status, zone};

fn row(name: &str, incarnation: u64, votes: &[(&str, u64, bool)]) -> MemberRow {
    let boot = BootId(1);
    let kind = if name.starts_with("entry") {
        MemberKind::Entry
    } else {
        MemberKind::Agent(Box::new(status(name, "zone-0", boot, &["model"])))
    };
    let votes = votes.iter().map(|(witness, count, reachable)| WitnessVote {
        witness: daemon(witness),
        about: incarnation,
        order: (0, *count),
        reachability: if *reachable {
            Reachability::Reachable
        } else {
            Reachability::Silent
        },
    });
    MemberRow {
        facts: MemberFacts {
            daemon: daemon(name),
            zone: zone("zone-0"),
            address: contact(name, "zone-0", 1).address,
            boot,
            incarnation,
            phase: MemberPhase::Serving,
            generation: Generation(1),
            kind,
        },
        votes: votes.collect::<SmallVec<_>>(),
    }
}

fn table_with(rows: &[MemberRow]) -> MemberTable {
    let mut table = MemberTable::new(daemon("entry-0"), TableLimits::default());
    for row in rows {
        table.merge(row, ClockTime::ZERO);
    }
    table.refresh(ClockTime::ZERO);
    table
}

fn entries() -> Vec<MemberRow> {
    (0..4)
        .map(|index| row(&format!("entry-{index}"), 0, &[]))
        .collect()
}

fn state_with(votes: &[(&str, u64, bool)]) -> Option<MemberState> {
    let mut rows = entries();
    rows.push(row("agent-1", 0, &[]));
    let mut table = table_with(&rows);
    table.merge(&row("agent-1", 0, votes), ClockTime::ZERO);
    table.refresh(ClockTime::ZERO);
    table.get(&daemon("agent-1")).map(|view| view.state)
}

#[test]
fn two_silent_votes_remove_and_one_reachable_vote_keeps() {
    assert_eq!(
        state_with(&[("entry-1", 1, false)]),
        Some(MemberState::Suspect)
    );
    let two = [("entry-1", 1, false), ("entry-2", 1, false)];
    assert_eq!(state_with(&two), Some(MemberState::Gone));
    let one_hears = [
        ("entry-1", 1, false),
        ("entry-2", 1, false),
        ("entry-3", 1, true),
    ];
    assert_eq!(state_with(&one_hears), Some(MemberState::Alive));
}

/// A registrar voted that it can reach the agent, and is gone now. Its vote remains in every table;
/// it must not keep an agent that two other entries vote silent.
#[test]
fn votes_of_gone_witnesses_do_not_count() {
    let mut rows = entries();
    rows.push(row(
        "entry-3",
        0,
        &[("entry-1", 1, false), ("entry-2", 1, false)],
    ));
    let votes = [
        ("entry-1", 1, false),
        ("entry-2", 1, false),
        ("entry-3", 1, true),
    ];
    rows.push(row("agent-1", 0, &votes));
    let table = table_with(&rows);
    let state = |name: &str| table.get(&daemon(name)).map(|view| view.state);
    assert_eq!(state("entry-3"), Some(MemberState::Gone));
    assert_eq!(state("agent-1"), Some(MemberState::Gone));
}

/// One of three entries dies, and the two others vote it silent. At the same time the link between
/// these two fails in one direction. If the dead entry no longer counted as a witness, one vote
/// would be enough, and a single entry would remove its peer and every agent.
#[test]
fn death_of_a_witness_does_not_lower_the_needed_votes_at_once() {
    let silent_vote = |witness| [(witness, 1, false)];
    let mut rows = vec![row("entry-0", 0, &[]), row("entry-1", 0, &[])];
    rows.extend([row("entry-2", 0, &[]), row("agent-1", 0, &[])]);
    let mut table = table_with(&rows);
    table.merge(&row("entry-1", 0, &silent_vote("entry-0")), ClockTime::ZERO);
    table.merge(&row("entry-1", 0, &silent_vote("entry-2")), ClockTime::ZERO);
    table.refresh(ClockTime::ZERO);
    table.merge(&row("entry-2", 0, &silent_vote("entry-0")), ClockTime::ZERO);
    table.merge(&row("agent-1", 0, &silent_vote("entry-0")), ClockTime::ZERO);
    for second in 1..10 {
        table.refresh(ClockTime::ZERO + seconds(second));
        let state = |name: &str| table.get(&daemon(name)).map(|view| view.state);
        assert_eq!(state("entry-1"), Some(MemberState::Gone));
        assert_eq!(state("entry-2"), Some(MemberState::Suspect));
        assert_eq!(state("agent-1"), Some(MemberState::Suspect));
    }
    table.refresh(ClockTime::ZERO + seconds(20));
    let state = table.get(&daemon("entry-2")).map(|view| view.state);
    assert_eq!(
        state,
        Some(MemberState::Gone),
        "one vote suffices with two remaining entries"
    );
}

#[test]
fn the_list_of_vms_is_only_a_hint() {
    let mut table = table_with(&[row("entry-1", 0, &[])]);
    let hint = |name: &str, leaving| VmHint {
        contact: contact(name, "zone-0", 9),
        entry: true,
        leaving,
    };
    table.set_hints([hint("entry-1", true), hint("entry-9", false)]);
    table.refresh(ClockTime::ZERO);
    let known = table.get(&daemon("entry-1")).expect("a row");
    assert!(known.hinted_leaving && known.state == MemberState::Alive);
    let hinted: Vec<_> = table.hinted_entries().collect();
    assert_eq!(hinted, [&contact("entry-9", "zone-0", 9)]);
}

#[test]
fn deltas_reach_back_as_far_as_the_log() {
    let limits = TableLimits {
        kept_changes: 2,
        ..TableLimits::default()
    };
    let mut table = MemberTable::new(daemon("entry-0"), limits);
    for index in 0..3 {
        table.merge(&row(&format!("agent-{index}"), 0, &[]), ClockTime::ZERO);
    }
    assert_eq!(table.deltas_since(0), None);
    let deltas = table
        .deltas_since(1)
        .expect("the log reaches back to mark 1");
    assert_eq!((deltas.mark, deltas.rows.len()), (3, 2));
    let mut late = queue_report(BootId(1), 1);
    late.queued = 9;
    table.record_queue_report(&daemon("agent-1"), &late);
    assert_eq!(
        table
            .get(&daemon("agent-1"))
            .and_then(|view| view.report)
            .map(|report| report.queued),
        Some(0)
    );
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// Tables that get the same rows, in any order and any number of times, are equal.
    #[test]
    fn rows_merged_in_any_order_converge(
        updates in prop::collection::vec((0_u64..3, 0_usize..4, 1_u64..6, any::<bool>()), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 60),
    ) {
        let rows: Vec<MemberRow> = updates
            .iter()
            .map(|(incarnation, witness, count, _)| {
                // A witness has one vote for each count.
                let reachable = (count + incarnation) % 2 == 0;
                row("agent-1", *incarnation, &[(&format!("entry-{witness}"), *count, reachable)])
            })
            .map(|mut row| {
                for vote in &mut row.votes {
                    vote.order.1 += 10 * vote.about;
                }
                row
            })
            .collect();
        let mut first = row("agent-1", 0, &[]);
        let mut second = first.clone();
        for row in &rows {
            first.merge(row);
        }
        for index in order {
            second.merge(&rows[index.index(rows.len())]);
        }
        for row in rows.iter().rev() {
            second.merge(row);
        }
        prop_assert_eq!(first.digest(), second.digest());
    }
}
