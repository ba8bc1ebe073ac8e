//! Builders and helpers shared by the tests.

use std::time::Duration;

use oatpier_policy::action::{EntryAction, EntryActions};
use oatpier_policy::entry::{EntryPolicy, EntrySettings};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::FinalAnswer;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{
    ClassSpec, ClassTarget, FleetConfig, ModelSpec, PoolKind, PoolSpec, RegionSpec,
};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::{
    AdapterName, ClassName, EndpointName, ModelName, PoolName, RegionName, VersionName, ZoneName,
};
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::{AttemptSpec, PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::status::{EndpointStatus, QueueReport};
use oatpier_types::verdict::Repeat;

pub(crate) const ZONES: [&str; 3] = ["ikeja", "lekki", "yaba"];

/// Target of class `draft` for the first token.
pub(crate) const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(320);

/// Target of class `apply` for the whole answer.
pub(crate) const WHOLE_ANSWER_TARGET: Duration = Duration::from_secs(2);

pub(crate) fn name<N: for<'a> TryFrom<&'a str, Error = E>, E: std::fmt::Debug>(raw: &str) -> N {
    N::try_from(raw).expect("a valid name")
}

pub(crate) fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000 + millis)
}

pub(crate) fn model_goal(model: &str) -> RequestGoal {
    RequestGoal::Model {
        model: name(model),
        adapter: None,
    }
}

pub(crate) fn service_goal() -> RequestGoal {
    RequestGoal::Service {
        pool: name("plan-api"),
    }
}

pub(crate) fn weights(model: &str, adapter: Option<&str>) -> WeightsKey {
    WeightsKey {
        model: name(model),
        adapter: adapter.map(name::<AdapterName, _>),
        version: name::<VersionName, _>("v1"),
    }
}

pub(crate) fn queue_report(boot: u128, sequence: u64, wait_ms: u64) -> QueueReport {
    QueueReport {
        boot: BootId(boot),
        sequence,
        queued: 0,
        running: 0,
        slots: 8,
        wait: Duration::from_millis(wait_ms),
        prompt_token_ns: 20_000,
        step_us: 5_000,
        accepting: true,
    }
}

pub(crate) fn status(
    endpoint: &str,
    pool: &str,
    zone: &str,
    ready: &[WeightsKey],
) -> EndpointStatus {
    EndpointStatus {
        endpoint: name(endpoint),
        pool: name::<PoolName, _>(pool),
        zone: name::<ZoneName, _>(zone),
        ready: ready.iter().cloned().collect(),
        ready_sequence: 1,
        generation: oatpier_types::ids::Generation(1),
        queue: queue_report(1, 1, 0),
    }
}

pub(crate) fn config() -> FleetConfig {
    let mut config = FleetConfig::default();
    let zones = ZONES.iter().map(|zone| name(zone)).collect();
    config
        .regions
        .insert(name::<RegionName, _>("lagos"), RegionSpec { zones });
    for (class, target) in [
        ("draft", stream_target()),
        (
            "apply",
            ClassTarget::Whole {
                answer: WHOLE_ANSWER_TARGET,
            },
        ),
    ] {
        let spec = ClassSpec {
            target,
            attain: 0.95,
        };
        config.classes.insert(name(class), spec);
    }
    for model in ["seat", "hall"] {
        let spec = ModelSpec {
            version: name("v1"),
            pool: name("seat-llm"),
            memory_mib: 100,
            class: name("draft"),
        };
        config.models.insert(name::<ModelName, _>(model), spec);
    }
    config.pools.insert(name("plan-api"), service_pool());
    config
}

fn stream_target() -> ClassTarget {
    ClassTarget::Stream {
        first_token: FIRST_TOKEN_TARGET,
        between_tokens: Duration::from_millis(33),
    }
}

fn service_pool() -> PoolSpec {
    let kind = PoolKind::Service {
        class: name("apply"),
        slots: 8,
        once: Vec::new(),
    };
    PoolSpec {
        kind,
        endpoints: indexmap::IndexMap::new(),
    }
}

/// Creates the policy of an entry in the first zone, with `engines` engines and `services` service
/// endpoints spread over the zones. Each engine has model `seat` ready.
pub(crate) fn policy(engines: usize, services: usize, seed: u64) -> EntryPolicy {
    policy_with(EntrySettings::default(), engines, services, seed)
}

pub(crate) fn policy_with(
    settings: EntrySettings,
    engines: usize,
    services: usize,
    seed: u64,
) -> EntryPolicy {
    let mut policy = EntryPolicy::new(settings, name(ZONES[0]), seed);
    policy.apply_config(&config());
    for number in 0..engines {
        let ready = [weights("seat", None)];
        let row = status(
            &format!("engine-{number}"),
            "seat-llm",
            ZONES[number % 3],
            &ready,
        );
        policy.on_status(&row, at(0));
    }
    for number in 0..services {
        let row = status(&format!("api-{number}"), "plan-api", ZONES[number % 3], &[]);
        policy.on_status(&row, at(0));
    }
    policy
}

/// Returns a streamed request to model `seat`, idempotent and resumable.
pub(crate) fn stream_request(number: u128) -> RequestIntake {
    RequestIntake {
        request: RequestId(number),
        goal: model_goal("seat"),
        class: name::<ClassName, _>("draft"),
        caller: name("hall-manager"),
        repeat: Repeat::Idempotent,
        key: None,
        tokens: TokenDemand {
            prompt: 200,
            output: 50,
        },
        prefixes: PrefixChain::new(),
        resumable: true,
    }
}

/// Returns a keyed call to the plain service that may run at most once.
pub(crate) fn at_most_once_call(number: u128) -> RequestIntake {
    RequestIntake {
        goal: service_goal(),
        class: name("apply"),
        repeat: Repeat::AtMostOnce,
        key: Some(7),
        tokens: TokenDemand::default(),
        resumable: false,
        ..stream_request(number)
    }
}

/// Returns a call to the plain service that may run more than once.
pub(crate) fn idempotent_call(number: u128) -> RequestIntake {
    RequestIntake {
        repeat: Repeat::Idempotent,
        key: None,
        ..at_most_once_call(number)
    }
}

pub(crate) fn sent(actions: &EntryActions) -> Option<(EndpointName, &AttemptSpec)> {
    actions.iter().find_map(|action| match action {
        EntryAction::Send { endpoint, spec } | EntryAction::Resume { endpoint, spec } => {
            Some((endpoint.clone(), &**spec))
        }
        _ => None,
    })
}

pub(crate) fn sent_attempt(actions: &EntryActions) -> AttemptId {
    sent(actions).expect("an attempt is sent").1.attempt
}

pub(crate) fn answer(actions: &EntryActions) -> Option<FinalAnswer> {
    actions.iter().find_map(|action| match action {
        EntryAction::Answer(answer) => Some(*answer),
        _ => None,
    })
}

pub(crate) fn refused(attempt: AttemptId, cause: RefusalCause) -> EntryEvent {
    EntryEvent::Refused {
        attempt,
        refusal: Refusal {
            cause,
            retry_after: Some(Duration::from_millis(700)),
        },
        report: None,
    }
}

pub(crate) fn first_frame(attempt: AttemptId) -> EntryEvent {
    EntryEvent::FirstFrame {
        attempt,
        report: None,
    }
}

pub(crate) fn ended(attempt: AttemptId) -> EntryEvent {
    EntryEvent::Ended {
        attempt,
        report: None,
    }
}

/// Starts a request, grants its claim if it makes one, and returns its first attempt.
pub(crate) fn start_and_send(
    policy: &mut EntryPolicy,
    intake: RequestIntake,
) -> (AttemptId, EndpointName) {
    let request = intake.request;
    let mut actions = policy.start(intake, at(0));
    if matches!(actions.first(), Some(EntryAction::Claim { .. })) {
        actions = policy.handle(request, &EntryEvent::ClaimGranted, at(0));
    }
    let (endpoint, spec) = sent(&actions).expect("an attempt is sent");
    (spec.attempt, endpoint)
}

/// Fires the timers due at `now` and returns the actions; for tests with one request in flight.
pub(crate) fn fire_due(policy: &mut EntryPolicy, now: ClockTime) -> EntryActions {
    let mut fired = Vec::new();
    policy.fire_timers(now, &mut fired);
    fired.into_iter().flat_map(|(_, actions)| actions).collect()
}
