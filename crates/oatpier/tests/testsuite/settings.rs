//! Tests of the operator's settings.

use std::time::Duration;

use oatpier::settings::{OperatorSettings, SettingsText};

use crate::fixture::{Platform, run_in};

fn read(text: &str) -> Result<OperatorSettings, Vec<String>> {
    let raw = SettingsText {
        file: "oatpier.toml",
        text,
        user: "ada",
    };
    OperatorSettings::try_from(raw)
        .map_err(|errors| errors.errors.iter().map(ToString::to_string).collect())
}

#[test]
fn missing_keys_get_defaults() {
    let settings = read("store = \"10.0.0.9:2379\"").unwrap();
    assert_eq!(settings.operator, "ada");
    assert_eq!(settings.timeout, Duration::from_secs(2));
    assert!(settings.entries.is_empty());
}

#[test]
fn example_settings_are_valid() {
    let text = include_str!("../../../../examples/config/operator.toml");
    let settings = read(text).unwrap();
    assert_eq!(settings.operator, "adaeze");
    assert_eq!(settings.entries.len(), 3);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = "entries = [\"entry-1:80\", \"10.0.0.1:80\"]\ntimeout = \"0s\"\n";
    assert_eq!(
        read(text).unwrap_err(),
        [
            "`store` is missing",
            "`entry-1:80` is not an IP address with a port",
            "`0s` is not a positive duration",
        ]
    );
    assert_eq!(read("stor = 1").unwrap_err(), ["unknown key `stor`"]);
}

#[test]
fn invalid_settings_give_the_usage_exit_code() {
    let platform = Platform::start();
    platform.write("oatpier.toml", "stor = \"10.0.0.9:2379\"\n");
    let run = platform.run(&["config", "show"]);
    assert_eq!(run.code, 2);
    insta::assert_snapshot!(run.stderr);
    let folder = tempfile::tempdir().unwrap();
    let run = run_in(folder.path(), &["config", "show"]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("--settings"), "{}", run.stderr);
}
