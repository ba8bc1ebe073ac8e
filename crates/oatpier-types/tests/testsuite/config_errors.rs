//! Error reports for invalid texts: all errors at once, each with its location and a suggestion.

use miette::{GraphicalReportHandler, GraphicalTheme};
use oatpier_types::config::text::ConfigDocument;

use crate::fleets::SMALL;

fn report(text: &str) -> String {
    let errors = ConfigDocument::read("fleet.toml", text).unwrap_err();
    let theme = GraphicalTheme::unicode_nocolor();
    let mut out = String::new();
    GraphicalReportHandler::new_themed(theme)
        .with_width(100)
        .render_report(&mut out, &errors)
        .unwrap();
    out
}

fn error_messages(text: &str) -> Vec<String> {
    let errors = ConfigDocument::read("fleet.toml", text).unwrap_err();
    errors.errors.iter().map(ToString::to_string).collect()
}

#[test]
fn all_errors_of_a_text_are_reported_at_once() {
    let text = SMALL
        .replace("attain = 0.95", "attain = 1.5")
        .replace("between_tokens = \"33ms\"", "between_tokens = \"33\"")
        .replace("memory_mib = 1000", "memory_mib = \"much\"")
        .replace("slots = 16", "slots = -1")
        .replace("accelerators = 1", "acelerators = 1")
        .replace(
            "once = [\"POST /plans/*/apply\"]",
            "once = [\"post plans\"]",
        )
        .replace("zone = \"lekki\"\nnames", "zone = \"leki\"\nnames")
        .replace(
            "class = \"drafting\"\n\n[adapter",
            "class = \"draftin\"\n\n[adapter",
        )
        .replace("[adapter.tables-yoruba]", "[adapter.tables]")
        .replace("version = \"3\"\n", "");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn syntax_errors_hide_other_errors() {
    let text = SMALL
        .replace("slots = 16", "slots = ")
        .replace("attain = 0.95", "attain 0.95");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn duplicate_table_is_an_error() {
    let text = format!("{SMALL}\n[model.tables]\npool = \"seat-llm\"\n");
    assert!(
        error_messages(&text)[0].contains("duplicate key"),
        "{:?}",
        error_messages(&text)
    );
}

#[test]
fn error_in_an_item_is_not_repeated_for_its_references() {
    // The class is invalid, so the references to it from two models cannot be resolved. The
    // report must contain only the error in the class itself.
    let text = SMALL.replace("attain = 0.95", "");
    assert_eq!(
        error_messages(&text),
        ["class `drafting`: `attain` is missing"]
    );
    let text = SMALL.replace("zones = [\"ikeja\", \"lekki\"]", "zones = 3");
    assert_eq!(
        error_messages(&text).len(),
        1,
        "{:?}",
        error_messages(&text)
    );
}

#[test]
fn duplicate_endpoint_is_an_error() {
    let overlapping = "[[pool.seat-llm.group]]\nzone = \"lekki\"\nprefix = \"seat-llm-ikeja-\"\n\
                       count = 9\n";
    let same_pool = SMALL.replace(
        "[pool.plan-api]\n",
        &format!("{overlapping}\n[pool.plan-api]\n"),
    );
    assert_eq!(
        error_messages(&same_pool),
        ["endpoint `seat-llm-ikeja-1`: the name is already used by pool `seat-llm`"]
    );
    let other_pool = SMALL.replace(
        "prefix = \"plan-api-\"\nfirst = 7",
        "prefix = \"seat-llm-ikeja-\"",
    );
    assert_eq!(
        error_messages(&other_pool).len(),
        1,
        "{:?}",
        error_messages(&other_pool)
    );
}

#[test]
fn missing_list_of_once_calls_is_an_error() {
    // A call that is left out by mistake would be retried after a failure, and a change could be
    // applied twice. The list is therefore required, even if it is empty.
    let text = SMALL.replace("once = [\"POST /plans/*/apply\"]\n", "");
    assert_eq!(
        error_messages(&text),
        ["pool `plan-api`: `once` is missing"]
    );
}

#[test]
fn keys_of_another_kind_are_errors() {
    let text = SMALL
        .replace("kind = \"service\"", "kind = \"service\"\nmemory_mib = 5")
        .replace(
            "answer = \"150ms\"",
            "answer = \"150ms\"\nfirst_token = \"1s\"",
        )
        .replace("count = 3", "count = 3\nnames = []");
    assert_eq!(
        error_messages(&text),
        [
            "class `lookup`: `first_token` cannot be combined with `answer`",
            "pool `seat-llm`: `prefix` cannot be combined with `names`",
            "pool `seat-llm`: `count` cannot be combined with `names`",
            "pool `plan-api`: `memory_mib` cannot be combined with `kind = \"service\"`",
        ]
    );
}

#[test]
fn excessive_count_is_an_error() {
    let text = SMALL.replace("count = 3", "count = 3000000000");
    assert_eq!(
        error_messages(&text),
        ["pool `seat-llm`: `count` is 3000000000, more than 20000"]
    );
}

#[test]
fn sizes_whose_sum_overflows_are_errors() {
    let huge = i64::MAX;
    let text = SMALL
        .replace("memory_mib = 400", &format!("memory_mib = {huge}"))
        .replace("memory_mib = 300", &format!("memory_mib = {huge}"));
    assert_eq!(
        error_messages(&text),
        [
            format!("model `tables`: `memory_mib` is {huge}, more than 1073741824"),
            format!("model `halls`: `memory_mib` is {huge}, more than 1073741824"),
        ]
    );
}

#[test]
fn service_with_a_streaming_class_is_an_error() {
    let text = SMALL.replace("class = \"lookup\"", "class = \"drafting\"");
    assert!(error_messages(&text)[0].contains("a plain service does not stream"));
}

#[test]
fn zero_values_are_errors() {
    let text = SMALL
        .replace("memory_mib = 400", "memory_mib = 0")
        .replace("slots = 32", "slots = 0")
        .replace("loads_per_second = 3.0", "loads_per_second = 0.0")
        .replace("answer = \"150ms\"", "answer = \"0s\"");
    assert_eq!(
        error_messages(&text),
        [
            "weight_store: `loads_per_second` is 0",
            "class `lookup`: `answer` is 0ns",
            "pool `plan-api`: `slots` is 0",
            "model `tables`: `memory_mib` is 0",
        ]
    );
}
