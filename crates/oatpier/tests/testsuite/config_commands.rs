//! `oatpier config` as an operator uses it.

use std::path::Path;

use oatpier_standin::store::{DownMode, StoreFaults};

use crate::fixture::{Platform, SMALL, run_in};

fn examples() -> &'static Path {
    Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/config"
    ))
}

#[test]
fn examples_fit() {
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
fn check_shows_all_faults_with_their_places() {
    let folder = tempfile::tempdir().unwrap();
    let text = SMALL
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
fn check_refuses_what_does_not_fit_with_figures() {
    let folder = tempfile::tempdir().unwrap();
    let text = SMALL.replace("memory_mib = 300", "memory_mib = 2300");
    std::fs::write(folder.path().join("fleet.toml"), text).unwrap();
    let run = run_in(folder.path(), &["config", "check", "fleet.toml"]);
    assert_eq!(run.code, 1);
    insta::assert_snapshot!(run.stderr);
}

#[test]
fn mistyped_command_gets_a_suggestion() {
    let run = run_in(examples(), &["config", "aply"]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("'apply'"), "{}", run.stderr);
}

#[test]
fn change_goes_from_file_to_history_and_back() {
    let platform = Platform::start();
    platform.write("one.toml", SMALL);
    let run = platform.done(&["config", "apply", "one.toml", "-m", "the first"]);
    assert_eq!(run.stdout, "1\n");
    platform.write(
        "two.toml",
        &SMALL.replace("memory_mib = 300", "memory_mib = 310"),
    );
    let run = platform.done(&["config", "diff", "two.toml"]);
    assert_eq!(run.stdout, "~ model `halls`\n");
    let run = platform.done(&[
        "--json",
        "config",
        "apply",
        "two.toml",
        "-m",
        "larger halls",
    ]);
    assert_eq!(run.document()["generation"], 2);
    assert_eq!(run.document()["changed"], true);

    let history = platform.done(&["--json", "config", "history"]).document();
    assert_eq!(history[0]["generation"], 2);
    assert_eq!(history[0]["operator"], "ada");
    assert_eq!(history[0]["summary"], "larger halls");
    assert_eq!(history[1]["generation"], 1);
    let run = platform.done(&["config", "history", "--generation", "2"]);
    assert!(run.stdout.ends_with("~ model `halls`\n"), "{}", run.stdout);

    // The former content comes back as a new generation.
    let former = platform.done(&["config", "show", "--generation", "1"]);
    assert!(
        former.stdout.contains("based_on = 2\n"),
        "{}",
        former.stdout
    );
    platform.write("former.toml", &former.stdout);
    let run = platform.done(&["config", "apply", "former.toml"]);
    assert_eq!(run.stdout, "3\n");
    let run = platform.done(&["config", "apply", "former.toml"]);
    assert!(run.stderr.contains("Unchanged"), "{}", run.stderr);
}

#[test]
fn edited_copy_of_an_old_generation_undoes_nothing() {
    // Ada and Ben both take the text of generation 1. Ada adds a model. Ben changes another one,
    // and then a third change of his wants what Ada's model is named for something else.
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL);
    platform.done(&["config", "apply", "fleet.toml"]);
    let text = platform.done(&["config", "show"]).stdout;
    let model = "\n[model.extra]\npool = \"seat-llm\"\nversion = \"1\"\nmemory_mib = 50\n\
                 class = \"drafting\"\n";
    platform.write("ada.toml", &format!("{text}{model}"));
    platform.done(&["config", "apply", "ada.toml"]);
    platform.write(
        "ben.toml",
        &text.replace("memory_mib = 400", "memory_mib = 410"),
    );
    let run = platform.done(&["--json", "config", "apply", "ben.toml"]);
    assert_eq!(run.document()["beside"].as_array().unwrap().len(), 1);
    let now = platform.done(&["config", "show"]).stdout;
    assert!(
        now.contains("[model.extra]") && now.contains("memory_mib = 410"),
        "{now}"
    );

    let clashing = model.replace("memory_mib = 50", "memory_mib = 60");
    platform.write("ben.toml", &format!("{text}{clashing}"));
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
fn generation_that_is_not_there_is_an_error() {
    let platform = Platform::start();
    let run = platform.run(&["config", "show", "--generation", "9"]);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("the newest is 0"), "{}", run.stderr);
}

#[test]
fn store_that_is_away_gives_its_own_exit_code() {
    let platform = Platform::start();
    platform.set_faults(StoreFaults {
        down: Some(DownMode::Refuse),
        ..StoreFaults::default()
    });
    platform.write("fleet.toml", SMALL);
    let run = platform.run(&["config", "apply", "fleet.toml", "--timeout", "200ms"]);
    assert_eq!(run.code, 4, "{}", run.stderr);
    let run = platform.run(&["config", "show"]);
    assert_eq!(run.code, 4, "{}", run.stderr);
}

#[test]
fn lost_answer_of_a_real_connection_is_settled() {
    // The store's connection breaks after the write took effect. The command must say that the
    // change was accepted, and the history must hold it once.
    let platform = Platform::start();
    platform.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    platform.write("fleet.toml", SMALL);
    let run = platform.done(&["config", "apply", "fleet.toml"]);
    assert!(
        run.stderr.contains("Accepted generation 1"),
        "{}",
        run.stderr
    );
    let history = platform.done(&["--json", "config", "history"]).document();
    assert_eq!(history.as_array().unwrap().len(), 1);
}

#[test]
fn file_without_its_generation_is_warned_about() {
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL);
    let run = platform.done(&["config", "apply", "fleet.toml"]);
    assert!(!run.stderr.contains("warning"), "{}", run.stderr);
    platform.write(
        "fleet.toml",
        &SMALL.replace("memory_mib = 300", "memory_mib = 310"),
    );
    let run = platform.done(&["config", "apply", "fleet.toml"]);
    assert!(
        run.stderr.contains("it replaced all of generation 1"),
        "{}",
        run.stderr
    );
}

#[test]
fn second_try_of_a_change_needs_its_generation() {
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL);
    let again = ["config", "apply", "fleet.toml", "--change", "0a"];
    let run = platform.run(&again);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("--base N"), "{}", run.stderr);
    let again = [&again[..], &["--base", "0"]].concat();
    platform.done(&again);
    let run = platform.done(&again);
    assert!(
        run.stderr.contains("Accepted generation 1"),
        "{}",
        run.stderr
    );
    let history = platform.done(&["--json", "config", "history"]).document();
    assert_eq!(history.as_array().unwrap().len(), 1);
}

#[test]
fn accepted_change_that_does_not_spread_has_its_own_exit_code() {
    // The change is in the store, and no entry answers which generation is in force. "Nothing
    // was changed" would be wrong, and so would "done".
    let platform = Platform::start();
    platform.write("fleet.toml", SMALL);
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
