//! A sidecar as a process.

use std::net::SocketAddr;
use std::process::Child;

use oatpier_soak::standin::settings::ProcessSettings;
use tempfile::TempDir;

use crate::gateway::start_node;
use crate::gauge::ProcessGauge;
use crate::standins::PlatformStandins;

/// The last port of the range, relative to the first.
const METRICS_OFFSET: u16 = 15;

/// A sidecar whose engine doesn't answer. Dropping it kills the process.
pub struct RunningSidecar {
    pub metrics: SocketAddr,
    process: Child,
    _standins: PlatformStandins,
    _folder: TempDir,
}

impl Drop for RunningSidecar {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl RunningSidecar {
    pub async fn start(limits: &str) -> Self {
        let standins = PlatformStandins::start().await;
        let block = standins.block;
        let folder = tempfile::tempdir().unwrap();
        let settings = ProcessSettings {
            name: "sidecar-1".to_owned(),
            ip: block.ip(3),
            zone: "north",
            inner_port: block.address(3, 0).port(),
            callers: None,
            engine: Some(block.address(3, 40)),
            store: standins.store,
            is_first_start: true,
        };
        let process = start_node("sidecar", &settings, limits, &folder);
        Self {
            metrics: block.address(3, METRICS_OFFSET),
            process,
            _standins: standins,
            _folder: folder,
        }
    }

    pub fn gauge(&self) -> ProcessGauge {
        ProcessGauge::start(self.process.id())
    }
}
