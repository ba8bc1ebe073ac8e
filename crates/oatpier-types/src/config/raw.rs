//! The tables of a configuration text before validation.
//!
//! All keys are optional, so that an invalid key in a table doesn't hide errors in its other keys.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;

/// An optional string with its location in the text.
pub(super) type RawString = Option<Spanned<String>>;
/// An optional number with its location in the text.
pub(super) type RawCount = Option<Spanned<u64>>;

/// A table of the configuration text.
pub(super) trait RawTable: DeserializeOwned + Default {
    /// The keys that the table accepts.
    const KEYS: &'static [&'static str];
}

macro_rules! raw_tables {
    ($($(#[$doc:meta])* $name:ident { $($key:ident: $kind:ty,)* })*) => {$(
        $(#[$doc])*
        #[derive(Debug, Default)]
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub(super) struct $name {
            $(pub(super) $key: $kind,)*
        }

        impl RawTable for $name {
            const KEYS: &'static [&'static str] = &[$(stringify!($key),)*];
        }
    )*};
}

raw_tables! {
    /// `[weight_store]`.
    RawWeightStore {
        loads_per_second: Option<Spanned<f64>>,
        full_speed_loads: Option<Spanned<u32>>,
    }
    /// `[region.NAME]`.
    RawRegion {
        zones: Option<Spanned<Vec<Spanned<String>>>>,
    }
    /// `[class.NAME]`.
    RawClass {
        first_token: RawString,
        between_tokens: RawString,
        answer: RawString,
        attain: Option<Spanned<f64>>,
    }
    /// `[pool.NAME]`; the groups are parsed separately.
    RawPool {
        kind: RawString,
        accelerators: Option<Spanned<u32>>,
        memory_mib: RawCount,
        slots: Option<Spanned<u32>>,
        checks_order_numbers: Option<Spanned<bool>>,
        class: RawString,
        once: Option<Spanned<Vec<Spanned<String>>>>,
        group: Option<serde::de::IgnoredAny>,
    }
    /// `[[pool.NAME.group]]`.
    RawGroup {
        zone: RawString,
        prefix: RawString,
        count: RawCount,
        first: RawCount,
        names: Option<Spanned<Vec<Spanned<String>>>>,
    }
    /// `[model.NAME]`.
    RawModel {
        pool: RawString,
        version: RawString,
        memory_mib: RawCount,
        class: RawString,
    }
    /// `[adapter.NAME]`.
    RawAdapter {
        model: RawString,
        version: RawString,
        memory_mib: RawCount,
    }
}
