//! Merging changes into the record, through races and lost answers.

use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::merge::{ChangeProposal, MergeError, MergeStep};
use oatpier_types::config::record::{
    ConfigRecord, HistoryError, MAX_RECENT_CHANGES, MAX_RECORD_BYTES,
};
use oatpier_types::ids::{ChangeId, Generation};
use oatpier_types::names::ModelName;

use crate::fleets::{small, small_with};

/// The edits that an operator made who saw `record` and wants `wanted`.
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
        Ok(MergeStep::Write { record, .. }) => *record,
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
fn first_change_makes_generation_one() {
    let record = first_record();
    assert_eq!(record.generation, Generation(1));
    assert_eq!(record.content, small());
    assert_eq!(record.recent[0].operator, "ada");
}

#[test]
fn record_reads_back_from_its_bytes() {
    let record = first_record();
    let bytes = record.encode().unwrap();
    assert_eq!(ConfigRecord::decode(&bytes).unwrap(), record);
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.contains("\"change\":\"00000000000000000000000000000001\""));
    assert!(ConfigRecord::decode(b"{}").is_err());
}

#[test]
fn disjoint_changes_both_stand() {
    // Two operators read generation 1 and change different models. Ada's write comes first;
    // Ben's compare-and-swap fails, and he tries again on what is there now.
    let first = first_record();
    let ben = proposal(
        3,
        "ben",
        &first,
        &small_with("memory_mib = 400", "memory_mib = 410"),
    );
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let Ok(MergeStep::Write { record, beside }) = second.merge(&ben) else {
        panic!("a disjoint change must stand");
    };
    assert_eq!(record.generation, Generation(3));
    assert_eq!(beside, [ChangeId(2)]);
    assert_eq!(record.content.models[&name("halls")].memory_mib, 310);
    assert_eq!(record.content.models[&name("tables")].memory_mib, 410);
}

#[test]
fn clash_names_the_other_change() {
    // Two operators give one model different sizes. The later one must not undo the earlier
    // one unseen: he is told whose change stands there.
    let first = first_record();
    let ben = proposal(3, "ben", &first, &resized(320));
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let error = second.merge(&ben).unwrap_err();
    let MergeError::Clash { items, other, .. } = &error else {
        panic!("{error:?}");
    };
    assert_eq!(items[0].name, "halls");
    assert_eq!(other.as_ref().unwrap().operator, "ada");
    insta::assert_snapshot!(error);
}

#[test]
fn same_change_by_two_operators_is_no_clash() {
    let first = first_record();
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let ben = proposal(3, "ben", &first, &resized(310));
    let generation = Generation(2);
    assert_eq!(second.merge(&ben), Ok(MergeStep::Unchanged { generation }));
}

#[test]
fn lost_answer_is_settled_by_the_change_id() {
    // The store takes the write and its answer is lost. The operator's process tries again with
    // the same id, after another operator has undone the change. It must learn that its change
    // was accepted as generation 2, and must not make it a second time.
    let first = first_record();
    let ada = proposal(2, "ada", &first, &resized(310));
    let second = accept(&first, &ada);
    let third = accept(&second, &proposal(3, "ben", &second, &small()));
    let generation = Generation(2);
    assert_eq!(third.merge(&ada), Ok(MergeStep::Accepted { generation }));
}

#[test]
fn outcome_that_is_forgotten_is_not_guessed() {
    // The answer is lost and so many changes follow that the id is no longer remembered. A new
    // try could make the change twice; the operator is told that it can't be known.
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
fn removed_pool_does_not_take_new_endpoints_with_it() {
    // Ben removes a pool. Meanwhile Ada has put an endpoint into it. Each edit fits by itself,
    // yet the endpoint would vanish without anyone having asked for that.
    let first = first_record();
    let mut without = small();
    without.pools.retain(|name, _| name.as_str() != "plan-api");
    let ben = proposal(3, "ben", &first, &without);
    let more = small_with("first = 7\ncount = 2", "first = 7\ncount = 3");
    let second = accept(&first, &proposal(2, "ada", &first, &more));
    let error = second.merge(&ben).unwrap_err();
    assert!(matches!(&error, MergeError::Clash { items, .. } if items[0].name == "plan-api-9"));
    let ada = proposal(4, "ada", &first, &more);
    let second = accept(&first, &proposal(5, "ben", &first, &without));
    let error = second.merge(&ada).unwrap_err();
    assert!(matches!(&error, MergeError::Clash { items, .. } if items[0].name == "plan-api-9"));
}

#[test]
fn changes_that_are_wrong_together_are_refused() {
    // Ben removes a class that nothing uses. Meanwhile Ada has given it to a model.
    let unused = "[class.spare]\nanswer = \"1s\"\nattain = 0.9\n\n[class.lookup]";
    let with_spare = small_with("[class.lookup]", unused);
    let empty = ConfigRecord::default();
    let first = accept(&empty, &proposal(1, "ada", &empty, &with_spare));
    let ben = proposal(3, "ben", &first, &small());
    let mut used = with_spare.clone();
    used.models[&name("halls")].class = "spare".try_into().unwrap();
    let second = accept(&first, &proposal(2, "ada", &first, &used));
    let error = second.merge(&ben).unwrap_err();
    assert!(matches!(error, MergeError::Together { .. }));
    insta::assert_snapshot!(error);
}

#[test]
fn changes_that_do_not_fit_together_are_refused() {
    // Each operator adds a model for which there is room once, not twice.
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
    let MergeError::Unreachable { report, .. } = error else {
        panic!("{error:?}");
    };
    assert!(report.pools[0].changing.short_mib > 0);
}

#[test]
fn former_content_comes_back_as_a_new_generation() {
    let first = first_record();
    let second = accept(&first, &proposal(2, "ada", &first, &resized(310)));
    let former = second.content_at(Generation(1)).unwrap();
    assert_eq!(former, small());
    let third = accept(&second, &proposal(3, "ada", &second, &former));
    assert_eq!(third.generation, Generation(3));
    assert_eq!(third.content, small());
}

#[test]
fn generations_beyond_memory_are_told_apart() {
    let first = first_record();
    let wanted = Generation(9);
    let newest = Generation(1);
    let future = HistoryError::Future { wanted, newest };
    assert_eq!(first.content_at(wanted), Err(future));
    assert!(first.content_at(Generation(0)).unwrap().models.is_empty());
    let mut trimmed = first;
    trimmed.recent[0].edits = None;
    let wanted = Generation(0);
    let forgotten = HistoryError::Forgotten {
        wanted,
        oldest: newest,
    };
    assert_eq!(trimmed.content_at(wanted), Err(forgotten));
}

/// As large as the fleet is to grow: 3,500 engines, 490 models, 1,200 adapters.
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
    // The first change of a large fleet holds everything twice: as content and as edits. When
    // the two don't fit, the edits go, and the change's id stays.
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
fn edits_go_before_the_record_outgrows_the_store() {
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
