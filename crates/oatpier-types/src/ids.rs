//! Identifiers and monotonic counters.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Size of an identifier, in bytes.
const ID_BYTES: usize = 16;

/// Serializes an identifier as 32 hexadecimal digits in text formats and as bytes in binary ones.
///
/// Text formats don't get a number because JSON parsers lose the precision of 128-bit integers.
fn write_id<S: Serializer>(id: u128, serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        serializer.collect_str(&format_args!("{id:032x}"))
    } else {
        serializer.serialize_bytes(&id.to_be_bytes())
    }
}

fn read_id<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
    if deserializer.is_human_readable() {
        deserializer.deserialize_str(IdVisitor)
    } else {
        deserializer.deserialize_bytes(IdVisitor)
    }
}

struct IdVisitor;

impl Visitor<'_> for IdVisitor {
    type Value = u128;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "an identifier of {ID_BYTES} bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u128, E> {
        u128::from_str_radix(text, 16)
            .map_err(|_| E::custom(format_args!("`{text}` is not an identifier")))
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<u128, E> {
        <[u8; ID_BYTES]>::try_from(bytes)
            .map(u128::from_be_bytes)
            .map_err(|_| E::invalid_length(bytes.len(), &self))
    }
}

macro_rules! identifiers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u128);

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                write_id(self.0, serializer)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                read_id(deserializer).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }
    )*};
}

identifiers! {
    /// Identifies a request from a caller across all its attempts. Also used as the trace id.
    RequestId;
    /// Identifies one attempt to run a request at one endpoint. Never reused.
    AttemptId;
    /// Identifies a change requested by an operator, to find it again after a lost response.
    ChangeId;
    /// Identifies one start of a process. A restarted process gets a new one.
    BootId;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )*};
}

counters! {
    /// The number of an accepted configuration. Only increases. 0: none accepted yet.
    Generation;
    /// The revision of a value in the store, which every write increases. 0: no value.
    Revision;
    /// The number that an agent obtains from the store at startup. Orders with an older epoch come
    /// from a previous agent of the endpoint.
    Epoch;
    /// The number of a planner lease. A plan with an older term is rejected.
    Term;
}

/// The fencing token of an order to an engine: the order with the higher number takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct OrderNumber {
    /// The epoch of the agent that issued the order.
    pub epoch: Epoch,
    /// The position of the order within the epoch, starting at 1.
    pub sequence: u64,
}

impl fmt::Display for OrderNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.sequence)
    }
}
