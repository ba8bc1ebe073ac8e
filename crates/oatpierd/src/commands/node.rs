//! What `gateway` and `sidecar` share: the platform's settings file.

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

/// The arguments of both commands.
pub(crate) fn node_args() -> [Arg; 2] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("The settings file that the platform writes; by default the one that the environment names")
            .value_parser(value_parser!(PathBuf)),
        Arg::new("check-settings")
            .long("check-settings")
            .help("Check the settings, name what is wrong with its mend, and stop")
            .action(ArgAction::SetTrue),
    ]
}

/// How a process's duties are started.
type StartNode = fn(&NodeSettings, Box<dyn SettingsSource>) -> Result<DutyProcess, StartError>;

/// Runs a process until it is told to stop, unless its settings were only to be checked.
pub(crate) fn run_node(matches: &ArgMatches, start: StartNode) -> Result<(), CommandFailure> {
    let path = matches.get_one::<PathBuf>("settings").cloned();
    let settings = settings::read(path.as_deref()).map_err(|failure| CommandFailure {
        code: EXIT_SETTINGS,
        report: Report::new(failure),
    })?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are good", settings.name);
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
