//! Planned stops are delayed until replacements are ready.

use std::time::Duration;

use oatpier_entry::peers::stops::StopQueue;
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

/// Entry with which agents are registered.
struct Registrar {
    member: EntryMember<FleetConfig>,
    now: ClockTime,
    heartbeats: u64,
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
            heartbeats: 0,
        }
    }

    /// Receives a heartbeat of an agent that has these models ready.
    fn heartbeat(&mut self, number: u16, models: &[&str]) {
        self.heartbeats += 1;
        let report = QueueReport {
            boot: BootId(number.into()),
            sequence: self.heartbeats,
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
            ready_sequence: self.heartbeats,
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

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
    }
}

/// An operator requests the stop of the only holder of a model. Its agent must not be told before
/// another endpoint has the model ready: otherwise it would leave, and requests would be refused
/// while the model is being loaded elsewhere.
#[test]
fn stop_of_the_only_holder_is_released_once_a_replacement_is_ready() {
    let mut registrar = Registrar::new();
    registrar.heartbeat(1, &["tables", "halls"]);
    registrar.heartbeat(2, &["halls"]);
    let mut queue = StopQueue::default();
    let now = registrar.now;
    assert_eq!(queue.apply(stop(1, false), &registrar.member, now), None);
    assert!(
        queue.contains(&agent(1)),
        "the planner needs to know of the delayed stop"
    );
    assert_eq!(queue.take_due(&registrar.member, now), []);
    registrar.heartbeat(2, &["halls", "tables"]);
    assert_eq!(queue.take_due(&registrar.member, now), [stop(1, false)]);
    assert!(!queue.contains(&agent(1)));
}

/// Both holders of a model are to stop at once. If each counted as the other's replacement, the
/// model would be gone. The second holder must not be told until a third one has the model.
#[test]
fn two_stopping_holders_do_not_replace_each_other() {
    let mut registrar = Registrar::new();
    registrar.heartbeat(1, &["tables"]);
    registrar.heartbeat(2, &["tables"]);
    let mut queue = StopQueue::default();
    let now = registrar.now;
    let listed = vec![stop(1, false), stop(2, false)];
    let released = queue.apply_list(listed, &registrar.member, now);
    // The first may stop, because the second still serves; the second has to stay for now.
    assert_eq!(released, [stop(1, false)]);
    let _ = registrar
        .member
        .handle(EntryEvent::StopsListed(released), registrar.now);
    assert_eq!(queue.take_due(&registrar.member, now), []);
    registrar.heartbeat(3, &["tables"]);
    assert_eq!(queue.take_due(&registrar.member, now), [stop(2, false)]);
}

/// No replacement ever becomes ready, because there is no memory for one, as the operator was
/// warned. The stop is not delayed forever. A stop that is withdrawn in the meantime is never
/// released as a stop.
#[test]
fn a_stop_without_replacement_is_released_after_the_maximum_delay_unless_withdrawn() {
    let mut registrar = Registrar::new();
    registrar.heartbeat(1, &["tables"]);
    registrar.heartbeat(2, &["halls"]);
    let mut queue = StopQueue::default();
    for number in [1, 2] {
        let now = registrar.now;
        assert_eq!(
            queue.apply(stop(number, false), &registrar.member, now),
            None
        );
    }
    let now = registrar.now;
    let withdrawn = queue.apply(stop(2, true), &registrar.member, now);
    assert_eq!(withdrawn, Some(stop(2, true)));
    registrar.advance(Duration::from_mins(1));
    assert_eq!(queue.take_due(&registrar.member, registrar.now), []);
    registrar.advance(Duration::from_mins(1));
    assert_eq!(
        queue.take_due(&registrar.member, registrar.now),
        [stop(1, false)]
    );
}
