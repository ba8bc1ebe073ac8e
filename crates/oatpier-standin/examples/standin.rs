//! Serves one stand-in for a platform service, for tests with separate processes.
//!
//! It prints one JSON line, `{"listening": "127.0.0.1:PORT"}`, and serves until the process is killed.

use std::error::Error;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use oatpier_standin::clock::StandinClock;
use oatpier_standin::engine::{EngineOptions, start_engine};
use oatpier_standin::serve::{RequestHandler, RunningServer};
use oatpier_standin::service::start_service;
use oatpier_standin::store::start_store;
use oatpier_standin::vms::start_vms;
use oatpier_standin::weights::{WeightStore, WeightsOptions};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::{AdapterName, EndpointName, ModelName, NameError, VersionName};
use serde::Serialize;

/// Weights in the format of a flag: `MODEL[+ADAPTER][:VERSION][:MIB]`.
#[derive(Debug, Clone)]
struct WeightsFlag {
    weights: WeightsKey,
    mib: Option<u64>,
}

impl FromStr for WeightsFlag {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let mut parts = text.split(':');
        let name = parts.next().unwrap_or("");
        let (model, adapter) = match name.split_once('+') {
            Some((model, adapter)) => (model, Some(AdapterName::try_from(adapter)?)),
            None => (name, None),
        };
        let weights = WeightsKey {
            model: ModelName::try_from(model)?,
            adapter,
            version: VersionName::try_from(parts.next().unwrap_or("v1"))?,
        };
        let mib = parts.next().and_then(|mib| mib.parse().ok());
        Ok(Self { weights, mib })
    }
}

#[derive(Serialize)]
struct ListeningLine {
    listening: SocketAddr,
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(&matches))
}

fn command() -> Command {
    let listen = option("listen", "Address to bind; port 0 takes a free one")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0");
    let name = option("name", "Name of the endpoint in events").default_value("standin");
    Command::new("standin")
        .about("Serves one stand-in of the platform")
        .subcommand_required(true)
        .subcommand(Command::new("store").arg(&listen))
        .subcommand(Command::new("vms").arg(&listen))
        .subcommand(Command::new("service").arg(&listen).arg(&name))
        .subcommand(
            Command::new("engine")
                .arg(&listen)
                .arg(&name)
                .args(engine_arguments()),
        )
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    option(name, help).value_parser(value_parser!(u64))
}

fn weights(name: &'static str, help: &'static str) -> Arg {
    option(name, help)
        .value_name("MODEL[+ADAPTER][:VERSION][:MIB]")
        .value_parser(ValueParser::new(WeightsFlag::from_str))
        .action(ArgAction::Append)
}

fn engine_arguments() -> Vec<Arg> {
    vec![
        weights("model", "Weights that are ready at the start, bases first"),
        weights("weights", "Size of weights that may be loaded later"),
        number("default-mib", "Size of weights without a given one").default_value("1024"),
        number("memory-mib", "Memory for weights").default_value("16384"),
        number("slots", "Requests that it generates for at once").default_value("16"),
        number("step-us", "Time of a step").default_value("4500"),
        number("step-request-us", "Time that each request adds to a step").default_value("50"),
        number("prompt-token-ns", "Time to read one prompt token").default_value("5000"),
        number("load-lag-ms", "Lag of load reports").default_value("500"),
        number("cache-lag-ms", "Lag of cache events").default_value("200"),
        option(
            "checks-order-numbers",
            "Whether it refuses old order numbers",
        )
        .value_parser(value_parser!(bool))
        .default_value("true"),
        option("loads-per-second", "Rate of the weight store")
            .value_parser(value_parser!(f64))
            .default_value("3"),
        number("full-speed-loads", "Loads at full speed at once").default_value("4"),
        number("mib-per-second", "Speed of one load").default_value("8192"),
    ]
}

async fn serve(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let Some((kind, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let address = get::<SocketAddr>(matches, "listen")?;
    let clock = StandinClock::start();
    match kind {
        "store" => announce(start_store(address).await?).await,
        "vms" => announce(start_vms(address).await?).await,
        "service" => announce(start_service(address, endpoint(matches)?, clock).await?).await,
        _ => {
            let store = WeightStore::shared(weights_options(matches)?);
            let options = engine_options(matches)?;
            announce(start_engine(address, options, store, clock).await?).await
        }
    }
}

async fn announce<H: RequestHandler>(running: RunningServer<H>) -> Result<(), Box<dyn Error>> {
    let line = ListeningLine {
        listening: running.address,
    };
    println!("{}", serde_json::to_string(&line)?);
    running.run_forever().await;
    Ok(())
}

fn get<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T, Box<dyn Error>> {
    let value = matches.try_get_one::<T>(name)?.cloned();
    value.ok_or_else(|| format!("`--{name}` is missing").into())
}

fn endpoint(matches: &ArgMatches) -> Result<EndpointName, Box<dyn Error>> {
    let name = get::<String>(matches, "name")?;
    Ok(EndpointName::try_from(name)?)
}

fn flags(matches: &ArgMatches, name: &str) -> Vec<WeightsFlag> {
    let flags = matches.get_many::<WeightsFlag>(name);
    flags.into_iter().flatten().cloned().collect()
}

fn weights_options(matches: &ArgMatches) -> Result<WeightsOptions, Box<dyn Error>> {
    let sizes = flags(matches, "model")
        .into_iter()
        .chain(flags(matches, "weights"))
        .filter_map(|flag| Some((flag.weights, flag.mib?)))
        .collect();
    Ok(WeightsOptions {
        sizes,
        default_mib: get(matches, "default-mib")?,
        loads_per_second: get(matches, "loads-per-second")?,
        full_speed_loads: u32::try_from(get::<u64>(matches, "full-speed-loads")?)?,
        mib_per_second: get(matches, "mib-per-second")?,
    })
}

fn engine_options(matches: &ArgMatches) -> Result<EngineOptions, Box<dyn Error>> {
    let preloaded = flags(matches, "model")
        .into_iter()
        .map(|flag| flag.weights)
        .collect();
    let micros = |name| get(matches, name).map(Duration::from_micros);
    let millis = |name| get(matches, name).map(Duration::from_millis);
    Ok(EngineOptions {
        memory_mib: get(matches, "memory-mib")?,
        slots: usize::try_from(get::<u64>(matches, "slots")?)?,
        step: micros("step-us")?,
        step_per_request: micros("step-request-us")?,
        prompt_token: Duration::from_nanos(get(matches, "prompt-token-ns")?),
        load_lag: millis("load-lag-ms")?,
        cache_lag: millis("cache-lag-ms")?,
        checks_order_numbers: get(matches, "checks-order-numbers")?,
        preloaded,
        ..EngineOptions::named(endpoint(matches)?)
    })
}
