//! `oatpier crashes`: requests and prompt parts that were on endpoints that crashed.

mod lift;
mod list;

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::CommandResult;
use crate::context::CliContext;
use crate::ops::crashes::PlatformStore;

/// Returns the clap definition of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("crashes")
        .about("List requests and prompt parts suspected of crashing endpoints, and allow them to run again")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(list::cli().arg(store_arg()))
        .subcommand(lift::cli().arg(store_arg()))
}

fn store_arg() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("IP:PORT")
        .help("Address of the platform's store, as in the gateways' settings")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn exec(context: &CliContext, matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("list", matches)) => list::exec(context, &store_of(matches)),
        Some(("lift", matches)) => lift::exec(context, &store_of(matches), matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

fn store_of(matches: &ArgMatches) -> PlatformStore {
    let address = matches.get_one::<SocketAddr>("store");
    PlatformStore::new(*address.expect("clap requires the store"))
}
