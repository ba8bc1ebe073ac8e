//! Dense indices, so that a hot path compares numbers and hashes no names.
//!
//! An index is an entry's own and means nothing to another process.

macro_rules! indices {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl $name {
            /// The place in a vector.
            #[must_use]
            pub fn place(self) -> usize {
                self.0 as usize
            }

            /// The index of the place in a vector.
            ///
            /// # Panics
            ///
            /// Beyond `u32::MAX` places, which no table reaches.
            #[must_use]
            pub fn of_place(place: usize) -> Self {
                Self(u32::try_from(place).expect("a table holds fewer than 2^32 rows"))
            }
        }
    )*};
}

indices! {
    /// An endpoint in an entry's table.
    EndpointIndex;
    /// A goal (model, adapter or service) in an entry's table.
    GoalIndex;
    /// An availability zone in an entry's table.
    ZoneIndex;
    /// A class in an entry's ledger.
    ClassIndex;
}
