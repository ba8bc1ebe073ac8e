//! Tests of single decisions about the version of a stream.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oatpier_serving::origins::{
    HOLDERS, HolderRecords, LookupStep, ObservedVersions, OriginRecord, OriginTracker,
    ResumedStream, StreamKey, StreamOrigin, StreamStart, UnknownCause,
};
use oatpier_types::names::WorkspaceName;

use crate::support::{at, config_with_resumable_route, service, version};

const TIMEOUT: Duration = Duration::from_secs(4);
const MAX_AGE: Duration = Duration::from_secs(2);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, number], 7_380))
}

fn tracker(is_first_start: bool) -> OriginTracker {
    let mut tracker = OriginTracker::new(address(1), is_first_start);
    tracker.apply_config(&config_with_resumable_route(TIMEOUT));
    tracker
}

fn observe(tracker: &mut OriginTracker, versions: &[&str], now_ms: u64) {
    let versions: Vec<_> = versions.iter().map(|text| version(text)).collect();
    let observed = ObservedVersions::of(versions.iter().map(Some)).unwrap();
    tracker.observe(&service(), &observed, at(now_ms));
}

fn begin(
    tracker: &mut OriginTracker,
    attempt: &str,
    text: Option<&str>,
    now_ms: u64,
) -> Option<usize> {
    let begun_at = text.map(version);
    let start = StreamStart {
        workspace: None,
        attempt,
        service: &service(),
        version: begun_at.as_ref(),
        timeout: TIMEOUT,
    };
    tracker
        .record(&start, at(now_ms))
        .map(|records| records.len())
}

/// Returns the version that is found without asking, or why there is none.
fn found(tracker: &mut OriginTracker, attempt: &str, now_ms: u64) -> Result<String, LookupStep> {
    let key = StreamKey::new(None, attempt);
    found_by_key(tracker, key, Duration::ZERO, now_ms)
}

fn found_by_key(
    tracker: &mut OriginTracker,
    key: StreamKey,
    age: Duration,
    now_ms: u64,
) -> Result<String, LookupStep> {
    let stream_service = service();
    let stream = ResumedStream {
        service: &stream_service,
        key,
    };
    let lookup = tracker
        .look_up(stream, Some(age), MAX_AGE, at(now_ms))
        .lookup;
    match lookup.step(true) {
        LookupStep::Known(origin, ..) => Ok(origin.version.to_string()),
        step => Err(step),
    }
}

const UNKNOWN: LookupStep = LookupStep::Unknown(UnknownCause::NoRecord);
const NO_ANSWER: LookupStep = LookupStep::Unknown(UnknownCause::NoAnswer);

/// A gateway that has just started must not take the only version that it sees for the one of any stream.
#[test]
fn the_only_version_counts_only_once_it_has_served_for_longer_than_a_stream() {
    let mut started = tracker(false);
    observe(&mut started, &["v2", "v2"], 1_000);
    assert_eq!(found(&mut started, "a", 4_900), Err(UNKNOWN));
    assert_eq!(found(&mut started, "a", 5_000), Ok("v2".to_owned()));
    let mut first = tracker(true);
    observe(&mut first, &["v1"], 1_000);
    assert_eq!(found(&mut first, "a", 1_100), Ok("v1".to_owned()));
}

/// A version that has just replaced another one is not the version of streams that began before.
#[test]
fn a_new_only_version_is_not_that_of_earlier_streams() {
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1"], 0);
    assert_eq!(begin(&mut tracker, "a", Some("v1"), 9_900), None);
    observe(&mut tracker, &["v2"], 10_000);
    assert_eq!(found(&mut tracker, "a", 10_100), Err(UNKNOWN));
    assert_eq!(begin(&mut tracker, "a", Some("v1"), 10_200), Some(0));
    assert_eq!(found(&mut tracker, "a", 10_300), Ok("v1".to_owned()));
    assert_eq!(begin(&mut tracker, "b", Some("v2"), 10_200), Some(0));
    assert_eq!(found(&mut tracker, "b", 10_300), Ok("v2".to_owned()));
    assert_eq!(found(&mut tracker, "c", 14_100), Ok("v2".to_owned()));
}

/// A gateway whose registry is old must not rely on the version in it.
#[test]
fn an_old_registry_does_not_show_which_version_serves_alone() {
    let mut tracker = tracker(false);
    observe(&mut tracker, &["v1"], 0);
    let key = StreamKey::new(None, "a");
    let current = found_by_key(&mut tracker, key, MAX_AGE, 20_000);
    assert_eq!(current, Ok("v1".to_owned()));
    let old = found_by_key(&mut tracker, key, TIMEOUT, 20_000);
    assert_eq!(old, Err(UNKNOWN));
}

/// A new version may have been registered since this gateway has read the registry. The holders know of streams that began
/// there, so one of them has to answer.
#[test]
fn a_gateway_relies_on_the_only_version_that_it_sees_only_after_an_answer() {
    let (mut own, mut holder) = (tracker(true), OriginTracker::new(address(2), true));
    observe(&mut own, &["v1"], 0);
    observe(&mut holder, &["v1"], 0);
    own.set_gateways(vec![address(2)], 2, at(0));
    assert_eq!(found(&mut own, "a", 20_000), Err(NO_ANSWER));
    let mut step = |holder: &OriginTracker| {
        let stream_service = service();
        let stream = ResumedStream {
            service: &stream_service,
            key: StreamKey::new(None, "a"),
        };
        let age = Some(Duration::ZERO);
        let mut lookup = own.look_up(stream, age, MAX_AGE, at(20_000)).lookup;
        assert_eq!(lookup.step(false), LookupStep::Ask);
        lookup.add_answer(holder.attest(stream, age, at(20_000)));
        match lookup.step(false) {
            LookupStep::Known(origin, ..) => Ok(origin.version.to_string()),
            step => Err(step),
        }
    };
    assert_eq!(step(&holder), Ok("v1".to_owned()));
    observe(&mut holder, &["v1", "v2"], 19_500);
    begin(&mut holder, "a", Some("v2"), 19_600);
    assert_eq!(step(&holder), Ok("v2".to_owned()));
}

/// Guards against a stream that goes on at another version because a gateway that has just started, and does not know yet how
/// long streams may last, says that the only version has served for longer than that.
#[test]
fn a_gateway_without_a_configuration_does_not_say_which_version_serves_alone() {
    let (mut own, mut holder) = (tracker(false), OriginTracker::new(address(2), false));
    observe(&mut own, &["v2"], 1_000);
    observe(&mut holder, &["v2"], 1_000);
    own.set_gateways(vec![address(2)], 2, at(1_000));
    let stream_service = service();
    let stream = ResumedStream {
        service: &stream_service,
        key: StreamKey::new(None, "a"),
    };
    let age = Some(Duration::ZERO);
    let mut lookup = own.look_up(stream, age, MAX_AGE, at(1_100)).lookup;
    lookup.add_answer(holder.attest(stream, age, at(1_100)));
    assert_eq!(lookup.step(true), UNKNOWN);
}

/// A gateway that is cut off from most others must not take the absence of a record for an answer.
#[test]
fn a_gateway_without_the_others_does_not_conclude_from_missing_records() {
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1"], 0);
    tracker.set_gateways(vec![address(2), address(3)], 3, at(0));
    tracker.set_gateways(Vec::new(), 1, at(11_000));
    assert_eq!(found(&mut tracker, "a", 11_100), Err(NO_ANSWER));
}

/// Guards against a stream that goes on at a version that was not known when it began.
#[test]
fn a_stream_of_an_endpoint_without_a_known_version_does_not_go_on() {
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1", "v2"], 0);
    begin(&mut tracker, "a", None, 100);
    assert_eq!(found(&mut tracker, "a", 200), Err(UNKNOWN));
}

/// Callers choose the ids of their attempts. Two streams with one id must not continue each other.
#[test]
fn two_streams_with_one_id_at_two_versions_do_not_go_on() {
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1", "v2"], 0);
    begin(&mut tracker, "a", Some("v1"), 100);
    assert_eq!(found(&mut tracker, "a", 150), Ok("v1".to_owned()));
    begin(&mut tracker, "a", Some("v2"), 200);
    assert_eq!(found(&mut tracker, "a", 300), Err(UNKNOWN));
}

/// A caller must not learn anything of another workspace's stream.
#[test]
fn a_stream_of_another_workspace_is_unknown() {
    let name = |text| WorkspaceName::try_from(text).unwrap();
    let (one, other) = (name("one"), name("other"));
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1", "v2"], 0);
    let start = StreamStart {
        workspace: Some(&one),
        attempt: "a",
        service: &service(),
        version: Some(&version("v1")),
        timeout: TIMEOUT,
    };
    tracker.record(&start, at(100));
    let mut found = |workspace| {
        let key = StreamKey::new(Some(workspace), "a");
        found_by_key(&mut tracker, key, Duration::ZERO, 200)
    };
    assert_eq!(found(&one), Ok("v1".to_owned()));
    assert_eq!(found(&other), Err(UNKNOWN));
}

/// Records last for as long as a caller may return, whatever the sender states, and their number is bounded.
#[test]
fn records_expire_and_their_number_is_bounded() {
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1", "v2"], 0);
    begin(&mut tracker, "a", Some("v1"), 100);
    assert_eq!(found(&mut tracker, "a", 4_099), Ok("v1".to_owned()));
    assert_eq!(found(&mut tracker, "a", 4_100), Err(UNKNOWN));
    let record = |number: u32| OriginRecord {
        key: StreamKey::new(None, &number.to_string()),
        origin: Some(StreamOrigin {
            service: service(),
            version: version("v1"),
        }),
        expires_in_ms: u32::MAX,
    };
    tracker.keep((0..40_000).map(record).collect(), at(5_000));
    assert!(tracker.len() <= 1 << 14, "{} records", tracker.len());
    tracker.keep(vec![record(50_000)], at(65_001));
    assert_eq!(tracker.len(), 1);
}

/// Guards against a cost of a stream that grows with the number of gateways.
#[test]
fn a_stream_costs_as_many_messages_in_a_larger_fleet() {
    for gateways in [4_u32, 100, 357, 1_000] {
        let mut tracker = tracker(true);
        observe(&mut tracker, &["v1", "v2"], 0);
        let other = |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a08_0000 + number), 7_380));
        tracker.set_gateways((1..gateways).map(other).collect(), 1, at(0));
        for stream in 0..100 {
            let sent = begin(&mut tracker, &stream.to_string(), Some("v1"), 10);
            assert!(sent.unwrap() <= HOLDERS, "{gateways} gateways");
        }
        let repeated = tracker.take_repeated(at(20));
        let records: usize = repeated.iter().map(|batch| batch.records.len()).sum();
        assert!(records <= 100 * HOLDERS, "{gateways} gateways");
        assert!(repeated.len() <= records, "{gateways} gateways");
        assert!(tracker.take_repeated(at(20)).is_empty());
    }
}

/// Guards against records that leave with the engines of an earlier version, whose sidecars hold them.
#[test]
fn records_are_sent_to_the_sidecars_that_take_the_place_of_others() {
    let sidecar = |number: u8| SocketAddr::from(([10, 9, 1, number], 7_380));
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1", "v2"], 0);
    tracker.set_sidecars((1..=4).map(sidecar).collect());
    for stream in 0..50 {
        begin(&mut tracker, &stream.to_string(), Some("v1"), 10);
    }
    tracker.take_repeated(at(20));
    tracker.set_sidecars((5..=8).map(sidecar).collect());
    let sent = tracker.take_repeated(at(30));
    let records = |batch: &HolderRecords| batch.records.len();
    assert_eq!(sent.iter().map(records).sum::<usize>(), 100);
    assert!(sent.iter().all(|batch| batch.holder >= sidecar(5)));
    tracker.set_sidecars((5..=8).map(sidecar).collect());
    assert!(tracker.take_repeated(at(40)).is_empty());
}

/// Guards against a final refusal by a gateway that has just started and has no report of the others yet: they may know the
/// stream.
#[test]
fn a_gateway_that_awaits_reports_of_others_tells_when_to_return() {
    let mut tracker = tracker(false);
    observe(&mut tracker, &["v1"], 0);
    tracker.set_gateways(Vec::new(), 1, at(0));
    assert_eq!(found(&mut tracker, "a", 100), Err(UNKNOWN));
    tracker.set_gateways(Vec::new(), 5, at(200));
    assert_eq!(found(&mut tracker, "a", 300), Err(NO_ANSWER));
}

/// A lookup by the gateway of `own`, which hears of one other gateway, and that gateway's answer.
fn found_with_answer(
    own: &mut OriginTracker,
    other: &OriginTracker,
    other_age: Option<Duration>,
    now_ms: u64,
) -> Result<String, LookupStep> {
    let stream_service = service();
    let stream = ResumedStream {
        service: &stream_service,
        key: StreamKey::new(None, "a"),
    };
    let age = Some(Duration::ZERO);
    let mut lookup = own.look_up(stream, age, MAX_AGE, at(now_ms)).lookup;
    lookup.add_answer(other.attest(stream, other_age, at(now_ms)));
    match lookup.step(true) {
        LookupStep::Known(origin, ..) => Ok(origin.version.to_string()),
        step => Err(step),
    }
}

/// Returns the tracker of a gateway that knew five others and hears of one of them, after it was cut off.
fn returned_tracker() -> OriginTracker {
    let mut tracker = tracker(true);
    observe(&mut tracker, &["v1"], 0);
    tracker.set_gateways((2..=6).map(address).collect(), 6, at(0));
    tracker.note_registry_known(at(9_000));
    tracker.set_gateways(vec![address(2)], 6, at(14_000));
    tracker.note_registry_known(at(14_000));
    tracker
}

fn other_tracker(is_first_start: bool) -> OriginTracker {
    let mut other = OriginTracker::new(address(2), is_first_start);
    other.apply_config(&config_with_resumable_route(TIMEOUT));
    other.note_registry_known(at(14_000));
    other
}

/// Guards against a stream that goes on at another version at a gateway that was cut off while that version came and went. The only
/// gateway that it hears of has no record, but has seen both versions.
#[test]
fn a_gateway_that_was_cut_off_does_not_claim_that_there_was_one_version() {
    let mut own = returned_tracker();
    let mut other = other_tracker(true);
    observe(&mut other, &["v1"], 0);
    observe(&mut other, &["v1", "v2"], 10_000);
    observe(&mut other, &["v1"], 13_000);
    let found = found_with_answer(&mut own, &other, Some(Duration::ZERO), 14_100);
    assert_eq!(found, Err(NO_ANSWER));
}

/// Like the test above. The only gateway that it hears of has just started and knows nothing of earlier versions.
#[test]
fn a_gateway_that_was_cut_off_does_not_rely_on_one_that_has_just_started() {
    let mut own = returned_tracker();
    let mut other = other_tracker(false);
    observe(&mut other, &["v1"], 13_900);
    let found = found_with_answer(&mut own, &other, Some(Duration::ZERO), 14_100);
    assert_eq!(found, Err(NO_ANSWER));
}

/// A gateway that was cut off relies on one that has followed the registry all the while.
#[test]
fn a_gateway_that_was_cut_off_relies_on_one_that_was_not() {
    let mut own = returned_tracker();
    let mut other = other_tracker(true);
    observe(&mut other, &["v1"], 0);
    let found = found_with_answer(&mut own, &other, Some(Duration::ZERO), 14_100);
    assert_eq!(found, Ok("v1".to_owned()));
}

/// Guards against a stream that goes on at another version because a gateway without any knowledge of the registry has answered.
#[test]
fn an_answer_without_knowledge_of_the_registry_shows_nothing() {
    let mut own = tracker(true);
    observe(&mut own, &["v1"], 0);
    own.set_gateways(vec![address(2)], 2, at(0));
    let other = other_tracker(false);
    let found = found_with_answer(&mut own, &other, None, 14_100);
    assert_eq!(found, Err(UNKNOWN));
}
