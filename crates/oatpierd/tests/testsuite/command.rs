//! The command line, and the exit codes that a service manager goes by.

use std::path::PathBuf;
use std::process::{Command, Output};

fn oatpierd(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oatpierd"));
    command.args(arguments).output().unwrap()
}

fn example(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = folder.join("examples-settings").join(name);
    path.to_str().unwrap().to_owned()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn good_settings_are_told_and_end_with_0() {
    for duty in ["entry", "agent"] {
        let path = example(&format!("{duty}.toml"));
        let output = oatpierd(&[duty, "--settings", &path, "--check-settings"]);
        assert_eq!(output.status.code(), Some(0), "{}", said(&output));
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.ends_with("are good\n"), "{text}");
    }
}

#[test]
fn wrong_settings_end_with_2_and_name_place_value_and_mend() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    let text = std::fs::read_to_string(example("entry.toml")).unwrap();
    let text = text.replace("connections = 10000", "connections = 0");
    std::fs::write(&path, text.replace("zone = ", "zoen = ")).unwrap();
    let output = oatpierd(&["entry", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let said = said(&output);
    for part in ["entry.toml", "`zoen`", "`zone` is missing", "connections"] {
        assert!(said.contains(part), "{part} is not in: {said}");
    }
}

#[test]
fn a_missing_file_and_a_wrong_command_line_end_with_2() {
    let missing = oatpierd(&["agent", "--settings", "/nowhere/agent.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(said(&missing).contains("/nowhere/agent.toml"));
    let wrong = oatpierd(&["entri"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(said(&wrong).contains("entry"), "a near name is suggested");
}

/// Another process has the address that the settings name. The daemon says which and for what,
/// and ends with 1 before it has started anything.
#[test]
fn an_address_in_use_ends_with_1() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agent.toml");
    let text = std::fs::read_to_string(example("agent.toml")).unwrap();
    std::fs::write(&path, text.replace("10.2.0.17:7070", &address)).unwrap();
    let output = oatpierd(&["agent", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(said(&output).contains(&address), "{}", said(&output));
}

#[test]
fn help_names_exit_codes_and_signals() {
    for duty in ["entry", "agent"] {
        let output = oatpierd(&[duty, "--help"]);
        let text = String::from_utf8(output.stdout).unwrap();
        for part in ["SIGTERM", "/metrics", "--check-settings", "Exit codes:"] {
            assert!(text.contains(part), "{part} is not in: {text}");
        }
    }
}
