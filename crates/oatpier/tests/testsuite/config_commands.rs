//! End-to-end tests of `oatpier config`.

use std::path::Path;

use oatpier_standin::store::{DownMode, StoreFaults};

use crate::fixture::{Platform, SMALL_CONFIG, run_in};

fn examples() -> &'static Path {
    Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/config"
    ))
}

#[test]
fn example_configs_fit_into_memory() {
    let mut text = String::new();
    for file in ["ijoko.toml", "tussock.toml"] {
        let run = run_in(examples(), &["config", "check", file]);
        assert_eq!(run.code, 0, "{}", run.stderr);
        text += &run.stderr;
        text += &run.stdout;
    }
    insta::assert_snapshot!(text);
}

#[test]
fn check_lists_all_errors_with_positions() {
    let folder = tempfile::tempdir().unwrap();
    let text = SMALL_CONFIG
        .replace("attain = 0.95", "attain = 95")
        .replace("slots = 16", "slot = 16")
        .replace("class = \"drafting\"", "class = \"draft\"");
    std::fs::write(folder.path().join("fleet.toml"), text).unwrap();
    let run = run_in(folder.path(), &["config", "check", "fleet.toml"]);
    assert_eq!(run.code, 1);
    assert_eq!(run.stdout, "");
    insta::assert_snapshot!(run.stderr);
    let run = run_in(folder.path(), &["--json", "config", "check", "fleet.toml"]);
    assert_eq!(run.code, 1);
    insta::assert_snapshot!(run.stdout);
}

#[test]
fn check_rejects_config_that_exceeds_memory() {
    let folder = tempfile::tempdir().unwrap();
    let text = SMALL_CONFIG.replace("memory_mib = 300", "memory_mib = 2300");
    std::fs::write(folder.path().join("fleet.toml"), text).unwrap();
    let run = run_in(folder.path(), &["config", "check", "fleet.toml"]);
    assert_eq!(run.code, 1);
    insta::assert_snapshot!(run.stderr);
}

#[test]
fn mistyped_subcommand_gets_a_suggestion() {
    let run = run_in(examples(), &["config", "aply"]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("'apply'"), "{}", run.stderr);
}

#[test]
fn applied_change_is_in_history_and_can_be_reverted() {
    let platform = Platform::start();
    platform.write("one.toml", SMALL_CONFIG);
    let run = platform.run_ok(&["config", "apply", "one.toml", "-m", "the first"]);
    assert_eq!(run.stdout, "1\n");
    platform.write(
        "two.toml",
        &SMALL_CONFIG.replace("memory_mib = 300", "memory_mib = 310"),
    );
    let run = platform.run_ok(&["config", "diff", "two.toml"]);
    assert_eq!(run.stdout, "~ model `halls`\n");
    let run = platform.run_ok(&[
        "--json",
        "config",
        "apply",
        "two.toml",
        "-m",
        "larger halls",
    ]);
    assert_eq!(run.document()["generation"], 2);
    assert_eq!(run.document()["changed"], true);

    let history = platform.run_ok(&["--json", "config", "history"]).document();
    assert_eq!(history[0]["generation"], 2);
    assert_eq!(history[0]["operator"], "ada");
    assert_eq!(history[0]["summary"], "larger halls");
    assert_eq!(history[1]["generation"], 1);
    let run = platform.run_ok(&["config", "history", "--generation", "2"]);
    assert!(run.stdout.ends_with("~ model `halls`\n"), "{}", run.stdout);

    // Applying an earlier content makes a new generation.
    let former = platform.run_ok(&["config", "show", "--generation", "1"]);
    assert!(
        former.stdout.contains("based_on = 2\n"),
        "{}",
        former.stdout
    );
    platform.write("former.toml", &former.stdout);
    let run = platform.run_ok(&["config", "apply", "former.toml"]);
    assert_eq!(run.stdout, "3\n");
    let run = platform.run_ok(&["config", "apply", "former.toml"]);
    assert!(run.stderr.contains("Unchanged"), "{}", run.stderr);
}

#[test]
fn edit_of_an_old_generation_keeps_concurrent_changes() {
    // Ada and Ben both edit the text of generation 1. Ada adds a model, and Ben changes another one, so both changes
    // are accepted. Then Ben adds a model with the name of Ada's model but other content, which conflicts.
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL_CONFIG);
    platform.run_ok(&["config", "apply", "fleet.toml"]);
    let text = platform.run_ok(&["config", "show"]).stdout;
    let model = "\n[model.extra]\npool = \"seat-llm\"\nversion = \"1\"\nmemory_mib = 50\n\
                 class = \"drafting\"\n";
    platform.write("ada.toml", &format!("{text}{model}"));
    platform.run_ok(&["config", "apply", "ada.toml"]);
    platform.write(
        "ben.toml",
        &text.replace("memory_mib = 400", "memory_mib = 410"),
    );
    let run = platform.run_ok(&["--json", "config", "apply", "ben.toml"]);
    assert_eq!(run.document()["beside"].as_array().unwrap().len(), 1);
    let now = platform.run_ok(&["config", "show"]).stdout;
    assert!(
        now.contains("[model.extra]") && now.contains("memory_mib = 410"),
        "{now}"
    );

    let conflicting = model.replace("memory_mib = 50", "memory_mib = 60");
    platform.write("ben.toml", &format!("{text}{conflicting}"));
    let run = platform.run(&["config", "apply", "ben.toml"]);
    assert_eq!(run.code, 3, "{}", run.stderr);
    assert!(
        run.stderr
            .contains("model `extra` changed since generation 1 by ada")
    );
    let run = platform.run(&["--json", "config", "apply", "ben.toml"]);
    assert_eq!(run.document()["error"]["exit_code"], 3);
}

#[test]
fn unknown_generation_is_an_error() {
    let platform = Platform::start();
    let run = platform.run(&["config", "show", "--generation", "9"]);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("the newest is 0"), "{}", run.stderr);
}

#[test]
fn unavailable_store_gives_the_unreachable_exit_code() {
    let platform = Platform::start();
    platform.set_faults(StoreFaults {
        down: Some(DownMode::Refuse),
        ..StoreFaults::default()
    });
    platform.write("fleet.toml", SMALL_CONFIG);
    let run = platform.run(&["config", "apply", "fleet.toml", "--timeout", "200ms"]);
    assert_eq!(run.code, 4, "{}", run.stderr);
    let run = platform.run(&["config", "show"]);
    assert_eq!(run.code, 4, "{}", run.stderr);
}

#[test]
fn lost_answer_over_tcp_still_reports_acceptance() {
    // The connection to the store breaks after the write has taken effect. The command must report that the change
    // was accepted, and the history must contain it once.
    let platform = Platform::start();
    platform.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    platform.write("fleet.toml", SMALL_CONFIG);
    let run = platform.run_ok(&["config", "apply", "fleet.toml"]);
    assert!(
        run.stderr.contains("Accepted generation 1"),
        "{}",
        run.stderr
    );
    let history = platform.run_ok(&["--json", "config", "history"]).document();
    assert_eq!(history.as_array().unwrap().len(), 1);
}

#[test]
fn file_without_based_on_gives_a_warning() {
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL_CONFIG);
    let run = platform.run_ok(&["config", "apply", "fleet.toml"]);
    assert!(!run.stderr.contains("warning"), "{}", run.stderr);
    platform.write(
        "fleet.toml",
        &SMALL_CONFIG.replace("memory_mib = 300", "memory_mib = 310"),
    );
    let run = platform.run_ok(&["config", "apply", "fleet.toml"]);
    assert!(
        run.stderr.contains("it replaced all of generation 1"),
        "{}",
        run.stderr
    );
}

#[test]
fn retry_of_a_change_needs_its_base_generation() {
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL_CONFIG);
    let again = ["config", "apply", "fleet.toml", "--change", "0a"];
    let run = platform.run(&again);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("--base N"), "{}", run.stderr);
    let again = [&again[..], &["--base", "0"]].concat();
    platform.run_ok(&again);
    let run = platform.run_ok(&again);
    assert!(
        run.stderr.contains("Accepted generation 1"),
        "{}",
        run.stderr
    );
    let history = platform.run_ok(&["--json", "config", "history"]).document();
    assert_eq!(history.as_array().unwrap().len(), 1);
}

#[test]
fn accepted_change_not_in_force_gives_the_partial_exit_code() {
    // The change is in the store, but no entry reports which generation is in force. Neither the exit code for "nothing
    // was changed" nor the one for "done" would be correct.
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL_CONFIG);
    let run = platform.run(&["config", "apply", "fleet.toml", "--wait", "100ms"]);
    assert_eq!(run.code, 6, "{}", run.stderr);
    assert!(
        run.stderr.contains("generation 1 is accepted"),
        "{}",
        run.stderr
    );
}

#[test]
fn completions_name_the_subcommands() {
    let run = run_in(examples(), &["completions", "bash"]);
    assert_eq!(run.code, 0);
    assert!(run.stdout.contains("history"));
}
