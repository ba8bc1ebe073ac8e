//! The limits of workspaces: what is in force, who hands it out, and how much was used.

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

use super::crashes::{CALL_WAIT, PlatformStore};
use crate::error::CommandError;

/// The largest page of metrics that is read, in bytes.
const METRICS_BYTES: usize = 4 << 20;

/// The series that counts units by workspace.
const UNITS_SERIES: &str = "oatpier_serving_workspace_units_total{";

/// One workspace's limit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LimitRow {
    /// The workspace.
    pub workspace: String,
    /// What is counted; none without a limit.
    pub unit: Option<&'static str>,
    /// Units a second.
    pub rate: Option<f64>,
    /// Units at once beyond the rate.
    pub burst: Option<f64>,
    /// The rank of its requests, if it has one of its own.
    pub priority: Option<u8>,
    /// Units that the asked gateways have handed out since they started.
    pub granted: u64,
    /// Units that they have refused.
    pub refused: u64,
}

/// Who hands out one part of all limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PartRow {
    /// The part.
    pub part: u8,
    /// Where its holder hears other gateways; none if the last one gave it back.
    pub holder: Option<SocketAddr>,
}

/// The limits and their holders.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LimitsView {
    /// The version of the configuration.
    pub version: u64,
    /// All workspaces.
    pub limits: Vec<LimitRow>,
    /// The parts that have an entry.
    pub parts: Vec<PartRow>,
}

/// What gateways count of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct CountedUnits {
    granted: u64,
    refused: u64,
}

/// Reads the limits from the store, and their use from gateways' metrics.
///
/// # Errors
///
/// The store or a gateway did not answer, or the configuration can't be used.
pub async fn view(
    store: &PlatformStore,
    gateways: &[SocketAddr],
) -> Result<LimitsView, CommandError> {
    let snapshot = store.read().await?;
    let value = snapshot.config.ok_or_else(|| CommandError::Refused {
        message: "the store has no configuration".to_owned(),
        mend: "write one first".to_owned(),
    })?;
    let config = config::decode(&value).map_err(|error| CommandError::Refused {
        message: error_chain(&error),
        mend: "write a configuration that can be used".to_owned(),
    })?;
    let mut counted = BTreeMap::new();
    for gateway in gateways {
        count(&metrics(*gateway).await?, &mut counted);
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
        limits: rows(&config, &counted),
        parts,
    })
}

fn rows(config: &SiteConfig, counted: &BTreeMap<String, CountedUnits>) -> Vec<LimitRow> {
    let rules = config.workspaces.iter().flat_map(WorkspaceTable::rules);
    let rows = rules.map(|rule| {
        let units = counted.get(rule.name.as_str()).copied().unwrap_or_default();
        row(rule, units)
    });
    rows.collect()
}

fn row(rule: &WorkspaceRule, units: CountedUnits) -> LimitRow {
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

async fn metrics(gateway: SocketAddr) -> Result<String, CommandError> {
    let client = HttpClient::new(ClientLimits::default());
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static("/metrics");
    let answer = client
        .fetch(gateway, request, CALL_WAIT, METRICS_BYTES)
        .await;
    let unread = |message: String| CommandError::Refused {
        message: format!("the metrics of {gateway} were not read: {message}"),
        mend: "name the address at which the gateway serves metrics".to_owned(),
    };
    match answer {
        Ok(answer) if answer.status() == StatusCode::OK => {
            Ok(String::from_utf8_lossy(answer.body()).into_owned())
        }
        Ok(answer) => Err(unread(format!("it answered {}", answer.status()))),
        Err(error) => Err(unread(error_chain(&error))),
    }
}

/// Adds what one gateway counts.
fn count(text: &str, counted: &mut BTreeMap<String, CountedUnits>) {
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
        let sum = counted.entry(workspace.to_owned()).or_default();
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
