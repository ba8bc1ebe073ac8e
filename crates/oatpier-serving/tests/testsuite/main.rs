//! Tests of the decisions of gateways and sidecars.

mod admission;
mod budget;
mod choice;
mod crash_fleet;
mod crashes;
mod crashing_loads;
mod demand;
mod directory;
mod fingerprint;
mod forecast;
mod messages;
mod part_store;
mod peers;
mod permits;
mod planner;
mod quota_fleet;
mod quota_holder;
mod quota_tenure;
mod reading;
mod reads;
mod relays;
mod residency;
mod rights;
mod site;
mod support;
