//! Tests of an entry's decisions about requests.

mod attainment;
mod claims;
mod fault_grid;
mod health;
mod limits;
mod outcome;
mod prefix;
mod properties;
mod requests;
mod routing;
mod support;
mod table;
