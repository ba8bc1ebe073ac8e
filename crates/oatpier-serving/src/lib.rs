//! Decision logic of gateways and sidecars, as deterministic state machines.
//!
//! A gateway accepts callers' requests and sends them directly to endpoints. A sidecar runs beside an
//! engine and is the only process that sends it orders. All code in this crate maps an event and the
//! current time to a decision, without I/O, clocks or `async`. Random choices use a seeded generator.
//!
//! Configuration, messages and state:
//! - [`node`]: the settings of a process.
//! - [`site`]: the operator's configuration: routes, services, models.
//! - [`workspace`]: workspaces with their keys and quotas.
//! - [`call`]: a caller's request, decoded.
//! - [`fingerprint`]: fingerprints that identify equal requests.
//! - [`engine`]: the status that an engine reports, and orders to it.
//! - [`notice`]: state that endpoints report in the headers of their responses.
//! - [`message`]: the messages between gateways and sidecars.
//! - [`reads`]: when the store is read, and how the reads of other gateways replace a gateway's own.
//! - [`capacity`]: what engines can serve in time.
//! - [`sharing`]: how workspaces share engines that cannot serve all requests.
//! - [`relays`]: which gateways receive a sidecar's updates, and what they forward to the others of their
//!   zone.
//! - [`directory`]: the endpoints, from the registry, sidecars' updates and responses.
//!
//! Decisions of a gateway:
//! - [`choice`]: which endpoint receives a request, and whether the response would be in time.
//! - [`origins`]: the software version at which the stream of an interrupted response began.
//! - [`prefill`]: how long engines take for the prefill of prompts.
//! - [`health`]: which endpoints are avoided because of failures on the data path.
//! - [`admission`]: when a request that cannot be served in time is refused, and when its caller should
//!   retry.
//! - [`budget`]: how many requests may be retried.
//! - [`crashes`]: which requests crash the endpoints that run them and are therefore blocked.
//! - [`demand`]: the demand for each model.
//! - [`quota`]: the use of workspaces within their limits, over all gateways.
//! - [`planner`]: which engine should load which model next.
//! - [`subscriptions`]: which sidecars a gateway subscribes to, and when.
//! - [`pacing`]: how often control messages are sent, by the size of the fleet.
//! - [`peers`]: which gateways are live, and which of them plans.
//!
//! Decisions of a sidecar:
//! - [`failures`]: the share of its engine's requests that fail.
//! - [`permits`]: when its engine may be sent the next prompt.
//! - [`residency`]: which order its engine receives next, within the limits of memory, slots and the shared
//!   load rate.

pub mod admission;
pub mod budget;
pub mod call;
pub mod capacity;
pub mod choice;
pub mod crashes;
pub mod demand;
pub mod directory;
pub mod engine;
pub mod failures;
pub mod fingerprint;
pub mod health;
pub mod message;
pub mod node;
pub mod notice;
pub mod origins;
pub mod pacing;
pub mod peers;
pub mod permits;
pub mod planner;
pub mod prefill;
pub mod quota;
pub mod reads;
pub mod relays;
pub mod residency;
pub mod sharing;
pub mod site;
pub mod subscriptions;
pub mod workspace;
