//! How an entry learns a configuration and passes it on.
//!
//! A watch costs the store a call for as long as it waits, so only a few entries of each
//! availability zone watch: those that rendezvous hashing picks among the live ones. An entry
//! that learns a configuration, from wherever, pushes it to a few others and to the agents that
//! are registered with it. Every message carries a generation, and whoever sees a later one
//! pulls, so that a push that was lost costs a second at most.

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

/// A call to another process counts as lost after this long. The owner reports it then.
pub const CALL_WITHIN: Duration = Duration::from_millis(500);

/// The configuration as it is in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfig<P> {
    /// The revision of the key.
    pub revision: Revision,
    /// The generation.
    pub generation: Generation,
    /// The content.
    pub value: Arc<P>,
}

/// How a read or a watch of the store ended.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply<P> {
    /// The configuration.
    Value(StoredConfig<P>),
    /// There is none yet, or the watch saw no change.
    Unchanged,
    /// The store did not answer, or the process's budget of calls is used up.
    Failed,
}

/// What an entry hears about the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadEvent<P: ConfigPayload> {
    /// Time has passed.
    Tick,
    /// A message of a peer or of an agent carried a generation.
    Seen {
        /// Who sent it.
        from: EntryContact,
        /// The generation.
        generation: Generation,
    },
    /// A push came.
    Pushed(Arc<ConfigPush<P>>),
    /// A pull ended; none: lost.
    PullEnded {
        /// Who was asked.
        from: EntryContact,
        /// The answer.
        answer: Option<Box<ConfigAnswer<P>>>,
    },
    /// A push of this entry ended; none: lost.
    PushEnded {
        /// To whom it went.
        to: EntryContact,
        /// The answer.
        ack: Option<ConfigAck>,
    },
    /// The read or the watch of the store ended.
    StoreEnded(StoreReply<P>),
}

/// What an entry does about the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadAction<P: ConfigPayload> {
    /// Read the configuration from the store.
    ReadStore,
    /// Wait for a change of it.
    WatchStore {
        /// The revision that is known.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// Ask a peer for what it has.
    Pull {
        /// Whom.
        to: EntryContact,
        /// The question.
        pull: ConfigPull,
    },
    /// Bring a peer or an agent what is in force.
    Push {
        /// To whom.
        to: EntryContact,
        /// The push.
        push: Arc<ConfigPush<P>>,
    },
    /// This configuration is in force in this process from now on.
    InForce(HeldConfig<P>),
}

/// Whom an entry can turn to, as its table has it now.
#[derive(Debug, Clone, Default)]
pub struct SpreadPeers {
    /// Live entries of the group, without the own.
    pub group: Vec<EntryContact>,
    /// Registered agents that are heard, with the generation that is in force at each.
    pub agents: Vec<(EntryContact, Generation)>,
    /// A few entries of other availability zones.
    pub far: Vec<EntryContact>,
}
