//! The configuration of a test's fleet.

use oatpier_types::config::FleetConfig;

use super::fleet::FleetSize;

/// Returns the configuration of a fleet.
pub fn config(size: FleetSize) -> FleetConfig {
    FleetConfig::try_from(config_text(size).as_str()).expect("the configuration is valid")
}

/// Returns the configuration as the TOML text that an operator writes.
pub fn config_text(size: FleetSize) -> String {
    let group = |pool: &str, prefix: &str, count: usize| {
        if count == 0 {
            return String::new();
        }
        let names: Vec<_> = (1..=count)
            .map(|number| format!("\"{prefix}{number}\""))
            .collect();
        let names = names.join(", ");
        format!("[[pool.{pool}.group]]\nzone = \"ikeja\"\nnames = [{names}]\n")
    };
    format!(
        r#"
[weight_store]
loads_per_second = 3.0
full_speed_loads = 4
[region.lagos]
zones = ["ikeja", "lekki"]
[class.drafting]
first_token = "20s"
between_tokens = "500ms"
attain = 0.95
[class.lookup]
answer = "20s"
attain = 0.95
[class.hurried]
answer = "1s"
attain = 0.9
[pool.seat-llm]
kind = "engine"
accelerators = 1
memory_mib = 16384
slots = 16
checks_order_numbers = true
{engines}
[pool.plan-api]
kind = "service"
class = "lookup"
slots = 32
once = ["POST /plans/*/apply"]
{services}
[model.tables]
pool = "seat-llm"
version = "v1"
memory_mib = 400
class = "drafting"
"#,
        engines = group("seat-llm", "seat-llm-", size.engines.max(1)),
        services = group("plan-api", "plan-api-", size.services.max(1)),
    )
}
