//! A gateway as a process.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use oatpier_soak::history::{CallEnd, CallKind, EventHistory};
use oatpier_soak::standin::caller;
use oatpier_soak::standin::settings::ProcessSettings;
use tempfile::TempDir;

use crate::gauge::ProcessGauge;
use crate::standins::PlatformStandins;
use crate::support::fleet::eventually;

/// The ports of the gateway, relative to the first port of its range.
const FRONT_OFFSET: u16 = 20;
const READINESS_OFFSET: u16 = 21;

/// A gateway with the stand-ins around it. Dropping it kills the process.
pub struct RunningGateway {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    process: Child,
    pub standins: PlatformStandins,
    _folder: TempDir,
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl RunningGateway {
    /// Starts a gateway whose settings have `limits` in the table of that name, and waits until it serves.
    pub async fn start(limits: &str) -> Self {
        let standins = PlatformStandins::start().await;
        let block = standins.block;
        let folder = tempfile::tempdir().unwrap();
        let front = block.address(2, FRONT_OFFSET);
        let readiness = block.address(2, READINESS_OFFSET);
        let settings = ProcessSettings {
            name: "gateway-1".to_owned(),
            ip: block.ip(2),
            zone: "north",
            inner_port: block.address(2, 0).port(),
            callers: Some((front, readiness)),
            engine: None,
            store: standins.store,
            is_first_start: true,
        };
        let process = start_node("gateway", &settings, limits, &folder);
        let gateway = Self {
            front,
            readiness,
            process,
            standins,
            _folder: folder,
        };
        gateway.expect_service("before the crowd").await;
        gateway
    }

    pub fn gauge(&self) -> ProcessGauge {
        ProcessGauge::start(self.process.id())
    }

    /// Checks that an ordinary caller, which returns after a refusal, gets its answer.
    pub async fn expect_service(&self, when: &str) {
        let client = caller::new_client();
        let history = EventHistory::default();
        eventually(
            &format!("an ordinary request is served {when}"),
            async || {
                let id = format!("{:012x}", rand::random::<u32>());
                let call = caller::build_call(&id, CallKind::Unsafe, "", None);
                let outcome = caller::send(&client, self.front, &call, None, &history).await;
                matches!(outcome.end, CallEnd::Complete { status: 200, .. })
            },
        )
        .await;
    }
}

/// Starts a gateway or a sidecar with `limits` in its settings.
pub fn start_node(role: &str, settings: &ProcessSettings, limits: &str, folder: &TempDir) -> Child {
    let path = folder.path().join(format!("{}.toml", settings.name));
    let text = format!("{}[limits]\n{limits}\n", settings.text());
    std::fs::write(&path, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_oatpierd"))
        .arg(role)
        .arg("--settings")
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
