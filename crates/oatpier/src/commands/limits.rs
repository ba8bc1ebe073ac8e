//! `oatpier limits`: shows the limits of workspaces, the gateways that grant them, and their use.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::CommandResult;
use crate::context::CliContext;
use crate::ops::crashes::PlatformStore;
use crate::ops::limits::{self, LimitsView};
use crate::shell::table;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("limits")
        .about("List the limits of workspaces, the gateways that hold their parts, and their use")
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("IP:PORT")
                .help("Address of the platform's store, as in the gateways' settings")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .value_name("IP:PORT")
                .help("Metrics address of a gateway whose counts are added up; may be given several times")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
}

/// Prints the list.
///
/// # Errors
///
/// Returns an error if the store or a gateway does not answer, or the configuration is invalid.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    let store = store_of(matches);
    let gateways = matches.get_many::<SocketAddr>("metrics");
    let gateways: Vec<SocketAddr> = gateways.into_iter().flatten().copied().collect();
    let view = context.block_on(limits::read_limits(&store, &gateways))?;
    context.answer(&view, || text(&view))
}

fn store_of(matches: &ArgMatches) -> PlatformStore {
    let address = matches.get_one::<SocketAddr>("store");
    PlatformStore::new(*address.expect("clap requires the store"))
}

fn text(view: &LimitsView) -> String {
    let shown = |value: Option<f64>| value.map_or("-".to_owned(), |value| value.to_string());
    let cells = view.limits.iter().map(|row| {
        vec![
            row.workspace.clone(),
            row.unit.unwrap_or("no limit").to_owned(),
            shown(row.rate),
            shown(row.burst),
            row.priority.map_or("-".to_owned(), |rank| rank.to_string()),
            row.granted.to_string(),
            row.refused.to_string(),
        ]
    });
    let head = [
        "WORKSPACE",
        "UNIT",
        "A SECOND",
        "AT ONCE",
        "PRIORITY",
        "GRANTED",
        "REFUSED",
    ];
    let limits = table(&head, &cells.collect::<Vec<_>>());
    let parts = view.parts.iter().map(|row| {
        let holder = row.holder.map_or("nobody".to_owned(), |at| at.to_string());
        vec![row.part.to_string(), holder]
    });
    let parts = table(&["PART", "HELD AT"], &parts.collect::<Vec<_>>());
    format!("{limits}\n{parts}")
}
