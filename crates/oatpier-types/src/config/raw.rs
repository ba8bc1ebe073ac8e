//! The tables of the text as they stand there, unchecked.
//!
//! Every key is optional here, so that a table with one bad key still shows the faults of its
//! other keys.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;

/// A text with its place.
pub(super) type RawText = Option<Spanned<String>>;
/// A number with its place.
pub(super) type RawCount = Option<Spanned<u64>>;

/// A table of the text.
pub(super) trait RawTable: DeserializeOwned + Default {
    /// The keys that it may have.
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
    RawStore {
        loads_per_second: Option<Spanned<f64>>,
        full_speed_loads: Option<Spanned<u32>>,
    }
    /// `[region.NAME]`.
    RawRegion {
        zones: Option<Spanned<Vec<Spanned<String>>>>,
    }
    /// `[class.NAME]`.
    RawClass {
        first_token: RawText,
        between_tokens: RawText,
        answer: RawText,
        attain: Option<Spanned<f64>>,
    }
    /// `[pool.NAME]`; its groups are read by themselves.
    RawPool {
        kind: RawText,
        accelerators: Option<Spanned<u32>>,
        memory_mib: RawCount,
        slots: Option<Spanned<u32>>,
        checks_order_numbers: Option<Spanned<bool>>,
        class: RawText,
        once: Option<Spanned<Vec<Spanned<String>>>>,
        group: Option<serde::de::IgnoredAny>,
    }
    /// `[[pool.NAME.group]]`.
    RawGroup {
        zone: RawText,
        prefix: RawText,
        count: RawCount,
        first: RawCount,
        names: Option<Spanned<Vec<Spanned<String>>>>,
    }
    /// `[model.NAME]`.
    RawModel {
        pool: RawText,
        version: RawText,
        memory_mib: RawCount,
        class: RawText,
    }
    /// `[adapter.NAME]`.
    RawAdapter {
        model: RawText,
        version: RawText,
        memory_mib: RawCount,
    }
}
