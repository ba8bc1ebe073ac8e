//! A configuration that an operator applies reaches all processes.

use std::path::Path;
use std::process::{Command, Output};

use crate::support::config::config_text;
use crate::support::fleet::{Fleet, FleetSize, eventually};
use crate::support::process::operator_binary;

const SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 2,
    services: 1,
};

struct Operator<'f> {
    folder: &'f Path,
}

impl<'f> Operator<'f> {
    /// Writes an operator's settings for the fleet into a folder.
    fn of(fleet: &Fleet, folder: &'f Path) -> Self {
        let peers = fleet
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peers));
        let entries: Vec<_> = peers.collect();
        let settings = format!(
            "operator = \"amara\"\nstore = \"{}\"\nentries = [{}]\n",
            fleet.store.address,
            entries.join(", ")
        );
        std::fs::write(folder.join("oatpier.toml"), settings).unwrap();
        Self { folder }
    }

    /// Runs `oatpier` to completion, without blocking the test's own connections.
    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(operator_binary());
        command.args(arguments).current_dir(self.folder);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    async fn expect(&self, arguments: &[&str]) {
        let output = self.run(arguments).await;
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {stderr}");
    }
}

/// An operator changes a class's target with `oatpier config apply`. `oatpier config wait` must succeed only when the
/// generation is in force at each entry and agent. Then the metrics of each process must show the generation.
#[tokio::test]
async fn applied_configuration_reaches_all_processes() {
    let fleet = Fleet::start(SIZE).await;
    let folder = tempfile::tempdir().unwrap();
    let operator = Operator::of(&fleet, folder.path());
    let text = config_text(SIZE).replace("answer = \"1s\"", "answer = \"2s\"");
    std::fs::write(folder.path().join("fleet.toml"), text).unwrap();
    operator.expect(&["config", "apply", "fleet.toml"]).await;
    operator.expect(&["config", "wait"]).await;
    for daemon in fleet.entries.iter().chain(&fleet.agents) {
        eventually("the generation is shown", async || {
            let text = fleet.metrics(daemon).await;
            text.lines()
                .any(|line| line == "oatpier_config_generation 2")
        })
        .await;
    }
}
