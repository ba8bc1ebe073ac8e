//! Tests of failing registrars, links cut in one direction, and agents that fail and recover
//! repeatedly.

use oatpier_membership::agent::AgentEvent;
use oatpier_membership::entry::EntryEvent;
use oatpier_membership::members::{
    LostRegistrar, MemberPhase, MemberState, PathEvidence, TableLimits,
};

use crate::support::fleet::{Fleet, Shape};
use crate::support::network::{OneWayCut, Side};
use crate::support::seconds;

fn agents(fleet: &Fleet) -> std::ops::Range<usize> {
    fleet.entries..fleet.processes.len()
}

fn states_are(fleet: &Fleet, agent: usize, wanted: MemberState) -> bool {
    let zone = &fleet.processes[agent].contact.zone;
    let entries = (0..fleet.entries).filter(|index| fleet.is_up(*index));
    entries
        .filter(|index| fleet.processes[*index].contact.zone == *zone)
        .all(|index| fleet.state(index, agent) == Some(wanted))
}

fn settled_fleet(limits: TableLimits) -> Fleet {
    let mut fleet = Fleet::new(
        Shape {
            limits,
            ..Shape::zoned()
        },
        3,
    );
    fleet.accept(1, "first");
    fleet.run_for(seconds(20));
    assert!(agents(&fleet).all(|agent| states_are(&fleet, agent, MemberState::Alive)));
    fleet
}

/// Counts how often any entry saw an agent gone after `from`.
fn agents_gone(fleet: &Fleet, from: oatpier_types::clock::ClockTime) -> usize {
    let entries = &fleet.processes[..fleet.entries];
    let changes = entries.iter().flat_map(|entry| &entry.changes);
    changes
        .filter(|(at, change)| {
            *at > from
                && change.state == MemberState::Gone
                && fleet.index(&change.daemon) >= fleet.entries
        })
        .count()
}

/// An entry dies, with the registrations of its agents. The agents keep serving; only the directory
/// entry is lost. They register with the next entry in rank, and no entry counts any of them as
/// gone meanwhile. If their rows were dropped, healthy endpoints would get no work until they had
/// registered again.
#[test]
fn agents_stay_alive_when_a_registrar_dies() {
    for (policy, agents_removed) in [(LostRegistrar::Keep, false), (LostRegistrar::Drop, true)] {
        let limits = TableLimits {
            lost_registrar: policy,
            ..TableLimits::default()
        };
        let mut fleet = settled_fleet(limits);
        let died = fleet.now;
        fleet.kill(0);
        fleet.run_for(seconds(60));
        assert_eq!(agents_gone(&fleet, died) > 0, agents_removed, "{policy:?}");
        assert!(agents(&fleet).all(|agent| states_are(&fleet, agent, MemberState::Alive)));
        for agent in agents(&fleet) {
            let registrars = fleet.agent(agent).heartbeats().registrars();
            assert!(
                registrars
                    .map(|contact| fleet.index(&contact.daemon))
                    .all(|index| index != 0)
            );
        }
    }
}

/// Both registrars of an agent die at the same moment. No live entry votes on it until it has found
/// two others, and it serves the whole time.
#[test]
fn agent_survives_the_death_of_both_registrars() {
    let mut fleet = settled_fleet(TableLimits::default());
    let agent = fleet.entries;
    let both = fleet.agent(agent).heartbeats().registrars();
    let both: Vec<usize> = both.map(|contact| fleet.index(&contact.daemon)).collect();
    assert_eq!(both.len(), 2);
    let died = fleet.now;
    for index in both {
        fleet.kill(index);
    }
    fleet.run_for(seconds(60));
    assert_eq!(agents_gone(&fleet, died), 0);
    assert!(states_are(&fleet, agent, MemberState::Alive));
}

#[test]
fn dead_agent_is_gone_everywhere_until_it_restarts() {
    let mut fleet = settled_fleet(TableLimits::default());
    let agent = fleet.entries + 1;
    fleet.kill(agent);
    let took = fleet.run_until(seconds(15), |fleet| {
        states_are(fleet, agent, MemberState::Gone)
    });
    assert!(took.is_some());
    fleet.start(agent);
    let took = fleet.run_until(seconds(15), |fleet| {
        states_are(fleet, agent, MemberState::Alive)
    });
    assert!(took.is_some());
}

/// An agent's messages to one registrar are lost, those to the other arrive. The first registrar
/// votes it silent. That vote alone would remove an endpoint that every caller reaches; the vote of
/// the second registrar keeps it, and it does not even become suspect.
#[test]
fn one_registrar_without_heartbeats_removes_no_agent() {
    let mut fleet = settled_fleet(TableLimits::default());
    let cut_at = fleet.now;
    let agent = fleet.entries;
    let first = fleet.agent(agent).heartbeats().registrars().next();
    let registrar = first.expect("a registrar").daemon.clone();
    let daemon = fleet.contact(agent).daemon;
    fleet.network.cuts.push(OneWayCut {
        from: Side::Process(daemon.clone()),
        to: Side::Process(registrar),
    });
    fleet.run_for(seconds(120));
    let entries = &fleet.processes[..fleet.entries];
    let changes = entries.iter().flat_map(|entry| &entry.changes);
    let changes = changes.filter(|(at, change)| *at > cut_at && change.daemon == daemon);
    assert_eq!(changes.count(), 0);
}

/// Two entries can't reach a third for ten minutes; all others can. The two vote it silent, which
/// removes it everywhere. It refutes the votes and is present again, until they vote again. Every
/// table would change every few seconds, so it refutes with increasing delay.
#[test]
fn entry_that_two_others_cannot_reach_does_not_flap() {
    let mut fleet = settled_fleet(TableLimits::default());
    let cut_at = fleet.now;
    let target = fleet.contact(0).daemon;
    for index in [2, 4] {
        fleet.network.cuts.push(OneWayCut {
            from: Side::Process(fleet.contact(index).daemon),
            to: Side::Process(target.clone()),
        });
    }
    fleet.run_for(seconds(600));
    let changes = fleet.processes[6].changes.iter();
    let gone = changes.filter(|(at, change)| {
        *at > cut_at && change.daemon == target && change.state == MemberState::Gone
    });
    let count = gone.count();
    assert!(
        (1..=15).contains(&count),
        "gone {count} times in ten minutes"
    );
}

/// An agent's VM is paused for ten seconds out of every fifteen. Each time its registrars count it
/// as silent, and each time it recovers. Every entry would move work to it and away again. It must
/// be reachable for longer each time before it counts as present.
#[test]
fn repeatedly_paused_agent_does_not_flap() {
    let mut fleet = settled_fleet(TableLimits::default());
    let start = fleet.now;
    let agent = fleet.entries + 2;
    for _ in 0..20 {
        fleet.pause(agent, seconds(10));
        fleet.run_for(seconds(15));
    }
    let daemon = fleet.contact(agent).daemon;
    let changes = fleet.processes[2].changes.iter();
    let gone = changes.filter(|(at, change)| {
        *at > start && change.daemon == daemon && change.state == MemberState::Gone
    });
    let count = gone.count();
    assert!(count <= 3, "gone {count} times in 20 pauses");
    fleet.run_for(seconds(90));
    assert!(states_are(&fleet, agent, MemberState::Alive));
}

/// An endpoint is about to stop. Its agent reports this to both registrars at once, and within a
/// few seconds no entry may send it new work, although a fifth of the round trips are lost.
#[test]
fn a_leaving_agent_is_known_within_seconds() {
    let mut fleet = settled_fleet(TableLimits::default());
    fleet.network.loss = 0.1;
    let agent = fleet.entries + 3;
    fleet.agent_event(agent, AgentEvent::Phase(MemberPhase::Leaving));
    let took = fleet.run_until(seconds(5), |fleet| {
        states_are(fleet, agent, MemberState::Leaving)
    });
    assert!(took.is_some());
    fleet.agent_event(agent, AgentEvent::Phase(MemberPhase::Left));
    let took = fleet.run_until(seconds(5), |fleet| {
        states_are(fleet, agent, MemberState::Gone)
    });
    assert!(took.is_some());
}

/// Evidence from the data path takes precedence over votes. An entry whose own attempts fail
/// suspects the agent at once, and one whose attempts are answered uses the agent regardless of the
/// registrars' votes.
#[test]
fn own_evidence_takes_precedence_over_votes() {
    let mut fleet = settled_fleet(TableLimits::default());
    let agent = fleet.entries;
    let daemon = fleet.contact(agent).daemon;
    let note = |evidence| EntryEvent::Path {
        daemon: daemon.clone(),
        evidence,
    };
    fleet.entry_event(0, note(PathEvidence::Failed));
    assert_eq!(fleet.state(0, agent), Some(MemberState::Suspect));
    assert_eq!(fleet.state(2, agent), Some(MemberState::Alive));
    fleet.kill(agent);
    fleet.run_for(seconds(30));
    assert_eq!(fleet.state(0, agent), Some(MemberState::Gone));
    fleet.entry_event(0, note(PathEvidence::Answered));
    assert_eq!(fleet.state(0, agent), Some(MemberState::Alive));
}

/// An agent restarts, and a heartbeat of its earlier boot arrives last. If it were accepted, it
/// would bring back weights that are no longer loaded.
#[test]
fn restarted_agent_replaces_its_earlier_boot() {
    let mut fleet = settled_fleet(TableLimits::default());
    let agent = fleet.entries;
    fleet.kill(agent);
    fleet.start(agent);
    fleet.run_for(seconds(5));
    assert!(fleet.agent(agent).heartbeats().incarnation() > 0);
    let daemon = fleet.contact(agent).daemon;
    let boot = |fleet: &Fleet, entry: usize| {
        let view = fleet.entry(entry).table().get(&daemon).expect("a row");
        view.facts.boot
    };
    let zone = fleet.contact(agent).zone;
    let near: Vec<usize> = (0..fleet.entries)
        .filter(|index| fleet.contact(*index).zone == zone)
        .collect();
    let boots: Vec<_> = near.iter().map(|index| boot(&fleet, *index)).collect();
    assert!(boots.iter().all(|other| *other == boots[0]));
    assert!(states_are(&fleet, agent, MemberState::Alive));
}
