//! What is believed of endpoints.

use oatpier_serving::choice;
use oatpier_serving::directory::{DirectoryChange, EndpointDirectory, EndpointRecord};
use oatpier_serving::engine::{EndpointLoad, StartTime};
use oatpier_serving::message::EnginePulse;
use oatpier_serving::reading::SentPrompt;

use crate::support::{at, directory, endpoint, millis, model, pulse, record, request};

#[test]
fn an_entry_that_is_missing_while_the_store_answers_is_gone() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 0)], at(0));
    let changes = directory.apply_registry(vec![record(1, &["m1"])], at(900));
    assert_eq!(changes, vec![DirectoryChange::Gone(endpoint("e2"))]);
}

/// Entries lapse while the store is down, and their endpoints write them again within two seconds
/// of its return. A caller would be refused for want of endpoints that all live: so for that long
/// a missing entry stays, and after that it is gone.
#[test]
fn entries_that_lapsed_with_the_store_get_time_to_come_back() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.note_store_failure(at(1_000));
    assert!(directory.apply_registry(Vec::new(), at(1_500)).is_empty());
    assert!(directory.row(&endpoint("e1")).is_some());
    let changes = directory.apply_registry(Vec::new(), at(4_000));
    assert_eq!(changes, vec![DirectoryChange::Gone(endpoint("e1"))]);
}

#[test]
fn a_draining_endpoint_gets_no_new_requests_by_either_word() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 0)], at(0));
    let mut leaving = record(1, &["m1"]);
    leaving.draining = true;
    directory.apply_registry(vec![leaving, record(2, &["m1"])], at(10));
    let mut told = pulse(2, &["m1"], 0);
    told.number.number = 2;
    told.draining = true;
    directory.take_pulse(told, at(20));
    assert!(!directory.row(&endpoint("e1")).unwrap().is_open(at(30)));
    assert!(!directory.row(&endpoint("e2")).unwrap().is_open(at(30)));
}

#[test]
fn an_old_pulse_says_nothing_of_what_is_held() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    directory.take_pulse(pulse(1, &["m2"], 0), at(0));
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(row.holds(&model("m2"), at(100)));
    assert!(row.holds(&model("m1"), at(5_000)));
}

#[test]
fn a_doubled_or_crossed_pulse_changes_nothing() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert!(!directory.take_pulse(pulse(1, &["m2"], 9), at(10)));
    let row = directory.row(&endpoint("e1")).unwrap();
    assert_eq!(row.present(), 0);
}

/// The caller sees no refusal after a restart of engines. The registry lists their old names for a
/// heartbeat more, and every request that names the old one is turned away by the new one. Where
/// the sidecar at the address speaks for the same service, the new one is taken at once, and the old
/// entry does not bring the old name back.
#[test]
fn a_restarted_engine_takes_its_predecessors_place() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.note_replaced(&endpoint("e1"), Some(&endpoint("e1b")), at(100));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(directory.row(&endpoint("e1b")).unwrap().is_open(at(100)));
    directory.apply_registry(vec![record(1, &["m1"])], at(200));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(directory.row(&endpoint("e1b")).is_some());
}

/// The address of an endpoint that is gone may belong to another service by now. Without a sidecar
/// that speaks for the service, its requests must not go to whoever answers there.
#[test]
fn a_stranger_at_the_address_is_not_taken_for_a_restart() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    directory.note_replaced(&endpoint("e1"), Some(&endpoint("other")), at(100));
    assert!(directory.row(&endpoint("other")).is_none());
    assert!(!directory.row(&endpoint("e1")).unwrap().is_open(at(100)));
}

#[test]
fn own_requests_count_until_the_endpoint_tells_its_load() {
    let mut directory = directory(&[(&["m1"], 2)], at(0));
    let name = endpoint("e1");
    directory.note_sent(&name, None);
    directory.note_sent(&name, None);
    assert_eq!(directory.row(&name).unwrap().present(), 4);
    let load = EndpointLoad {
        running: 3,
        waiting: 0,
    };
    directory.take_load(&name, load);
    assert_eq!(directory.row(&name).unwrap().present(), 3);
}

/// All engines and gateways were restarted. The registry still lists the old engines, and every gateway
/// would send each of them a request in vain before it knew better. The sidecar has asked its engine
/// for its name and tells it to all of them.
#[test]
fn a_sidecar_names_its_restarted_engine() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"])], at(0));
    let mut named = pulse(1, &["m1"], 0);
    named.instance = Some(endpoint("e1b"));
    assert!(directory.take_pulse(named, at(10)));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(
        directory
            .row(&endpoint("e1b"))
            .unwrap()
            .holds(&model("m1"), at(20))
    );
}

/// The registry lists a restarted engine beside its predecessor until the old entry lapses. What the
/// sidecar at their address says is about the present one; taken for the other one's, it would leave
/// the present one without loads and adapters for seconds.
#[test]
fn a_pulse_belongs_to_the_later_of_two_endpoints_at_an_address() {
    let mut later = record(1, &[]);
    later.name = endpoint("a-later-name");
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.apply_registry(vec![record(1, &["m1"]), later], at(10));
    let mut told = pulse(1, &["m2"], 0);
    told.number.number = 2;
    directory.take_pulse(told, at(20));
    let row = directory.row(&endpoint("a-later-name")).unwrap();
    assert!(row.holds(&model("m2"), at(30)));
}

/// As above, where the old endpoint is found out only when the sidecar names its engine.
#[test]
fn what_was_told_under_the_old_name_is_true_of_the_present_endpoint() {
    let mut old = record(1, &["m1"]);
    old.name = endpoint("z-old");
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &[])], at(0));
    directory.apply_registry(vec![record(1, &[]), old], at(5));
    let mut named = pulse(1, &["m2"], 0);
    named.instance = Some(endpoint("e1"));
    directory.take_pulse(named, at(10));
    assert!(!directory.row(&endpoint("z-old")).unwrap().is_open(at(20)));
    assert!(
        directory
            .row(&endpoint("e1"))
            .unwrap()
            .holds(&model("m2"), at(20))
    );
}

/// A pulse of an engine's start, the number of its sidecar's words so far.
fn pulse_of(start: u64, number: u64, models: &[&str]) -> EnginePulse {
    let mut told = pulse(1, models, 0);
    told.number.number = number;
    told.start = Some(StartTime(start));
    told
}

/// An engine crashes and starts again under its name between two heartbeats: the registry lists it all the
/// while. Requests for what its last start held would be turned away; prompts that it kept are read anew.
#[test]
fn an_engine_that_starts_again_under_its_name_holds_and_keeps_nothing() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let name = endpoint("e1");
    directory.take_pulse(pulse_of(1_000, 2, &["m1"]), at(10));
    let chain = choice::prefix_chain(&request("m1"));
    directory.note_prompt(&name, &chain, at(20));
    assert_eq!(directory.prefixes().holders(&chain, at(30)).len(), 1);
    assert!(directory.take_pulse(pulse_of(2_000, 3, &[]), at(100)));
    let row = directory.row(&name).unwrap();
    assert!(!row.holds(&model("m1"), at(110)));
    let holders = directory.prefixes().holders(&chain, at(110));
    assert!(holders.iter().all(|holder| holder.endpoint != row.index));
}

/// The registry still lists the last start with all that it held, after the sidecar has told of the next
/// one. The later word on the start is the sidecar's.
#[test]
fn an_old_entry_does_not_bring_an_ended_start_back() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.take_pulse(pulse_of(2_000, 2, &[]), at(10));
    let mut old = record(1, &["m1"]);
    old.start = Some(StartTime(1_000));
    old.draining = true;
    directory.apply_registry(vec![old], at(50));
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(!row.holds(&model("m1"), at(60)));
    assert!(row.is_open(at(60)));
}

/// The engine's clock was set back before it started again, so that the later start seems the earlier one.
/// It is taken all the same: starts are told apart, not compared.
#[test]
fn a_later_start_may_say_an_earlier_time() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.take_pulse(pulse_of(2_000, 2, &["m1"]), at(10));
    directory.take_pulse(pulse_of(1_500, 3, &[]), at(100));
    assert!(
        !directory
            .row(&endpoint("e1"))
            .unwrap()
            .holds(&model("m1"), at(110))
    );
    // A word of the start before crosses it on the way, and is older.
    directory.take_pulse(pulse_of(2_000, 2, &["m1"]), at(120));
    assert!(
        !directory
            .row(&endpoint("e1"))
            .unwrap()
            .holds(&model("m1"), at(130))
    );
}

/// No sidecar is heard, so the registry is the last word: a plain service starts again under its name, and
/// what was learned of its last start (here: that it is slow) is forgotten.
#[test]
fn without_a_sidecar_the_registry_tells_of_the_next_start() {
    let mut directory = EndpointDirectory::default();
    let mut first = record(1, &[]);
    first.start = Some(StartTime(1_000));
    directory.apply_registry(vec![first.clone()], at(0));
    let name = endpoint("e1");
    for _ in 0..50 {
        directory.note_first(&name, None, &SentPrompt::default(), millis(900), at(10));
    }
    let mut next = first;
    next.start = Some(StartTime(9_000));
    let changes = directory.apply_registry(vec![next], at(900));
    assert_eq!(changes, vec![DirectoryChange::Restarted(name.clone())]);
    assert!(directory.row(&name).unwrap().first.mean_ms() < 100.0);
}

/// The streams of an engine break off as it crashes, and it starts again under its name before the gateway
/// has counted them. They say nothing of the new start.
#[test]
fn what_a_last_start_broke_off_is_not_blamed_on_the_next_one() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let name = endpoint("e1");
    directory.take_pulse(pulse_of(1_000, 2, &["m1"]), at(10));
    let weights = request("m1").weights.unwrap();
    let sent = directory.note_reading(&name, &weights, 400.0);
    assert!(directory.is_present_start(&name, &sent));
    directory.take_pulse(pulse_of(2_000, 3, &["m1"]), at(100));
    assert!(!directory.is_present_start(&name, &sent));
    let next = directory.note_reading(&name, &weights, 400.0);
    directory.note_read(&name, &sent);
    assert!(!directory.row(&name).unwrap().reading.is_idle());
    directory.note_read(&name, &next);
    assert!(directory.row(&name).unwrap().reading.is_idle());
}

/// An answer tells that another instance has the address, before its sidecar names it: it takes its
/// predecessor's place. The sidecar's next word is of its start, which is not the predecessor's. The instance
/// must not be taken for one that has started once more: the registry does not list it yet, and it would
/// be dropped and its callers refused until it does.
#[test]
fn an_adopted_engine_stays_when_its_sidecar_tells_its_start() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    directory.take_pulse(pulse_of(1_000, 2, &["m1"]), at(10));
    directory.note_replaced(&endpoint("e1"), Some(&endpoint("e9")), at(100));
    directory.take_pulse(pulse_of(2_000, 3, &["m1"]), at(150));
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

fn is_open(directory: &EndpointDirectory, name: &str, now: u64) -> bool {
    let row = directory.row(&endpoint(name));
    row.is_some_and(|row| row.is_open(at(now)))
}

/// An engine says that it drains, and every gateway acknowledges it. The store comes back from a copy in which it is
/// ready. It leaves all the same, so it must not get work; one that starts anew under its name must.
#[test]
fn an_engine_that_drains_is_not_ready_again_in_an_older_copy_of_the_store() {
    let mut directory = EndpointDirectory::default();
    let draining = EndpointRecord {
        draining: true,
        ..started(1, 7)
    };
    directory.apply_registry(vec![started(1, 7)], at(0));
    assert!(is_open(&directory, "e1", 0));
    directory.apply_registry(vec![draining], at(1_000));
    directory.note_store_return(at(2_000));
    directory.apply_registry(vec![started(1, 7)], at(2_000));
    assert!(!is_open(&directory, "e1", 2_000));
    directory.apply_registry(vec![started(1, 8)], at(3_000));
    assert!(is_open(&directory, "e1", 3_000));
}

/// The same for engines that are gone: one that drained, and one whose entry lapsed. The second may live, and is
/// known to once it is still listed when a dead one's entry would have lapsed.
#[test]
fn an_engine_that_is_gone_comes_back_only_if_it_lives() {
    let mut directory = EndpointDirectory::default();
    let drained = EndpointRecord {
        draining: true,
        ..started(1, 7)
    };
    directory.apply_registry(vec![drained, started(2, 7)], at(0));
    directory.apply_registry(Vec::new(), at(1_000));
    directory.note_store_return(at(3_000));
    let copy = || vec![started(1, 7), started(2, 7), started(3, 7)];
    directory.apply_registry(copy(), at(3_000));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(directory.row(&endpoint("e2")).is_none());
    assert!(is_open(&directory, "e3", 3_000));
    directory.apply_registry(copy(), at(9_000));
    assert!(directory.row(&endpoint("e1")).is_none());
    assert!(is_open(&directory, "e2", 9_000));
}

/// Entries lapse while the store is away and come back: nothing was lost, and the engines take work at once.
#[test]
fn an_engine_whose_entry_lapsed_is_there_again_when_the_store_lists_it() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![started(1, 7)], at(0));
    directory.apply_registry(Vec::new(), at(1_000));
    directory.apply_registry(vec![started(1, 7)], at(2_000));
    assert!(is_open(&directory, "e1", 2_000));
}

/// Engines that registered since the copy was made are missing until they write again, which takes a heartbeat or
/// two. They must not be dropped meanwhile.
#[test]
fn an_engine_that_an_older_copy_does_not_have_stays_until_it_writes_again() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![started(1, 7)], at(0));
    directory.note_store_return(at(1_000));
    directory.apply_registry(Vec::new(), at(1_000));
    assert!(is_open(&directory, "e1", 1_000));
    directory.apply_registry(Vec::new(), at(4_000));
    assert!(directory.row(&endpoint("e1")).is_none());
}
