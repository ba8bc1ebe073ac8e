//! Message sizes at the design size: 340 entries, 3,500 agents, 490 models.

use oatpier_membership::members::{
    MemberFacts, MemberKind, MemberPhase, MemberRow, Reachability, WitnessVote,
};
use oatpier_membership::messages::{AgentHeartbeat, HeartbeatAnswer, HeartbeatBody, PeerCall};
use oatpier_types::ids::{BootId, Generation};
use serde::Serialize;

use crate::support::fleet::{Fleet, HEADER_BYTES, Shape};
use crate::support::payload::TestConfig;
use crate::support::{contact, daemon, queue_report, seconds, status, zone};

const BUDGET: u64 = 23_000;

fn size(message: &impl Serialize) -> u64 {
    rmp_serde::to_vec(message).expect("a message").len() as u64 + HEADER_BYTES
}

fn heartbeat() -> PeerCall<TestConfig> {
    PeerCall::Heartbeat(Box::new(AgentHeartbeat {
        daemon: daemon("agent-waikato-hamilton-a-0417"),
        zone: zone("waikato-hamilton-a"),
        address: contact("agent", "zone-0", 1).address,
        boot: BootId(u128::MAX),
        incarnation: 12,
        phase: MemberPhase::Serving,
        generation: Generation(400_000),
        entries_digest: u64::MAX,
        body: HeartbeatBody::QueueReport {
            ready_sequence: 100_000,
            report: queue_report(BootId(u128::MAX), 1_000_000),
        },
    }))
}

fn full_row() -> MemberRow {
    let models: Vec<String> = (0..8)
        .map(|index| format!("seat-drafting-model-{index}"))
        .collect();
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    let vote = |witness: &str| WitnessVote {
        witness: daemon(witness),
        about: 3,
        order: (3, 10_000),
        reachability: Reachability::Reachable,
    };
    MemberRow {
        facts: MemberFacts {
            daemon: daemon("agent-waikato-hamilton-a-0417"),
            zone: zone("waikato-hamilton-a"),
            address: contact("agent", "zone-0", 1).address,
            boot: BootId(u128::MAX),
            incarnation: 3,
            phase: MemberPhase::Serving,
            generation: Generation(400_000),
            kind: MemberKind::Agent(Box::new(status(
                "waikato-hamilton-a-0417",
                "waikato-hamilton-a",
                BootId(u128::MAX),
                &models,
            ))),
        },
        votes: [vote("entry-waikato-a-17"), vote("entry-waikato-a-31")]
            .into_iter()
            .collect(),
    }
}

/// Heartbeats are most of an entry's traffic; with long names they must take under half of its byte
/// budget.
#[test]
fn heartbeats_take_under_half_the_byte_budget() {
    let answer = HeartbeatAnswer {
        generation: Generation(400_000),
        need_full: false,
        former: None,
        entries: None,
        stop: None,
    };
    let pair = size(&heartbeat()) + size(&answer);
    let heard_per_second = 3_500_u64.div_ceil(340);
    let carried = heard_per_second * pair;
    assert!(carried < BUDGET / 2, "{carried} bytes a second");
    assert!(
        size(&full_row()) - HEADER_BYTES < 800,
        "{}",
        size(&full_row())
    );
}

/// A group with the same density as at the design size, without faults: the bytes of every process
/// stay in the budget. `examples/spread_cost.rs` runs the design size.
#[test]
fn every_process_stays_within_its_byte_budget() {
    let shape = Shape {
        entries: 16,
        agents: 166,
        ..Shape::zoned()
    };
    let mut fleet = Fleet::new(shape, 9);
    fleet.accept(1, "first");
    fleet.run_for(seconds(30));
    fleet.measure = true;
    for change in 0..3 {
        fleet.accept(change, "another");
        fleet.run_for(seconds(8));
    }
    let most = fleet
        .processes
        .iter()
        .map(|process| process.bytes / 24)
        .max();
    assert!(
        most.is_some_and(|most| most < BUDGET),
        "{most:?} bytes a second"
    );
}
