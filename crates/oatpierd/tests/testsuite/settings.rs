//! Settings files: the commented examples, and the errors for invalid files.

use std::time::Duration;

use oatpierd::settings::{AgentSettings, EntrySettings, RequestLimits, SettingsText};

fn text(text: &str) -> SettingsText {
    SettingsText {
        name: "test.toml".to_owned(),
        text: text.to_owned(),
    }
}

#[test]
fn entry_example_has_the_default_values() {
    let example = text(include_str!("../../examples-settings/entry.toml"));
    let settings = EntrySettings::try_from(&example).unwrap();
    assert_eq!(settings.limits, RequestLimits::default());
    assert_eq!(settings.stop_notice, Duration::from_millis(1500));
    assert_eq!(settings.silence_floor, Duration::from_millis(60));
    assert_eq!(settings.zone.as_str(), "ikeja");
}

#[test]
fn agent_example_is_valid() {
    let example = text(include_str!("../../examples-settings/agent.toml"));
    let settings = AgentSettings::try_from(&example).unwrap();
    assert_eq!(settings.pool.as_str(), "wool-scribe");
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let wrong = text(
        "name = \"entry 1\"\nvm = 7\nzone = \"ikeja\"\ncolour = \"red\"\n\
         [listen]\ncallers = \"entry.example:80\"\npeers = \"10.0.0.1:7\"\n\
         [platform]\nstore = \"10.0.0.2:1\"\nvm_list = \"10.0.0.3:1\"\n\
         [limits]\nconnections = 0\nidle_time = \"soon\"\n",
    );
    let errors = EntrySettings::try_from(&wrong).unwrap_err();
    let reported: Vec<_> = errors
        .errors
        .iter()
        .map(|error| {
            let start = error.span.offset();
            let span_text = &wrong.text[start..start + error.span.len()];
            format!("{} | at {span_text:?} | {}", error.message, error.help)
        })
        .collect();
    insta::assert_snapshot!(reported.join("\n"), @r#"
    `region` is missing | at "" | add a line such as `region = "lagos"`
    `name` is "entry 1", not a name | at "\"entry 1\"" | daemon name `entry 1` holds ` `; use letters, digits, `.`, `_`, `:`, `/` and `-`; for example "entry-ikeja-1"
    `vm` is 7, not a name | at "7" | it has to be a string; for example "vm-ikeja-1"
    `colour` is not a setting | at "colour" | remove it, or use one of: name, vm, zone, region, listen, platform, stop_notice, silence_floor, limits
    `observe` is missing in `[listen]` | at "[listen]" | add a line such as `observe = "10.0.0.7:7000"`
    `callers` is "entry.example:80", not an IP address with a port | at "\"entry.example:80\"" | names are not resolved; use an IP number and a port; for example "10.0.0.7:7000"
    `connections` is 0, which it can't be | at "0" | use a whole number from 1 to 1000000
    `idle_time` is "soon", not a duration | at "\"soon\"" | expected number at 0; for example "500ms"
    "#);
}

#[test]
fn invalid_toml_is_reported_with_its_position() {
    let errors = EntrySettings::try_from(&text("name = \n")).unwrap_err();
    assert_eq!(errors.errors.len(), 1);
    assert!(errors.errors[0].message.starts_with("this is not TOML"));
}
