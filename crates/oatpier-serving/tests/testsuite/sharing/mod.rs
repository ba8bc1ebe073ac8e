//! Which workspaces get engines that cannot serve all requests.

mod engines;
mod failures;
mod hot_workspace;
mod lone_workspace;
mod long_responses;
mod order;
mod properties;
mod rare_model;
mod sixteen_workspaces;
mod weights;
