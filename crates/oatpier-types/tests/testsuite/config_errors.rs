//! What an operator sees of a wrong text: all faults at once, each with its place and its mend.

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

fn faults(text: &str) -> Vec<String> {
    let errors = ConfigDocument::read("fleet.toml", text).unwrap_err();
    errors.faults.iter().map(ToString::to_string).collect()
}

#[test]
fn all_faults_of_a_text_come_at_once() {
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
fn syntax_faults_come_alone() {
    let text = SMALL
        .replace("slots = 16", "slots = ")
        .replace("attain = 0.95", "attain 0.95");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn table_given_twice_is_a_fault() {
    let text = format!("{SMALL}\n[model.tables]\npool = \"seat-llm\"\n");
    assert!(
        faults(&text)[0].contains("duplicate key"),
        "{:?}",
        faults(&text)
    );
}

#[test]
fn fault_of_an_item_does_not_show_as_faults_of_its_users() {
    // The class can't be read, so two models and a pool refer to nothing. The operator made one
    // mistake and is to see one.
    let text = SMALL.replace("attain = 0.95", "");
    assert_eq!(faults(&text), ["class `drafting`: `attain` is missing"]);
    let text = SMALL.replace("zones = [\"ikeja\", \"lekki\"]", "zones = 3");
    assert_eq!(faults(&text).len(), 1, "{:?}", faults(&text));
}

#[test]
fn endpoint_in_two_places_is_a_fault() {
    let overlapping = "[[pool.seat-llm.group]]\nzone = \"lekki\"\nprefix = \"seat-llm-ikeja-\"\n\
                       count = 9\n";
    let same_pool = SMALL.replace(
        "[pool.plan-api]\n",
        &format!("{overlapping}\n[pool.plan-api]\n"),
    );
    assert_eq!(
        faults(&same_pool),
        ["endpoint `seat-llm-ikeja-1`: the name is in use already, by pool `seat-llm`"]
    );
    let other_pool = SMALL.replace(
        "prefix = \"plan-api-\"\nfirst = 7",
        "prefix = \"seat-llm-ikeja-\"",
    );
    assert_eq!(faults(&other_pool).len(), 1, "{:?}", faults(&other_pool));
}

#[test]
fn forgotten_list_of_calls_is_a_fault() {
    // A call that was left out by oversight would be repeated after a fault: a seating change
    // applied twice. The list must therefore stand there, even if empty.
    let text = SMALL.replace("once = [\"POST /plans/*/apply\"]\n", "");
    assert_eq!(faults(&text), ["pool `plan-api`: `once` is missing"]);
}

#[test]
fn keys_of_the_other_kind_are_faults() {
    let text = SMALL
        .replace("kind = \"service\"", "kind = \"service\"\nmemory_mib = 5")
        .replace(
            "answer = \"150ms\"",
            "answer = \"150ms\"\nfirst_token = \"1s\"",
        )
        .replace("count = 3", "count = 3\nnames = []");
    assert_eq!(
        faults(&text),
        [
            "class `lookup`: `first_token` does not go with `answer`",
            "pool `seat-llm`: `prefix` does not go with `names`",
            "pool `seat-llm`: `count` does not go with `names`",
            "pool `plan-api`: `memory_mib` does not go with `kind = \"service\"`",
        ]
    );
}

#[test]
fn slip_of_a_digit_does_not_fill_the_memory() {
    let text = SMALL.replace("count = 3", "count = 3000000000");
    assert_eq!(
        faults(&text),
        ["pool `seat-llm`: `count` is 3000000000, more than 20000"]
    );
}

#[test]
fn sizes_whose_sum_overflows_are_faults() {
    let huge = i64::MAX;
    let text = SMALL
        .replace("memory_mib = 400", &format!("memory_mib = {huge}"))
        .replace("memory_mib = 300", &format!("memory_mib = {huge}"));
    assert_eq!(
        faults(&text),
        [
            format!("model `tables`: `memory_mib` is {huge}, more than 1073741824"),
            format!("model `halls`: `memory_mib` is {huge}, more than 1073741824"),
        ]
    );
}

#[test]
fn service_needs_a_class_of_whole_answers() {
    let text = SMALL.replace("class = \"lookup\"", "class = \"drafting\"");
    assert!(faults(&text)[0].contains("a plain service does not stream"));
}

#[test]
fn zero_sizes_are_faults() {
    let text = SMALL
        .replace("memory_mib = 400", "memory_mib = 0")
        .replace("slots = 32", "slots = 0")
        .replace("loads_per_second = 3.0", "loads_per_second = 0.0")
        .replace("answer = \"150ms\"", "answer = \"0s\"");
    assert_eq!(
        faults(&text),
        [
            "weight_store: `loads_per_second` is 0",
            "class `lookup`: `answer` is 0ns",
            "pool `plan-api`: `slots` is 0",
            "model `tables`: `memory_mib` is 0",
        ]
    );
}
