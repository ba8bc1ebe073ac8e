//! Tests of gateways, with requests to scripted endpoints over loopback connections.

mod crashes;
mod exchange;
mod failures;
mod forwarding;
mod keys;
mod leaving;
mod observing;
mod paces;
mod permits;
mod promises;
mod quota;
mod rate_limits;
mod records;
mod refusals;
mod relayed;
mod rests;
mod returns;
mod share_updates;
mod shares;
mod slow_callers;
mod statuses;
mod stops;
mod store_reading;
mod streams;
mod support;
mod versions;
