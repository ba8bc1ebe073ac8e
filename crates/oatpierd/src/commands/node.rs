//! Code that `gateway` and `sidecar` share: both read the platform's settings file.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use miette::Report;
use oatpier_duty::duty::{DutyProcess, StartError, stop_on_signal};
use oatpier_duty::observe::logs;
use oatpier_gateway::reload::SettingsSource;
use oatpier_platform::settings;
use oatpier_serving::node::NodeSettings;
use oatpier_types::errors::error_chain;

use super::{duty_failure, start_failure};
use crate::cli::{CommandFailure, EXIT_SETTINGS};

/// Returns the arguments of both commands.
pub(crate) fn node_args() -> [Arg; 2] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("Settings file written by the platform [default: the file that the environment names]")
            .value_parser(value_parser!(PathBuf)),
        Arg::new("check-settings")
            .long("check-settings")
            .help("Check the settings, report errors with a fix, and exit")
            .action(ArgAction::SetTrue),
    ]
}

/// Starts the duties of a process.
type StartNode = fn(&NodeSettings, Box<dyn SettingsSource>) -> Result<DutyProcess, StartError>;

/// Runs a process until it is asked to stop; with `--check-settings`, only checks its settings.
pub(crate) fn run_node(matches: &ArgMatches, start: StartNode) -> Result<(), CommandFailure> {
    let path = matches.get_one::<PathBuf>("settings").cloned();
    let settings = settings::read(path.as_deref()).map_err(|failure| CommandFailure {
        code: EXIT_SETTINGS,
        report: Report::new(failure),
    })?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are valid", settings.name);
        return Ok(());
    }
    logs::install_on_stdout(&settings.name);
    let source = move || settings::read(path.as_deref()).map_err(|failure| error_chain(&failure));
    let process = start(&settings, Box::new(source)).map_err(start_failure)?;
    spdlog::info!("started", kv: { zone: = settings.zone.as_str() });
    stop_on_signal(&process.stop);
    let ended = process.join().map_err(duty_failure);
    spdlog::info!("stopped", kv: { whole: = ended.is_ok() });
    spdlog::default_logger().flush();
    ended
}
