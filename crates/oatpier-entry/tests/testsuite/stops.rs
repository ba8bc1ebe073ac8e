//! Planned stops wait for replacements.

use std::time::Duration;

use oatpier_entry::peers::stops::StopGate;
use oatpier_membership::entry::{EntryEvent, EntryMember};
use oatpier_membership::members::{MemberPhase, TableLimits};
use oatpier_membership::messages::{AgentHeartbeat, HeartbeatBody, NamedStop, PeerCall};
use oatpier_membership::stops::StopRequest;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{BootId, Generation, Revision};
use oatpier_types::names::{DaemonName, EndpointName, ModelName, PoolName, VersionName, ZoneName};
use oatpier_types::status::{EndpointStatus, QueueReport};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::support::contact;

fn agent(number: u16) -> DaemonName {
    DaemonName::try_from(format!("agent-{number}")).unwrap()
}

fn weights(model: &str) -> WeightsKey {
    WeightsKey {
        model: ModelName::try_from(model).unwrap(),
        adapter: None,
        version: VersionName::try_from("v1").unwrap(),
    }
}

fn stop(number: u16, withdrawn: bool) -> NamedStop {
    NamedStop {
        daemon: agent(number),
        request: StopRequest {
            revision: Revision(10 + u64::from(withdrawn)),
            withdrawn,
        },
    }
}

/// An entry that registers agents.
struct Registrar {
    member: EntryMember<FleetConfig>,
    now: ClockTime,
    beats: u64,
}

impl Registrar {
    fn new() -> Self {
        let now = ClockTime::ZERO;
        let mut generator = ChaCha8Rng::seed_from_u64(1);
        let limits = TableLimits::default();
        let (own, boot) = (contact(0), BootId(1));
        let member = EntryMember::new(own, boot, Vec::new(), limits, &mut generator, now);
        Self {
            member,
            now,
            beats: 0,
        }
    }

    /// An agent says that it has these models ready.
    fn beat(&mut self, number: u16, models: &[&str]) {
        self.beats += 1;
        let report = QueueReport {
            boot: BootId(number.into()),
            sequence: self.beats,
            queued: 0,
            running: 0,
            slots: 16,
            wait: Duration::ZERO,
            prompt_token_ns: 0,
            step_us: 0,
            accepting: true,
        };
        let status = EndpointStatus {
            endpoint: EndpointName::try_from(format!("seat-llm-{number}")).unwrap(),
            pool: PoolName::try_from("seat-llm").unwrap(),
            zone: ZoneName::try_from("ikeja").unwrap(),
            ready: models
                .iter()
                .map(|model| weights(model))
                .collect::<SmallVec<_>>(),
            ready_sequence: self.beats,
            generation: Generation(1),
            queue: report,
        };
        let heartbeat = AgentHeartbeat {
            daemon: agent(number),
            zone: ZoneName::try_from("ikeja").unwrap(),
            address: contact(100 + number).address,
            boot: BootId(number.into()),
            incarnation: 1,
            phase: MemberPhase::Serving,
            generation: Generation(1),
            entries_digest: 0,
            body: HeartbeatBody::Full(Box::new(status)),
        };
        let call = PeerCall::Heartbeat(Box::new(heartbeat));
        let _ = self.member.answer(call, self.now);
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
    }
}

/// An operator plans the stop of the only holder of a model. Its agent is not told before another
/// endpoint has the model ready: told at once, it would leave, and callers would be refused while
/// the model is being loaded elsewhere.
#[test]
fn the_only_holder_is_told_once_there_is_a_replacement() {
    let mut registrar = Registrar::new();
    registrar.beat(1, &["tables", "halls"]);
    registrar.beat(2, &["halls"]);
    let mut gate = StopGate::default();
    let now = registrar.now;
    assert_eq!(gate.take_one(stop(1, false), &registrar.member, now), None);
    assert!(
        gate.holds(&agent(1)),
        "the planner is to know of it meanwhile"
    );
    assert_eq!(gate.due(&registrar.member, now), []);
    registrar.beat(2, &["halls", "tables"]);
    assert_eq!(gate.due(&registrar.member, now), [stop(1, false)]);
    assert!(!gate.holds(&agent(1)));
}

/// Both holders of a model are to stop at once. Each would count as the other's replacement, and
/// the model would be gone: neither is told until a third has it.
#[test]
fn two_that_stop_are_no_replacement_for_each_other() {
    let mut registrar = Registrar::new();
    registrar.beat(1, &["tables"]);
    registrar.beat(2, &["tables"]);
    let mut gate = StopGate::default();
    let now = registrar.now;
    let listed = vec![stop(1, false), stop(2, false)];
    let told = gate.take_list(listed, &registrar.member, now);
    // The first may go, as the second still serves; the second has to stay for now.
    assert_eq!(told, [stop(1, false)]);
    let _ = registrar
        .member
        .handle(EntryEvent::StopsListed(told), registrar.now);
    assert_eq!(gate.due(&registrar.member, now), []);
    registrar.beat(3, &["tables"]);
    assert_eq!(gate.due(&registrar.member, now), [stop(2, false)]);
}

/// No replacement ever comes, as there is no memory for one, which the operator was told before.
/// The stop is not put off for ever. One that is withdrawn meanwhile is not told at all.
#[test]
fn a_stop_without_replacement_is_told_in_the_end_and_a_withdrawn_one_never() {
    let mut registrar = Registrar::new();
    registrar.beat(1, &["tables"]);
    registrar.beat(2, &["halls"]);
    let mut gate = StopGate::default();
    for number in [1, 2] {
        let now = registrar.now;
        assert_eq!(
            gate.take_one(stop(number, false), &registrar.member, now),
            None
        );
    }
    let now = registrar.now;
    let withdrawn = gate.take_one(stop(2, true), &registrar.member, now);
    assert_eq!(withdrawn, Some(stop(2, true)));
    registrar.pass(Duration::from_mins(1));
    assert_eq!(gate.due(&registrar.member, registrar.now), []);
    registrar.pass(Duration::from_mins(1));
    assert_eq!(gate.due(&registrar.member, registrar.now), [stop(1, false)]);
}
