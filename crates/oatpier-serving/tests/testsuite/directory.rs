//! Tests of the endpoint directory.

use oatpier_serving::choice;
use oatpier_serving::directory::{DirectoryChange, EndpointDirectory, EndpointRecord};
use oatpier_serving::engine::{EndpointLoad, StartTime};
use oatpier_serving::message::EngineStatus;
use oatpier_serving::prefill::SentPrompt;
use oatpier_types::names::{EndpointName, PoolName};

use crate::support::{at, directory, endpoint, millis, model, record, request, status, version};

#[test]
fn missing_entry_removes_the_endpoint_while_the_store_is_up() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 0)], at(0));
    let changes = directory.apply_registry(vec![record(1, &["m1"])], at(900));
    assert_eq!(changes, vec![DirectoryChange::Gone(endpoint("e2"))]);
}

#[test]
fn endpoint_draining_by_registry_or_sidecar_gets_no_requests() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 0)], at(0));
    let mut leaving = record(1, &["m1"]);
    leaving.draining = true;
    directory.apply_registry(vec![leaving, record(2, &["m1"])], at(10));
    let mut status = status(2, &["m1"], 0);
    status.number.number = 2;
    status.draining = true;
    directory.apply_status(status, at(20));
    assert!(!directory.row(&endpoint("e1")).unwrap().is_open(at(30)));
    assert!(!directory.row(&endpoint("e2")).unwrap().is_open(at(30)));
}

#[test]
fn expired_status_update_is_ignored() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    directory.apply_status(status(1, &["m2"], 0), at(0));
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(row.holds(&model("m2"), at(100)));
    assert!(row.holds(&model("m1"), at(5_000)));
}

#[test]
fn duplicate_or_reordered_status_update_is_ignored() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert!(!directory.apply_status(status(1, &["m2"], 9), at(10)));
    let row = directory.row(&endpoint("e1")).unwrap();
    assert_eq!(row.request_count(), 0);
}

/// Guards against refusals after a restart of engines. The registry lists the old name for one more
/// heartbeat, and the new engine rejects every request addressed to the old name. If the sidecar at the
/// address reports the new one for the same service, it replaces the old one immediately, and the old entry
/// does not bring the old name back.
#[test]
fn restarted_engine_replaces_its_predecessor() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.note_replaced(&endpoint("e1"), Some(&endpoint("e1b")), at(50));
    directory.apply_status(status_naming("e1b", 2), at(100));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(directory.row(&endpoint("e1b")).unwrap().is_open(at(100)));
    directory.apply_registry(vec![record(1, &["m1"])], at(200));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(directory.row(&endpoint("e1b")).is_some());
}

/// The address of an endpoint that is gone may now belong to another service. Without a sidecar that
/// reports the same service, requests must not be sent to the endpoint that responds there.
#[test]
fn unknown_endpoint_at_the_address_is_not_taken_for_a_restart() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    directory.note_replaced(&endpoint("e1"), Some(&endpoint("other")), at(100));
    assert!(directory.row(&endpoint("other")).is_none());
    assert!(!directory.row(&endpoint("e1")).unwrap().is_open(at(100)));
}

/// Guards against requests that run at an engine of another service. It got the address of an engine that crashed, and
/// the latest status update is still about the predecessor.
#[test]
fn a_status_of_the_predecessor_says_nothing_about_the_service_of_its_successor() {
    for instance in [None, Some(endpoint("e1"))] {
        let mut directory = EndpointDirectory::default();
        directory.apply_registry(vec![record(1, &["m1"])], at(0));
        let mut status = status(1, &["m1"], 0);
        status.instance = instance;
        directory.apply_status(status, at(0));
        directory.note_replaced(&endpoint("e1"), Some(&endpoint("other")), at(100));
        assert!(directory.row(&endpoint("other")).is_none());
        assert!(!directory.row(&endpoint("e1")).unwrap().is_open(at(100)));
    }
}

/// Guards against an engine that stays with a service to which it does not belong, although the registry says so.
#[test]
fn the_registry_moves_an_engine_to_its_service() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    let mut replacing = status(1, &[], 0);
    replacing.instance = Some(endpoint("other"));
    directory.apply_status(replacing, at(10));
    let other_service = PoolName::try_from("other-service").unwrap();
    let listed = EndpointRecord {
        name: endpoint("other"),
        service: other_service.clone(),
        ..record(1, &[])
    };
    let changes = directory.apply_registry(vec![record(1, &["m1"]), listed], at(20));
    assert_eq!(changes, [DirectoryChange::Restarted(endpoint("other"))]);
    let engines = |service: &PoolName| -> Vec<EndpointName> {
        let rows = directory.service(service);
        rows.filter(|row| row.is_open(at(30)))
            .map(|row| row.record.name.clone())
            .collect()
    };
    assert_eq!(engines(&record(1, &[]).service), []);
    assert_eq!(engines(&other_service), [endpoint("other")]);
}

/// Guards against an engine that gets no more requests. A status update of its predecessor arrives twice, the second time
/// after the engine has taken its place.
#[test]
fn a_late_status_of_the_predecessor_does_not_end_its_successor() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    directory.apply_status(status_naming("e1", 2), at(0));
    directory.apply_status(status_naming("e1b", 3), at(100));
    let changed = directory.apply_status(status_naming("e1", 2), at(200));
    assert!(!changed);
    assert!(directory.row(&endpoint("e1b")).unwrap().is_open(at(200)));
}

#[test]
fn own_requests_count_until_the_endpoint_reports_its_load() {
    let mut directory = directory(&[(&["m1"], 2)], at(0));
    let name = endpoint("e1");
    directory.note_sent(&name, None);
    directory.note_sent(&name, None);
    assert_eq!(directory.row(&name).unwrap().request_count(), 4);
    let load = EndpointLoad {
        running: 3,
        waiting: 0,
    };
    directory.apply_load(&name, load);
    assert_eq!(directory.row(&name).unwrap().request_count(), 3);
}

/// All engines and gateways were restarted, and the registry still lists the old engines. Without the
/// instance name in the sidecar's status update, every gateway would first send each of them a request that
/// is rejected.
#[test]
fn status_update_with_a_new_instance_replaces_the_engine() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    let mut status = status(1, &["m1"], 0);
    status.instance = Some(endpoint("e1b"));
    assert!(directory.apply_status(status, at(10)));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(
        directory
            .row(&endpoint("e1b"))
            .unwrap()
            .holds(&model("m1"), at(20))
    );
}

/// The registry lists a restarted engine beside its predecessor until the old entry expires. The status
/// updates from their address describe the current engine. If they were assigned to the predecessor, the
/// current engine would receive no loads and adapters for seconds.
#[test]
fn status_update_applies_to_the_later_of_two_endpoints_at_an_address() {
    let mut later = record(1, &[]);
    later.name = endpoint("a-later-name");
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_registry(vec![record(1, &["m1"]), later], at(10));
    let mut status = status(1, &["m2"], 0);
    status.number.number = 2;
    directory.apply_status(status, at(20));
    let row = directory.row(&endpoint("a-later-name")).unwrap();
    assert!(row.holds(&model("m2"), at(30)));
}

/// Like the test above, but the old endpoint is recognized only when the sidecar names its engine.
#[test]
fn status_update_under_the_old_name_applies_to_the_current_endpoint() {
    let mut old = record(1, &["m1"]);
    old.name = endpoint("z-old");
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &[])], at(0));
    directory.apply_registry(vec![record(1, &[]), old], at(5));
    let mut status = status(1, &["m2"], 0);
    status.instance = Some(endpoint("e1"));
    directory.apply_status(status, at(10));
    assert!(!directory.row(&endpoint("z-old")).unwrap().is_open(at(20)));
    assert!(
        directory
            .row(&endpoint("e1"))
            .unwrap()
            .holds(&model("m2"), at(20))
    );
}

/// Returns a status update that names the engine's present instance.
fn status_naming(instance: &str, number: u64) -> EngineStatus {
    let mut status = status(1, &["m1"], 0);
    status.number.number = number;
    status.instance = Some(endpoint(instance));
    status
}

/// Returns a status update with the start time of the engine and the message number of its sidecar.
fn status_of_start(start: u64, number: u64, models: &[&str]) -> EngineStatus {
    let mut status = status(1, models, 0);
    status.number.number = number;
    status.start = Some(StartTime(start));
    status
}

/// An engine crashes and restarts under the same name between two heartbeats, so the registry lists it
/// throughout. It would reject requests for the models that it held before, and its prompt cache is empty.
#[test]
fn engine_restarted_under_its_name_has_no_models_or_cached_prompts() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let name = endpoint("e1");
    directory.apply_status(status_of_start(1_000, 2, &["m1"]), at(10));
    let chain = choice::prefix_chain(&request("m1"));
    directory.note_cached_prompt(&name, &chain, at(20));
    assert_eq!(directory.prefixes().holders(&chain, at(30)).len(), 1);
    assert!(directory.apply_status(status_of_start(2_000, 3, &[]), at(100)));
    let row = directory.row(&name).unwrap();
    assert!(!row.holds(&model("m1"), at(110)));
    let holders = directory.prefixes().holders(&chain, at(110));
    assert!(holders.iter().all(|holder| holder.endpoint != row.index));
}

/// The registry still lists the previous incarnation and its models after the sidecar has reported the next
/// one. The sidecar's status update is newer.
#[test]
fn old_entry_does_not_restore_an_earlier_incarnation() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_status(status_of_start(2_000, 2, &[]), at(10));
    let mut old = record(1, &["m1"]);
    old.start = Some(StartTime(1_000));
    old.draining = true;
    directory.apply_registry(vec![old], at(50));
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(!row.holds(&model("m1"), at(60)));
    assert!(row.is_open(at(60)));
}

/// An endpoint restarts and leaves at once. Its entry says so before the sidecar reports the new
/// incarnation, and is not applied again as long as it doesn't change.
#[test]
fn an_entry_that_precedes_the_status_of_its_incarnation_still_closes_it() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_status(status_of_start(1_000, 2, &["m1"]), at(10));
    directory.apply_registry(vec![leaving(1, 2_000)], at(50));
    directory.apply_status(status_of_start(2_000, 3, &["m1"]), at(100));
    assert!(!is_open(&directory, "e1", 110));
}

/// A status update of the previous incarnation, sent before the restart, arrives after the entry that says
/// that the current incarnation leaves.
#[test]
fn a_late_status_does_not_open_an_incarnation_that_leaves() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_status(status_of_start(1_000, 2, &["m1"]), at(10));
    directory.apply_registry(vec![leaving(1, 2_000)], at(1_600));
    assert!(!is_open(&directory, "e1", 1_600));
    directory.apply_status(status_of_start(1_000, 3, &["m1"]), at(1_650));
    directory.apply_status(status_of_start(2_000, 4, &["m1"]), at(1_700));
    assert!(!is_open(&directory, "e1", 1_710));
    directory.apply_status(status_of_start(3_000, 5, &["m1"]), at(2_500));
    assert!(is_open(&directory, "e1", 2_510));
}

/// The engine's clock was set back before it restarted, so the new incarnation has the earlier start time.
/// It is accepted, because start times are only compared for equality.
#[test]
fn later_incarnation_may_have_an_earlier_start_time() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_status(status_of_start(2_000, 2, &["m1"]), at(10));
    directory.apply_status(status_of_start(1_500, 3, &[]), at(100));
    assert!(
        !directory
            .row(&endpoint("e1"))
            .unwrap()
            .holds(&model("m1"), at(110))
    );
    // A delayed update of the previous incarnation has a lower message number and is ignored.
    directory.apply_status(status_of_start(2_000, 2, &["m1"]), at(120));
    assert!(
        !directory
            .row(&endpoint("e1"))
            .unwrap()
            .holds(&model("m1"), at(130))
    );
}

/// Without a sidecar, only the registry reports restarts. A plain service restarts under the same name, and
/// the state of its previous incarnation (here: slow responses) is discarded.
#[test]
fn registry_reports_restarts_without_a_sidecar() {
    let mut directory = EndpointDirectory::default();
    let mut first = record(1, &[]);
    first.start = Some(StartTime(1_000));
    directory.apply_registry(vec![first.clone()], at(0));
    let name = endpoint("e1");
    for _ in 0..50 {
        directory.note_first_chunk(&name, None, &SentPrompt::default(), millis(900), at(10));
    }
    let mut next = first;
    next.start = Some(StartTime(9_000));
    let changes = directory.apply_registry(vec![next], at(900));
    assert_eq!(changes, vec![DirectoryChange::Restarted(name.clone())]);
    assert!(directory.row(&name).unwrap().first_chunk.mean_ms() < 100.0);
}

/// The streams of an engine break off when it crashes, and it restarts under the same name before the
/// gateway has recorded them. They must not count as failures of the new incarnation.
#[test]
fn broken_streams_do_not_count_against_the_next_incarnation() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let name = endpoint("e1");
    directory.apply_status(status_of_start(1_000, 2, &["m1"]), at(10));
    let weights = request("m1").weights.unwrap();
    let sent = directory.note_prefill(&name, &weights, 400.0, at(0));
    assert!(directory.is_current_incarnation(&name, &sent));
    directory.apply_status(status_of_start(2_000, 3, &["m1"]), at(100));
    assert!(!directory.is_current_incarnation(&name, &sent));
    let next = directory.note_prefill(&name, &weights, 400.0, at(0));
    directory.note_prefill_end(&name, &sent);
    assert!(!directory.row(&name).unwrap().prefill.is_idle());
    directory.note_prefill_end(&name, &next);
    assert!(directory.row(&name).unwrap().prefill.is_idle());
}

/// A response shows that another instance has the address, and the instance replaces its predecessor once the
/// sidecar names it. That update and the next one have the start time of the new instance. It must not be
/// taken for one more restart: the registry does not list the instance yet, so it would be dropped and
/// requests refused until it does.
#[test]
fn successor_is_kept_when_its_sidecar_reports_its_start_time() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_status(status_of_start(1_000, 2, &["m1"]), at(10));
    directory.note_replaced(&endpoint("e1"), Some(&endpoint("e9")), at(100));
    for number in [3, 4] {
        let mut status = status_of_start(2_000, number, &["m1"]);
        status.instance = Some(endpoint("e9"));
        directory.apply_status(status, at(150));
    }
    directory.apply_registry(vec![record(1, &["m1"])], at(200));
    let row = directory.row(&endpoint("e9")).expect("it is still there");
    assert!(row.holds(&model("m1"), at(210)));
}

fn started(number: u8, start: u64) -> EndpointRecord {
    EndpointRecord {
        start: Some(StartTime(start)),
        ..record(number, &["m1"])
    }
}

fn leaving(number: u8, start: u64) -> EndpointRecord {
    EndpointRecord {
        draining: true,
        ..started(number, start)
    }
}

fn is_open(directory: &EndpointDirectory, name: &str, now: u64) -> bool {
    let row = directory.row(&endpoint(name));
    row.is_some_and(|row| row.is_open(at(now)))
}

/// An engine reports that it drains, and every gateway acknowledges it. The store is then restored from a
/// copy in which the engine is ready. It is still leaving and must not receive work, but a new incarnation
/// under its name must.
#[test]
fn draining_engine_stays_closed_after_the_store_is_restored() {
    let mut directory = EndpointDirectory::default();
    let draining = EndpointRecord {
        draining: true,
        ..started(1, 7)
    };
    directory.apply_registry(vec![started(1, 7)], at(0));
    assert!(is_open(&directory, "e1", 0));
    directory.apply_registry(vec![draining], at(1_000));
    directory.note_store_restored(at(2_000));
    directory.apply_registry(vec![started(1, 7)], at(2_000));
    assert!(!is_open(&directory, "e1", 2_000));
    directory.apply_registry(vec![started(1, 8)], at(3_000));
    assert!(is_open(&directory, "e1", 3_000));
}

/// Like the test above, for engines that are gone: one that drained, and one whose entry expired. The
/// second may still be running, which is certain once it is listed for longer than the entry of a dead
/// engine lasts.
#[test]
fn departed_engine_in_a_restored_store_returns_only_if_it_is_running() {
    let mut directory = EndpointDirectory::default();
    let drained = EndpointRecord {
        draining: true,
        ..started(1, 7)
    };
    directory.apply_registry(vec![drained, started(2, 7)], at(0));
    directory.apply_registry(Vec::new(), at(1_000));
    directory.note_store_restored(at(3_000));
    let copy = || vec![started(1, 7), started(2, 7), started(3, 7)];
    directory.apply_registry(copy(), at(3_000));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(directory.row(&endpoint("e2")).is_none());
    assert!(is_open(&directory, "e3", 3_000));
    directory.apply_registry(copy(), at(9_000));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(is_open(&directory, "e2", 9_000));
}

/// Entries expire while the store is down and are rewritten. No data was lost, so the engines take work
/// immediately.
#[test]
fn engine_with_an_expired_entry_returns_when_it_is_listed_again() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![started(1, 7)], at(0));
    directory.apply_registry(Vec::new(), at(1_000));
    directory.apply_registry(vec![started(1, 7)], at(2_000));
    assert!(is_open(&directory, "e1", 2_000));
}

/// Guards against a version that is taken for that of a later incarnation under the same name: the sidecar reports a
/// restart before the registry lists it.
#[test]
fn the_version_of_an_incarnation_is_unknown_until_the_registry_lists_it() {
    let mut directory = EndpointDirectory::default();
    let listed = |start, text: &str| EndpointRecord {
        version: Some(version(text)),
        ..started(1, start)
    };
    let known = |directory: &EndpointDirectory| {
        let row = directory.row(&endpoint("e1")).unwrap();
        row.record.version.clone()
    };
    directory.apply_registry(vec![listed(1, "v1")], at(0));
    assert_eq!(known(&directory), Some(version("v1")));
    let restarted = EngineStatus {
        start: Some(StartTime(2)),
        ..status(1, &["m1"], 0)
    };
    directory.apply_status(restarted, at(100));
    assert_eq!(known(&directory), None);
    directory.apply_registry(vec![listed(1, "v1")], at(200));
    assert_eq!(known(&directory), None);
    directory.apply_registry(vec![listed(2, "v2")], at(300));
    assert_eq!(known(&directory), Some(version("v2")));
}

/// Guards against a version that changes in place, for endpoints that state no start time.
#[test]
fn an_entry_with_another_version_is_of_another_incarnation() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    let index = directory.row(&endpoint("e1")).unwrap().index;
    let other = EndpointRecord {
        version: Some(version("v2")),
        ..record(1, &["m1"])
    };
    let changes = directory.apply_registry(vec![other], at(100));
    assert_eq!(changes, [DirectoryChange::Restarted(endpoint("e1"))]);
    assert_ne!(directory.row(&endpoint("e1")).unwrap().index, index);
}
