//! Tests of the endpoint table.

use std::time::Duration;

use oatpier_policy::table::{AttemptSize, EndpointTable, TableSettings};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::LoadReport;
use oatpier_types::request::RequestGoal;

use crate::support::{ZONES, at, model_goal, name, policy, queue_report, status, weights};

const SIZE: AttemptSize = AttemptSize {
    uncached_tokens: 0,
    is_whole_answer: false,
};

fn table() -> EndpointTable {
    EndpointTable::new(TableSettings::default(), name(ZONES[0]))
}

fn open_count(table: &EndpointTable, goal: &RequestGoal) -> usize {
    let goal = table.find_goal(goal);
    goal.map_or(0, |goal| table.candidates(goal).open_count())
}

#[test]
fn an_adapter_requires_its_base_model() {
    let mut table = table();
    let adapter = weights("seat", Some("lagos"));
    let goal = RequestGoal::Model {
        model: name("seat"),
        adapter: Some(name("lagos")),
    };
    table.on_status(
        &status("a", "p", ZONES[0], std::slice::from_ref(&adapter)),
        at(0),
    );
    assert_eq!(open_count(&table, &goal), 0);
    let both = [weights("seat", None), adapter];
    table.on_status(&status("b", "p", ZONES[0], &both), at(0));
    assert_eq!(open_count(&table, &goal), 1);
    assert_eq!(open_count(&table, &model_goal("seat")), 1);
}

#[test]
fn an_older_status_does_not_replace_ready_weights() {
    let mut table = table();
    let mut newer = status("a", "p", ZONES[0], &[weights("seat", None)]);
    newer.ready_sequence = 5;
    table.on_status(&newer, at(0));
    let mut older = status("a", "p", ZONES[0], &[weights("hall", None)]);
    older.ready_sequence = 4;
    older.queue.sequence = 2;
    table.on_status(&older, at(1));
    assert_eq!(open_count(&table, &model_goal("seat")), 1);
    assert_eq!(open_count(&table, &model_goal("hall")), 0);
}

/// An agent reports that it accepts no more work, and an earlier queue report arrives after that. If the
/// earlier one counted, a leaving endpoint would get new work again.
#[test]
fn a_late_queue_report_does_not_open_a_closed_endpoint() {
    let mut table = table();
    let index = table.on_status(&status("a", "p", ZONES[0], &[weights("seat", None)]), at(0));
    let mut closing = queue_report(1, 7, 0);
    closing.accepting = false;
    table.on_queue_report(index, &closing, at(1));
    table.on_queue_report(index, &queue_report(1, 6, 0), at(2));
    assert_eq!(open_count(&table, &model_goal("seat")), 0);
    assert_eq!(table.stale_dropped(), 1);
    table.on_queue_report(index, &queue_report(1, 8, 0), at(3));
    assert_eq!(open_count(&table, &model_goal("seat")), 1);
}

/// A restarted agent numbers its queue reports from 1 again, while late reports of its previous incarnation
/// are still in transit. Compared by sequence number alone, these would suppress the new ones.
#[test]
fn late_queue_reports_of_a_previous_incarnation_are_ignored() {
    let mut table = table();
    let index = table.on_status(&status("a", "p", ZONES[0], &[weights("seat", None)]), at(0));
    table.on_queue_report(index, &queue_report(1, 900, 40), at(1));
    table.on_queue_report(index, &queue_report(2, 1, 0), at(2));
    table.on_queue_report(index, &queue_report(1, 901, 40), at(3));
    assert_eq!(
        table.row(index).queue_report().map(|known| known.sequence),
        Some(1)
    );
}

/// Boot ids have no order. An entry that first receives a late message of a previous incarnation
/// takes the current one for a previous one when another late message arrives. That must not be
/// permanent.
#[test]
fn an_incarnation_taken_for_previous_by_mistake_is_accepted_again() {
    let mut table = table();
    let index = table.on_status(&status("a", "p", ZONES[0], &[weights("seat", None)]), at(0));
    table.on_queue_report(index, &queue_report(2, 1, 0), at(1));
    table.on_queue_report(index, &queue_report(3, 1, 0), at(2));
    table.on_queue_report(index, &queue_report(2, 2, 0), at(3));
    assert_eq!(
        table.row(index).queue_report().map(|known| known.boot.0),
        Some(3)
    );
    table.on_queue_report(index, &queue_report(2, 3, 0), at(6_000));
    assert_eq!(
        table.row(index).queue_report().map(|known| known.boot.0),
        Some(2)
    );
}

#[test]
fn a_leaving_endpoint_is_not_a_candidate() {
    let mut table = table();
    let index = table.on_status(&status("a", "p", ZONES[0], &[weights("seat", None)]), at(0));
    table.mark_leaving(index);
    table.on_queue_report(index, &queue_report(1, 2, 0), at(1));
    assert_eq!(open_count(&table, &model_goal("seat")), 0);
    table.clear_leaving(index);
    assert_eq!(open_count(&table, &model_goal("seat")), 1);
}

fn predicted(table: &EndpointTable, now: ClockTime) -> Duration {
    let index = table.find(&name("a")).expect("known");
    Duration::from_micros(table.predict(index, SIZE, now).total_us)
}

/// The wait that an agent reports is exact on arrival and then loses accuracy; the load report,
/// which lags behind, takes its place.
#[test]
fn the_predicted_wait_decays_to_the_load_report() {
    let mut table = table();
    let index = table.on_status(&status("a", "p", ZONES[0], &[weights("seat", None)]), at(0));
    table.on_queue_report(index, &queue_report(1, 2, 200), at(0));
    table.on_report(index, &LoadReport::default());
    let fresh = predicted(&table, at(0));
    let aged = predicted(&table, at(250));
    let old = predicted(&table, at(60_000));
    assert_eq!(fresh, Duration::from_millis(206));
    assert_eq!(aged, Duration::from_millis(106));
    assert!(old < Duration::from_millis(7));
}

/// Several requests arrive between two queue reports. If the entry did not count the attempts that it sent
/// itself, all would go to the endpoint that was idle at the last queue report.
#[test]
fn own_attempts_count_until_a_queue_report_reflects_them() {
    let mut table = table();
    let index = table.on_status(&status("a", "p", ZONES[0], &[weights("seat", None)]), at(0));
    let idle = predicted(&table, at(1));
    table.record_sent(index, 5_000, at(1));
    assert_eq!(predicted(&table, at(1)), idle + Duration::from_millis(100));
    table.on_queue_report(index, &queue_report(1, 2, 0), at(1));
    assert!(
        predicted(&table, at(1)) > idle,
        "the attempt was in transit when the queue report was sent"
    );
    table.on_queue_report(index, &queue_report(1, 3, 0), at(50));
    assert_eq!(predicted(&table, at(50)), idle);
}

/// The list of VMs reports an endpoint as leaving before the agent's first status reaches this
/// entry through the registrars. If the mark were lost, the entry would send it new work.
#[test]
fn a_leaving_mark_applies_to_an_endpoint_not_known_yet() {
    let mut policy = policy(2, 0, 1);
    let leaving = name("engine-9");
    policy.mark_leaving(&leaving, at(0));
    let row = status("engine-9", "seat-llm", ZONES[0], &[weights("seat", None)]);
    policy.on_status(&row, at(1));
    assert_eq!(open_count(policy.table(), &model_goal("seat")), 2);
    policy.clear_leaving(&leaving);
    assert_eq!(open_count(policy.table(), &model_goal("seat")), 3);
    policy.mark_leaving(&name("engine-8"), at(2));
    policy.clear_leaving(&name("engine-8"));
    let row = status("engine-8", "seat-llm", ZONES[0], &[weights("seat", None)]);
    policy.on_status(&row, at(3));
    assert_eq!(open_count(policy.table(), &model_goal("seat")), 4);
}
