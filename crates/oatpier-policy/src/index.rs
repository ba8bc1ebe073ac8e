//! Dense indices, so that hot paths compare integers instead of hashing names.
//!
//! An index is valid only within the entry that assigned it.

macro_rules! define_indices {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the position in a vector.
            #[must_use]
            pub fn as_usize(self) -> usize {
                self.0 as usize
            }

            /// Returns the index for a position in a vector.
            ///
            /// # Panics
            ///
            /// Panics if the position exceeds `u32::MAX`, which no table reaches.
            #[must_use]
            pub fn from_usize(position: usize) -> Self {
                Self(u32::try_from(position).expect("a table holds fewer than 2^32 rows"))
            }
        }
    )*};
}

define_indices! {
    /// An endpoint in an entry's table.
    EndpointIndex;
    /// A goal (model, adapter or service) in an entry's table.
    GoalIndex;
    /// An availability zone in an entry's table.
    ZoneIndex;
    /// A class in an entry's tables.
    ClassIndex;
}
