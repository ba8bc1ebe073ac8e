//! The duties of gateways and sidecars.
//!
//! | process | duty | module | does |
//! | --- | --- | --- | --- |
//! | gateway | callers | [`gateway`] | takes requests, sends them to endpoints, answers; hears pulses and peers, plans loads |
//! | gateway | records | [`records`] | reads configuration and registry from the store |
//! | gateway | crashes | [`crash_writer`] | writes to the store which requests were at endpoints that ended |
//! | gateway | config | [`config_share`] | passes the configuration on to gateways that the store turns away |
//! | gateway | parts | [`parts_writer`] | claims and renews parts of workspaces' limits in the store |
//! | sidecar | engine | [`sidecar`] | reads its engine's report, gives it orders, sends pulses |
//! | both | reload | [`reload`] | takes changes of the settings file over |
//! | both | logs | [`decisions`] | writes decision lines, never blocking the others |
//! | both | observe | [`observe`] | metrics and readiness |
//!
//! [`frame`] starts the duties of both. Decisions are in `oatpier-serving`, names and formats of the users' platform in `platform/`.

pub mod config_share;
pub mod crash_writer;
pub mod decisions;
pub mod exchange;
pub mod frame;
pub mod gateway;
pub mod metrics;
pub mod notice_metrics;
pub mod observe;
pub mod parts_writer;
pub mod records;
pub mod reload;
pub mod sidecar;
pub mod workspace_metrics;
