//! What `gateway` and `sidecar` share: the platform's settings file.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use miette::Report;
use oatpier_gateway::errors::error_chain;
use oatpier_gateway::reload::SettingsSource;
use oatpier_platform::settings;
use oatpier_serving::node::NodeSettings;

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

/// Reads and checks the settings. None if they were only to be checked.
pub(crate) fn read_node(matches: &ArgMatches) -> Result<Option<NodeSettings>, CommandFailure> {
    let path = matches.get_one::<PathBuf>("settings");
    let settings =
        settings::read(path.map(PathBuf::as_path)).map_err(|failure| CommandFailure {
            code: EXIT_SETTINGS,
            report: Report::new(failure),
        })?;
    if matches.get_flag("check-settings") {
        println!("the settings of {} are good", settings.name);
        return Ok(None);
    }
    Ok(Some(settings))
}

/// Reads the settings once more, for a process that runs.
pub(crate) fn settings_source(matches: &ArgMatches) -> Box<dyn SettingsSource> {
    let path = matches.get_one::<PathBuf>("settings").cloned();
    Box::new(move || settings::read(path.as_deref()).map_err(|failure| error_chain(&failure)))
}
