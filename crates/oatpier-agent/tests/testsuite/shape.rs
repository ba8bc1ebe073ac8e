//! Configuration of a test fleet.

use oatpier_agent::endpoint::EndpointIdentity;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;

/// Size of each model's weights, in MiB.
pub const MODEL_MIB: u64 = 1_000;

/// Number, memory and models of a fleet's engines.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    pub engines: u16,
    pub memory_mib: u64,
    pub checks_numbers: bool,
    /// All configured models. Repair loads those that no engine holds.
    pub models: &'static [&'static str],
}

pub fn config(shape: FleetShape) -> FleetConfig {
    config_with_slots(shape, 2)
}

pub fn config_with_slots(shape: FleetShape, slots: u32) -> FleetConfig {
    let names: Vec<_> = (1..=shape.engines)
        .map(|n| format!("\"seat-{n}\""))
        .collect();
    let models: Vec<String> = shape
        .models
        .iter()
        .map(|model| {
            format!(
                "[model.{model}]\npool = \"seat\"\nversion = \"v1\"\nmemory_mib = {MODEL_MIB}\n\
                 class = \"drafting\"\n"
            )
        })
        .collect();
    let models = models.concat();
    let text = format!(
        "[weight_store]\nloads_per_second = 3.0\nfull_speed_loads = 4\n\
         [region.lagos]\nzones = [\"ikeja\"]\n\
         [class.drafting]\nfirst_token = \"20s\"\nbetween_tokens = \"500ms\"\nattain = 0.95\n\
         [pool.seat]\nkind = \"engine\"\naccelerators = 1\nmemory_mib = {}\nslots = {slots}\n\
         checks_order_numbers = {}\n\
         [[pool.seat.group]]\nzone = \"ikeja\"\nnames = [{}]\n{models}",
        shape.memory_mib,
        shape.checks_numbers,
        names.join(", "),
    );
    FleetConfig::try_from(text.as_str()).expect("test configuration must be valid")
}

pub fn weights(model: &str) -> WeightsKey {
    WeightsKey {
        model: model.try_into().unwrap(),
        adapter: None,
        version: "v1".try_into().unwrap(),
    }
}

pub fn endpoint(number: u16) -> EndpointName {
    EndpointName::try_from(format!("seat-{number}").as_str()).unwrap()
}

pub fn identity(number: u16) -> EndpointIdentity {
    EndpointIdentity {
        endpoint: endpoint(number),
        pool: "seat".try_into().unwrap(),
        zone: "ikeja".try_into().unwrap(),
    }
}
