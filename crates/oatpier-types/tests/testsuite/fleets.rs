//! Configurations used by the tests.

use oatpier_types::config::FleetConfig;
use oatpier_types::config::text::ConfigDocument;

/// A small valid configuration.
pub const SMALL: &str = r#"
[weight_store]
loads_per_second = 3.0
full_speed_loads = 4

[region.lagos]
zones = ["ikeja", "lekki"]

[class.drafting]
first_token = "320ms"
between_tokens = "33ms"
attain = 0.95

[class.lookup]
answer = "150ms"
attain = 0.99

[pool.seat-llm]
kind = "engine"
accelerators = 1
memory_mib = 1000
slots = 16
checks_order_numbers = true

[[pool.seat-llm.group]]
zone = "ikeja"
prefix = "seat-llm-ikeja-"
count = 3

[[pool.seat-llm.group]]
zone = "lekki"
names = ["seat-llm-lekki-spare"]

[pool.plan-api]
kind = "service"
class = "lookup"
slots = 32
once = ["POST /plans/*/apply"]

[[pool.plan-api.group]]
zone = "lekki"
prefix = "plan-api-"
first = 7
count = 2

[model.tables]
pool = "seat-llm"
version = "2026-11"
memory_mib = 400
class = "drafting"

[model.halls]
pool = "seat-llm"
version = "2026-11"
memory_mib = 300
class = "drafting"

[adapter.tables-yoruba]
model = "tables"
version = "3"
memory_mib = 50
"#;

/// Parses a text that must be valid.
pub fn read(text: &str) -> FleetConfig {
    match ConfigDocument::read("test.toml", text) {
        Ok(document) => document.config,
        Err(errors) => panic!("{:?}", errors.errors),
    }
}

/// Returns the parsed [`SMALL`].
pub fn small() -> FleetConfig {
    read(SMALL)
}

/// Returns the parsed [`SMALL`] with a part of its text replaced.
pub fn small_with(part: &str, replacement: &str) -> FleetConfig {
    assert!(SMALL.contains(part), "`{part}` is not in the text");
    read(&SMALL.replace(part, replacement))
}
