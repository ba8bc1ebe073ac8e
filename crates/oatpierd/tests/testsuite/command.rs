//! The command line, and the exit codes that a service manager relies on.

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

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn valid_settings_are_reported_and_exit_with_0() {
    for duty in ["entry", "agent"] {
        let path = example(&format!("{duty}.toml"));
        let output = oatpierd(&[duty, "--settings", &path, "--check-settings"]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.ends_with("are valid\n"), "{text}");
    }
}

#[test]
fn invalid_settings_exit_with_2_and_list_all_errors() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    let text = std::fs::read_to_string(example("entry.toml")).unwrap();
    let text = text.replace("connections = 10000", "connections = 0");
    std::fs::write(&path, text.replace("zone = ", "zoen = ")).unwrap();
    let output = oatpierd(&["entry", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = stderr(&output);
    for part in ["entry.toml", "`zoen`", "`zone` is missing", "connections"] {
        assert!(stderr.contains(part), "{part} is not in: {stderr}");
    }
}

#[test]
fn missing_file_and_invalid_command_line_exit_with_2() {
    let missing = oatpierd(&["agent", "--settings", "/nowhere/agent.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(stderr(&missing).contains("/nowhere/agent.toml"));
    let wrong = oatpierd(&["entri"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(
        stderr(&wrong).contains("entry"),
        "a similar name must be suggested"
    );
}

/// Another process listens on the configured address. The daemon must report the address and its use, and exit with 1
/// before it starts anything.
#[test]
fn address_in_use_exits_with_1() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agent.toml");
    let text = std::fs::read_to_string(example("agent.toml")).unwrap();
    std::fs::write(&path, text.replace("10.2.0.17:7070", &address)).unwrap();
    let output = oatpierd(&["agent", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains(&address), "{}", stderr(&output));
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
