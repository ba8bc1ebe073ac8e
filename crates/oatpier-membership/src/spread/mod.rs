//! How an entry obtains a configuration and distributes it.
//!
//! A watch occupies the store for as long as it waits, so only a few entries of each availability
//! zone watch, chosen by rendezvous hashing among the live ones. An entry that gets a new
//! configuration, from any source, pushes it to a few other entries and to the agents registered
//! with it. Every message carries a generation, and a process that sees a later one pulls, so that
//! a lost push delays a change by a second at most.

mod push;
mod spreader;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use oatpier_types::ids::{Generation, Revision};

use crate::generation::{ConfigPayload, HeldConfig};
use crate::messages::{ConfigAck, ConfigAnswer, ConfigPull, ConfigPush, EntryContact};

pub use push::{PUSH_FANOUT, PUSH_TRIES};
pub use spreader::ConfigSpreader;
pub use watch::{WATCH_WAIT, WATCHERS};

/// How long to wait for an answer before a call to another process counts as lost. The caller then
/// reports its end.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The configuration as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfig<P> {
    /// The revision of the key.
    pub revision: Revision,
    /// The generation.
    pub generation: Generation,
    /// The content.
    pub value: Arc<P>,
}

/// The result of a read or a watch of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply<P> {
    /// The configuration.
    Value(StoredConfig<P>),
    /// There is no configuration yet, or the watch saw no change.
    Unchanged,
    /// The store did not answer, or the process's call budget is exhausted.
    Failed,
}

/// An input of a [`ConfigSpreader`].
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadEvent<P: ConfigPayload> {
    /// Time has passed.
    Tick,
    /// A message of a peer or of an agent carried a generation.
    GenerationSeen {
        /// The sender.
        from: EntryContact,
        /// The generation.
        generation: Generation,
    },
    /// A push arrived.
    Pushed(Arc<ConfigPush<P>>),
    /// A pull of this entry ended.
    PullEnded {
        /// The process that was asked.
        from: EntryContact,
        /// The answer; `None`: the call was lost.
        answer: Option<Box<ConfigAnswer<P>>>,
    },
    /// A push of this entry ended.
    PushEnded {
        /// The process that was sent the push.
        to: EntryContact,
        /// The answer; `None`: the call was lost.
        ack: Option<ConfigAck>,
    },
    /// A read or a watch of the store ended.
    StoreEnded(StoreReply<P>),
}

/// An action that a [`ConfigSpreader`] requests.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadAction<P: ConfigPayload> {
    /// Read the configuration from the store.
    ReadStore,
    /// Wait for a change of the configuration in the store.
    WatchStore {
        /// The last known revision.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// Ask a peer for a later configuration.
    Pull {
        /// The peer.
        to: EntryContact,
        /// The message.
        pull: ConfigPull,
    },
    /// Send the configuration in force to a peer or an agent.
    Push {
        /// The process to send it to.
        to: EntryContact,
        /// The message.
        push: Arc<ConfigPush<P>>,
    },
    /// This configuration is now in force in this process.
    InForce(HeldConfig<P>),
}

/// The processes that an entry can contact, according to its current table.
#[derive(Debug, Clone, Default)]
pub struct SpreadPeers {
    /// Live entries of the group, except this one.
    pub group: Vec<EntryContact>,
    /// Registered agents that are reachable, with the generation in force at each.
    pub agents: Vec<(EntryContact, Generation)>,
    /// A few entries of other availability zones.
    pub remote: Vec<EntryContact>,
}
