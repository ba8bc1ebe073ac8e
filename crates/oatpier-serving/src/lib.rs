//! Decisions of gateways and sidecars, as plain state machines.
//!
//! A gateway takes callers' requests and sends them straight to endpoints; a sidecar runs beside
//! an engine and is the only process that gives it orders. Everything here goes from an event and
//! the time to a decision, without I/O, clocks or `async`; what is random comes from a seeded
//! generator.
//!
//! What is known:
//! - [`node`]: what a process is told about itself.
//! - [`site`]: the operator's configuration: routes, services, models.
//! - [`workspace`]: whose requests they are: keys and quotas.
//! - [`call`]: a caller's request, decoded.
//! - [`fingerprint`]: which requests are the same.
//! - [`engine`]: what an engine reports, and orders to it.
//! - [`notice`]: what endpoints say of themselves in the heads of their answers.
//! - [`message`]: what gateways and sidecars tell each other.
//! - [`reads`]: when the store is read, and what spares a read.
//! - [`relays`]: which gateways hear a sidecar, and what they pass on to the others of their zone.
//! - [`directory`]: the endpoints, from the registry, pulses and answers.
//!
//! What is decided at a gateway:
//! - [`choice`]: which endpoint gets a request, and whether it would be in time.
//! - [`reading`]: how long engines take to read prompts.
//! - [`health`]: which endpoints are to be avoided, on evidence of the data path.
//! - [`admission`]: when a request that can't be in time is refused, and when it should return.
//! - [`budget`]: how many requests may be sent a second time.
//! - [`crashes`]: which requests end the endpoints that run them, and are not sent any more.
//! - [`demand`]: how much each model is asked for.
//! - [`quota`]: what workspaces use, within their limits over all gateways.
//! - [`planner`]: which engine should load which model next.
//! - [`greetings`]: how often sidecars are greeted that are not heard.
//! - [`peers`]: which gateways there are, and which of them plans.
//!
//! What is decided at a sidecar:
//! - [`failures`]: which share of its engine's requests fails.
//! - [`permits`]: when its engine may be sent the next prompt.
//! - [`residency`]: which order its engine gets next, within memory, slots and the shared pace.

pub mod admission;
pub mod budget;
pub mod call;
pub mod choice;
pub mod crashes;
pub mod demand;
pub mod directory;
pub mod engine;
pub mod failures;
pub mod fingerprint;
pub mod greetings;
pub mod health;
pub mod message;
pub mod node;
pub mod notice;
pub mod peers;
pub mod permits;
pub mod planner;
pub mod quota;
pub mod reading;
pub mod reads;
pub mod relays;
pub mod residency;
pub mod site;
pub mod workspace;
