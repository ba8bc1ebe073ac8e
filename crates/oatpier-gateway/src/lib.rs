//! The threads of gateways and sidecars.
//!
//! | process | thread | module | purpose |
//! | --- | --- | --- | --- |
//! | gateway | callers | [`gateway`] | forwards and answers requests, receives statuses and reports, plans loads |
//! | gateway | records | [`store_reader`] | reads configuration and registry from the store |
//! | gateway | crashes | [`crash_writer`] | writes to the store which requests ran at endpoints when these ended |
//! | gateway | share | [`share`] | shares what is known of the store with gateways that can't read it |
//! | gateway | parts | [`parts_writer`] | claims and renews parts of workspaces' limits in the store |
//! | sidecar | engine | [`sidecar`] | reads its engine's report, sends it orders, sends status updates |
//! | both | reload | [`reload`] | reloads the settings file |
//! | both | logs | [`decisions`] | writes decision lines without blocking the other threads |
//! | both | observe | [`observe`] | serves metrics and readiness |
//!
//! [`node_process`] starts the threads that both have. Decisions are made in `oatpier-serving`; names and formats of
//! the users' platform are in `platform/`.

pub mod admission_metrics;
pub mod crash_writer;
pub mod decisions;
pub mod exchange;
pub mod gateway;
pub mod metrics;
pub mod node_process;
pub mod notice_metrics;
pub mod observe;
pub mod pace_metrics;
pub mod parts_writer;
pub mod reload;
pub mod share;
pub mod sidecar;
pub mod store_reader;
pub mod stream_metrics;
pub mod workspace_metrics;
