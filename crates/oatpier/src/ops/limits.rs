//! The limits of workspaces: the configured values, the gateways that grant them, and their use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode, Uri};
use oatpier_platform::config;
use oatpier_serving::site::SiteConfig;
use oatpier_serving::workspace::quota::QuotaUnit;
use oatpier_serving::workspace::{WorkspaceRule, WorkspaceTable};
use oatpier_types::errors::error_chain;
use oatpier_wire::client::{ClientLimits, HttpClient};
use serde::Serialize;

use super::crashes::{CALL_TIMEOUT, PlatformStore};
use crate::error::CommandError;

/// Maximum size of a metrics page, in bytes.
const MAX_METRICS_BYTES: usize = 4 << 20;

/// Prefix of the series that counts units by workspace.
const UNITS_SERIES: &str = "oatpier_serving_workspace_units_total{";

/// One workspace's limit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LimitRow {
    /// The workspace.
    pub workspace: String,
    /// The unit that is counted; `None` without a limit.
    pub unit: Option<&'static str>,
    /// Units per second.
    pub rate: Option<f64>,
    /// Burst size: units that may be used at once beyond the rate.
    pub burst: Option<f64>,
    /// The priority of its requests, if the workspace sets one.
    pub priority: Option<u8>,
    /// Units that the queried gateways have granted since they started.
    pub granted: u64,
    /// Units that the queried gateways have refused since they started.
    pub refused: u64,
}

/// The holder of one part of all limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PartRow {
    /// The index of the part.
    pub part: u8,
    /// The address at which the holder listens for other gateways; `None` if the last holder released the part.
    pub holder: Option<SocketAddr>,
}

/// The limits and the holders of their parts.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LimitsView {
    /// The version of the configuration.
    pub version: u64,
    /// All workspaces.
    pub limits: Vec<LimitRow>,
    /// The parts that have a record in the store.
    pub parts: Vec<PartRow>,
}

/// The units of one workspace, summed over gateways.
#[derive(Debug, Clone, Copy, Default)]
struct UnitCounts {
    granted: u64,
    refused: u64,
}

/// Reads the limits from the store, and their use from gateways' metrics.
///
/// # Errors
///
/// Returns an error if the store or a gateway does not answer, or the configuration is invalid.
pub async fn read_limits(
    store: &PlatformStore,
    gateways: &[SocketAddr],
) -> Result<LimitsView, CommandError> {
    let snapshot = store.read().await?;
    let value = snapshot.config.ok_or_else(|| CommandError::Refused {
        message: "the store has no configuration".to_owned(),
        help: "write a configuration first".to_owned(),
    })?;
    let config = config::decode(&value).map_err(|error| CommandError::Refused {
        message: error_chain(&error),
        help: "write a valid configuration".to_owned(),
    })?;
    let mut counts = BTreeMap::new();
    for gateway in gateways {
        add_counts(&fetch_metrics(*gateway).await?, &mut counts);
    }
    let mut parts: Vec<PartRow> = snapshot
        .parts
        .iter()
        .map(|entry| PartRow {
            part: entry.record.part.0,
            holder: entry.record.holder,
        })
        .collect();
    parts.sort_by_key(|row| row.part);
    Ok(LimitsView {
        version: config.version,
        limits: rows(&config, &counts),
        parts,
    })
}

fn rows(config: &SiteConfig, counts: &BTreeMap<String, UnitCounts>) -> Vec<LimitRow> {
    let rules = config.workspaces.iter().flat_map(WorkspaceTable::rules);
    let rows = rules.map(|rule| {
        let units = counts.get(rule.name.as_str()).copied().unwrap_or_default();
        row(rule, units)
    });
    rows.collect()
}

fn row(rule: &WorkspaceRule, units: UnitCounts) -> LimitRow {
    LimitRow {
        workspace: rule.name.to_string(),
        unit: rule.quota.map(|quota| match quota.unit {
            QuotaUnit::Requests => "requests",
            QuotaUnit::Tokens { .. } => "tokens",
        }),
        rate: rule.quota.map(|quota| quota.rate),
        burst: rule.quota.map(|quota| quota.burst),
        priority: rule.priority,
        granted: units.granted,
        refused: units.refused,
    }
}

async fn fetch_metrics(gateway: SocketAddr) -> Result<String, CommandError> {
    let client = HttpClient::new(ClientLimits::default());
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static("/metrics");
    let answer = client
        .fetch(gateway, request, CALL_TIMEOUT, MAX_METRICS_BYTES)
        .await;
    let failed = |message: String| CommandError::Refused {
        message: format!("can't read the metrics of {gateway}: {message}"),
        help: "pass the address at which the gateway serves metrics".to_owned(),
    };
    match answer {
        Ok(answer) if answer.status() == StatusCode::OK => {
            Ok(String::from_utf8_lossy(answer.body()).into_owned())
        }
        Ok(answer) => Err(failed(format!("it answered {}", answer.status()))),
        Err(error) => Err(failed(error_chain(&error))),
    }
}

/// Adds the counts of one gateway's metrics page.
fn add_counts(text: &str, counts: &mut BTreeMap<String, UnitCounts>) {
    for line in text
        .lines()
        .filter_map(|line| line.strip_prefix(UNITS_SERIES))
    {
        let Some((labels, value)) = line.split_once("} ") else {
            continue;
        };
        let Some(workspace) = label(labels, "workspace") else {
            continue;
        };
        let units: u64 = value.trim().parse().unwrap_or(0);
        let sum = counts.entry(workspace.to_owned()).or_default();
        match label(labels, "outcome") {
            Some("granted") => sum.granted += units,
            Some("refused") => sum.refused += units,
            _ => {}
        }
    }
}

fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let rows = labels.split(',');
    let mut values = rows.filter_map(|row| row.split_once('='));
    let (_, value) = values.find(|(found, _)| *found == name)?;
    Some(value.trim_matches('"'))
}
