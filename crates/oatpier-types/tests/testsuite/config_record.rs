//! Tests of merging changes into the record, including races and lost responses.

use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::merge::{ChangeProposal, MergeError, MergeOutcome};
use oatpier_types::config::record::{
    ConfigRecord, HistoryError, MAX_RECENT_CHANGES, MAX_RECORD_BYTES,
};
use oatpier_types::ids::{ChangeId, Generation};
use oatpier_types::names::ModelName;

use crate::fleets::{small, small_with};

/// Returns the proposal of an operator who read `record` and wants the configuration `wanted`.
fn proposal(
    id: u128,
    operator: &str,
    record: &ConfigRecord,
    wanted: &FleetConfig,
) -> ChangeProposal {
    ChangeProposal {
        change: ChangeId(id),
        base: record.generation,
        edits: record.edits_from(record.generation, wanted).unwrap(),
        operator: operator.to_owned(),
        at: 1_700_000_000,
        summary: format!("change {id}"),
        unanswered: None,
    }
}

fn accept(record: &ConfigRecord, proposal: &ChangeProposal) -> ConfigRecord {
    match record.merge(proposal) {
        Ok(MergeOutcome::Write { record, .. }) => *record,
        other => panic!("{other:?}"),
    }
}

fn first_record() -> ConfigRecord {
    let empty = ConfigRecord::default();
    accept(&empty, &proposal(1, "ada", &empty, &small()))
}

fn resized(mib: u64) -> FleetConfig {
    small_with("memory_mib = 300", &format!("memory_mib = {mib}"))
}

#[test]
fn first_change_creates_generation_one() {
    let record = first_record();
    assert_eq!(record.generation, Generation(1));
    assert_eq!(record.content, small());
    assert_eq!(record.recent[0].operator, "ada");
}

#[test]
fn record_survives_encoding() {
    let record = first_record();
    let bytes = record.encode().unwrap();
    assert_eq!(ConfigRecord::decode(&bytes).unwrap(), record);
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.contains("\"change\":\"00000000000000000000000000000001\""));
    assert!(ConfigRecord::decode(b"{}").is_err());
}

#[test]
fn disjoint_changes_are_both_kept() {
    // Two operators read generation 1 and change different models. Ada's write succeeds first.
    // Ben's compare-and-swap fails, and his change is merged again into the new record.
    let first = first_record();
    let ben = proposal(
        3,
        "ben",
        &first,
        &small_with("memory_mib = 400", "memory_mib = 410"),
    );
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let Ok(MergeOutcome::Write { record, concurrent }) = second.merge(&ben) else {
        panic!("a disjoint change must be accepted");
    };
    assert_eq!(record.generation, Generation(3));
    assert_eq!(concurrent, [ChangeId(2)]);
    assert_eq!(record.content.models[&name("halls")].memory_mib, 310);
    assert_eq!(record.content.models[&name("tables")].memory_mib, 410);
}

#[test]
fn conflict_names_the_other_change() {
    // Two operators set different sizes for one model. The later change must not silently revert
    // the earlier one; the error names the other operator's change.
    let first = first_record();
    let ben = proposal(3, "ben", &first, &resized(320));
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let error = second.merge(&ben).unwrap_err();
    let MergeError::Conflict { items, other, .. } = &error else {
        panic!("{error:?}");
    };
    assert_eq!(items[0].name, "halls");
    assert_eq!(other.as_ref().unwrap().operator, "ada");
    insta::assert_snapshot!(error);
}

#[test]
fn same_change_by_two_operators_is_no_conflict() {
    let first = first_record();
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let ben = proposal(3, "ben", &first, &resized(310));
    let generation = Generation(2);
    assert_eq!(
        second.merge(&ben),
        Ok(MergeOutcome::Unchanged { generation })
    );
}

#[test]
fn lost_response_is_resolved_by_the_change_id() {
    // The store applies the write, but the response is lost. The operator's process retries with
    // the same id after another operator has reverted the change. The retry must report that the
    // change was accepted as generation 2, and must not apply it a second time.
    let first = first_record();
    let ada = proposal(2, "ada", &first, &resized(310));
    let second = accept(&first, &ada);
    let third = accept(&second, &proposal(3, "ben", &second, &small()));
    let generation = Generation(2);
    assert_eq!(third.merge(&ada), Ok(MergeOutcome::Accepted { generation }));
}

#[test]
fn outcome_missing_from_the_record_is_reported_as_unknown() {
    // The response is lost, and so many changes follow that the record no longer contains the id.
    // A retry could apply the change twice, so the operator gets an error that the outcome is
    // unknown.
    let mut record = first_record();
    let mut ada = proposal(2, "ada", &record, &resized(310));
    ada.unanswered = Some(Generation(2));
    for index in 0..=MAX_RECENT_CHANGES as u64 {
        let wanted = small_with("memory_mib = 400", &format!("memory_mib = {}", 401 + index));
        record = accept(
            &record,
            &proposal(100 + u128::from(index), "ben", &record, &wanted),
        );
    }
    let error = record.merge(&ada).unwrap_err();
    assert!(
        matches!(error, MergeError::OutcomeUnknown { .. }),
        "{error}"
    );
    ada.unanswered = None;
    assert!(record.merge(&ada).is_ok());
}

#[test]
fn removing_a_pool_conflicts_with_an_added_endpoint() {
    // Ben removes a pool while Ada adds an endpoint to it. Neither edit conflicts on its own, but
    // the merge would silently drop Ada's endpoint.
    let first = first_record();
    let mut without = small();
    without.pools.retain(|name, _| name.as_str() != "plan-api");
    let ben = proposal(3, "ben", &first, &without);
    let more = small_with("first = 7\ncount = 2", "first = 7\ncount = 3");
    let second = accept(&first, &proposal(2, "ada", &first, &more));
    let error = second.merge(&ben).unwrap_err();
    assert!(matches!(&error, MergeError::Conflict { items, .. } if items[0].name == "plan-api-9"));
    let ada = proposal(4, "ada", &first, &more);
    let second = accept(&first, &proposal(5, "ben", &first, &without));
    let error = second.merge(&ada).unwrap_err();
    assert!(matches!(&error, MergeError::Conflict { items, .. } if items[0].name == "plan-api-9"));
}

#[test]
fn changes_that_are_invalid_together_are_rejected() {
    // Ben removes an unused class while Ada assigns it to a model.
    let unused = "[class.spare]\nanswer = \"1s\"\nattain = 0.9\n\n[class.lookup]";
    let with_spare = small_with("[class.lookup]", unused);
    let empty = ConfigRecord::default();
    let first = accept(&empty, &proposal(1, "ada", &empty, &with_spare));
    let ben = proposal(3, "ben", &first, &small());
    let mut used = with_spare.clone();
    used.models[&name("halls")].class = "spare".try_into().unwrap();
    let second = accept(&first, &proposal(2, "ada", &first, &used));
    let error = second.merge(&ben).unwrap_err();
    assert!(matches!(error, MergeError::InvalidMerge { .. }));
    insta::assert_snapshot!(error);
}

#[test]
fn changes_that_exceed_memory_together_are_rejected() {
    // Each operator adds a model. There is enough memory for one of them, but not for both.
    let grown = |model: &str| {
        let mut config = small();
        let mut spec = config.models[0].clone();
        spec.memory_mib = 900;
        config.models.insert(name("c"), spec.clone());
        config.models.insert(name(model), spec);
        config
    };
    let empty = ConfigRecord::default();
    let first = accept(&empty, &proposal(1, "ada", &empty, &grown("c")));
    let ben = proposal(3, "ben", &first, &grown("b"));
    let second = accept(&first, &proposal(2, "ada", &first, &grown("a")));
    let error = second.merge(&ben).unwrap_err();
    let MergeError::InsufficientMemory { report, .. } = error else {
        panic!("{error:?}");
    };
    assert!(report.pools[0].changing.short_mib > 0);
}

#[test]
fn restored_content_gets_a_new_generation() {
    let first = first_record();
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let former = second.content_at(Generation(1)).unwrap();
    assert_eq!(former, small());
    let third = accept(&second, &proposal(3, "ada", &second, &former));
    assert_eq!(third.generation, Generation(3));
    assert_eq!(third.content, small());
}

#[test]
fn future_and_discarded_generations_are_distinguished() {
    let first = first_record();
    let wanted = Generation(9);
    let newest = Generation(1);
    let future = HistoryError::Future { wanted, newest };
    assert_eq!(first.content_at(wanted), Err(future));
    assert!(first.content_at(Generation(0)).unwrap().models.is_empty());
    let mut trimmed = first;
    trimmed.recent[0].edits = None;
    let wanted = Generation(0);
    let forgotten = HistoryError::Discarded {
        wanted,
        oldest: newest,
    };
    assert_eq!(trimmed.content_at(wanted), Err(forgotten));
}

/// A configuration of the planned maximum size: 3,500 engines, 490 models, 1,200 adapters.
fn large() -> FleetConfig {
    let mut config = small();
    let model = config.models[0].clone();
    let adapter = config.adapters[0].clone();
    config.models.clear();
    config.adapters.clear();
    for index in 0..490 {
        config
            .models
            .insert(name(&format!("ceremony-model-{index}")), model.clone());
    }
    for index in 0..1_200 {
        let mut adapter = adapter.clone();
        adapter.model = name(&format!("ceremony-model-{}", index % 490));
        let key = format!("ceremony-adapter-{index}").try_into().unwrap();
        config.adapters.insert(key, adapter);
    }
    let zones = config.regions[0].zones.clone();
    let pool = config
        .pools
        .iter_mut()
        .find(|(name, _)| name.as_str() == "seat-llm");
    let (_, pool) = pool.unwrap();
    pool.endpoints = (0..3_500)
        .map(|index| {
            let key = format!("seat-llm-ikeja-{index}").try_into().unwrap();
            (key, zones[index % 2].clone())
        })
        .collect();
    config
}

#[test]
fn record_of_a_large_fleet_fits_into_the_store() {
    // The first record of a large fleet contains everything twice: as content and as edits. If both
    // don't fit, the edits are dropped and the id of the change is kept.
    let empty = ConfigRecord::default();
    let first = accept(&empty, &proposal(1, "ada", &empty, &large()));
    assert_eq!(first.recent[0].change, ChangeId(1));
    let content = serde_json::to_vec(&first.content).unwrap().len();
    let whole = first.encode().unwrap().len();
    assert!(content < MAX_RECORD_BYTES / 2, "{content}");
    assert!(whole <= MAX_RECORD_BYTES, "{whole}");
    let mut wanted = large();
    wanted.models[0].memory_mib += 1;
    let second = accept(&first, &proposal(2, "ada", &first, &wanted));
    assert_eq!(second.content_at(Generation(1)).unwrap(), large());
}

#[test]
fn old_edits_are_dropped_to_keep_the_record_within_its_limit() {
    let mut record = ConfigRecord::default();
    for id in 1..20u128 {
        let mut wanted = large();
        if id % 2 == 0 {
            wanted.adapters.clear();
        }
        record = accept(&record, &proposal(id, "ada", &record, &wanted));
        assert!(record.encode().unwrap().len() <= MAX_RECORD_BYTES);
    }
    assert_eq!(record.recent.len(), 19);
    assert!(record.recent[0].edits.is_none());
    assert!(record.recent[18].edits.is_some());
    assert!(record.oldest() > Generation(1));
}

fn name(model: &str) -> ModelName {
    ModelName::try_from(model).unwrap()
}
